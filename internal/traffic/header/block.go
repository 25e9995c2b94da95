package header

import (
	"encoding/binary"
	"net/http"

	"github.com/pkg/errors"
)

// ErrMalformed is returned for bytes that are no block.
var ErrMalformed = errors.New("header: malformed block")

// AppendBlock appends a header to a block: each name and value behind its length as an
// unsigned varint. A block takes one piece of memory, whatever the header holds.
func AppendBlock(block []byte, hd http.Header) []byte {
	for name, values := range hd {
		for _, value := range values {
			block = appendString(appendString(block, name), value)
		}
	}
	return block
}

func appendString(block []byte, text string) []byte {
	return append(binary.AppendUvarint(block, uint64(len(text))), text...)
}

// ParseBlock returns the header of a block.
func ParseBlock(block []byte) (http.Header, error) {
	text := string(block)
	fields := 0
	for rest := text; rest != ""; fields++ {
		var err error
		for range 2 {
			if _, rest, err = cutString(rest); err != nil {
				return nil, err
			}
		}
	}
	hd := make(http.Header, fields)
	// The values of all fields share one piece of memory.
	values := make([]string, 0, fields)
	for text != "" {
		var name, value string
		name, text, _ = cutString(text)
		value, text, _ = cutString(text)
		if old, ok := hd[name]; ok {
			hd[name] = append(old, value)
			continue
		}
		values = append(values, value)
		hd[name] = values[len(values)-1 : len(values) : len(values)]
	}
	return hd, nil
}

// cutString returns the first text of a block and what follows.
func cutString(block string) (text, rest string, err error) {
	length, shift := uint64(0), 0
	for at := range len(block) {
		length |= uint64(block[at]&0x7f) << shift
		if shift += 7; block[at] < 0x80 {
			rest = block[at+1:]
			if length > uint64(len(rest)) {
				return "", "", ErrMalformed
			}
			return rest[:length], rest[length:], nil
		}
		if shift >= 63 {
			break
		}
	}
	return "", "", ErrMalformed
}
