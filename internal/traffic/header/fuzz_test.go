package header

import (
	"bytes"
	"errors"
	"net/http"
	"reflect"
	"testing"
)

// FuzzBlock decodes arbitrary bytes as a header block, which another node may send. A malformed
// block must give ErrMalformed, and a valid one the same header again after a round trip, with no
// more fields than BlockFields counts, from which its memory is charged.
func FuzzBlock(f *testing.F) {
	f.Add(AppendBlock(nil, http.Header{"A": {"", "b"}, "Content-Type": {"text/plain"}}))
	f.Add(bytes.Repeat([]byte{0}, 64))
	f.Add([]byte("\x01a\x00\x01a\x01b"))
	f.Add([]byte("\xff\xff\xff\xff\xff\xff\xff\xff\x7fa"))
	f.Fuzz(func(t *testing.T, block []byte) {
		counted := BlockFields(block)
		hd, err := ParseBlock(bytes.Clone(block))
		if err != nil {
			if !errors.Is(err, ErrMalformed) {
				t.Fatal(err)
			}
			return
		}
		fields := 0
		for _, values := range hd {
			fields += len(values)
		}
		if fields != counted {
			t.Errorf("%d fields, counted %d", fields, counted)
		}
		if again, err := ParseBlock(AppendBlock(nil, hd)); err != nil || !reflect.DeepEqual(again, hd) {
			t.Errorf("after a round trip: %v, %v, want %v", again, err, hd)
		}
	})
}
