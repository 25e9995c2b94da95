package faultdisk

import (
	"bytes"
	"encoding/json"
	"io/fs"
	"os"

	"github.com/pkg/errors"
)

// readJournal returns the operations in a journal: for each a line of JSON, and the data of a
// write after it. The end of the journal may be incomplete.
func readJournal(path string) ([]op, error) {
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var list []op
	for len(data) > 0 {
		line, rest, ok := bytes.Cut(data, []byte("\n"))
		if !ok {
			break
		}
		var next op
		if err := json.Unmarshal(line, &next); err != nil {
			return nil, errors.Wrap(err, "faultdisk: journal")
		}
		if len(rest) < next.Bytes {
			break
		}
		next.data, data = rest[:next.Bytes:next.Bytes], rest[next.Bytes:]
		list = append(list, next)
	}
	return list, nil
}

// encode returns the op as a journal has it.
func (op op) encode() ([]byte, error) {
	op.Bytes = len(op.data)
	line, err := json.Marshal(op)
	if err != nil {
		return nil, err
	}
	return append(append(line, '\n'), op.data...), nil
}

// writeJournal replaces a journal.
func writeJournal(path string, list []op) error {
	var journal []byte
	for _, op := range list {
		data, err := op.encode()
		if err != nil {
			return err
		}
		journal = append(journal, data...)
	}
	if err := os.WriteFile(path+".tmp", journal, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".tmp", path)
}

// replay returns the image after the operations.
func replay(list []op) *image {
	im := newImage()
	for _, op := range list {
		im.apply(op)
	}
	return im
}
