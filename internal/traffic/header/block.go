package header

import (
	"encoding/binary"
	"net/http"
	"unsafe"

	"github.com/pkg/errors"
)

// ErrMalformed is returned for bytes that are not a block.
var ErrMalformed = errors.New("header: malformed block")

// AppendBlock appends a header to a block. Each name and each value is written as its length,
// an unsigned varint, and its bytes. A block occupies one allocation, whatever the number of
// fields.
func AppendBlock(block []byte, hd http.Header) []byte {
	for name, values := range hd {
		for _, value := range values {
			block = appendString(appendString(block, name), value)
		}
	}
	return block
}

// appendString appends the length of a string and its bytes.
func appendString(block []byte, str string) []byte {
	return append(binary.AppendUvarint(block, uint64(len(str))), str...)
}

// ParseBlock returns the header in a block, or ErrMalformed. The header refers to the block, which
// must not change afterwards.
func ParseBlock(block []byte) (http.Header, error) {
	str := unsafe.String(unsafe.SliceData(block), len(block))
	fields := 0
	for rest := str; rest != ""; fields++ {
		var err error
		for range 2 {
			if _, rest, err = cutString(rest); err != nil {
				return nil, err
			}
		}
	}
	hd := make(http.Header, fields)
	// The value slices of all fields share one allocation.
	values := make([]string, 0, fields)
	for str != "" {
		var name, value string
		name, str, _ = cutString(str)
		value, str, _ = cutString(str)
		if old, ok := hd[name]; ok {
			hd[name] = append(old, value)
			continue
		}
		values = append(values, value)
		hd[name] = values[len(values)-1 : len(values) : len(values)]
	}
	return hd, nil
}

// BlockFields returns the number of fields in a block, up to the first malformed one. It allocates
// nothing.
func BlockFields(block []byte) (fields int) {
	for rest := unsafe.String(unsafe.SliceData(block), len(block)); rest != ""; fields++ {
		var err error
		for range 2 {
			if _, rest, err = cutString(rest); err != nil {
				return fields
			}
		}
	}
	return fields
}

// cutString returns the first string of a block and the rest of the block.
func cutString(block string) (str, rest string, err error) {
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
