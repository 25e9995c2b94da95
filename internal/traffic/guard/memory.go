package guard

import (
	"io"
	"sync/atomic"

	"github.com/pkg/errors"
)

const (
	// defaultAnswerMemory bounds the bodies that are being read, in bytes, unless
	// the options do.
	defaultAnswerMemory = 64 << 20
	// largeAnswer is the part of that, 1 in so many, from which a body is given up
	// when there is no room.
	largeAnswer = 8
)

// errNoMemory is returned for a body that is large while too much is read.
var errNoMemory = errors.New("guard: no memory for the answer")

// memory counts what the bodies that are being read take together. An upstream in
// trouble may send bodies without end on many connections; those grow large and are
// given up, while the others go on.
type memory struct {
	most int64
	held atomic.Int64
}

// heldBody is a body that is counted while it is read.
type heldBody struct {
	io.Reader
	memory *memory
	own    int64
}

func (me *memory) hold(body io.Reader) *heldBody { return &heldBody{Reader: body, memory: me} }

// Read reads and counts.
func (hb *heldBody) Read(p []byte) (int, error) {
	n, err := hb.Reader.Read(p)
	hb.own += int64(n)
	if held := hb.memory.held.Add(int64(n)); held > hb.memory.most && hb.own > hb.memory.most/largeAnswer {
		return n, errNoMemory
	}
	return n, err
}

// release ends the counting.
func (hb *heldBody) release() { hb.memory.held.Add(-hb.own) }
