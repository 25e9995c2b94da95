package guard

import (
	"io"
	"sync/atomic"

	"github.com/pkg/errors"
)

const (
	// defaultMaxBufferedBytes is the default of Options.MaxBufferedBytes.
	defaultMaxBufferedBytes = 64 << 20
	// largeBodyDivisor: above the limit, a body is given up if it is larger than the
	// limit divided by this.
	largeBodyDivisor = 8
)

// errBufferLimit is returned for a large body while the buffered bodies exceed the limit.
var errBufferLimit = errors.New("guard: no memory for the answer")

// bodyBudget bounds the memory of the bodies that are being read. A faulty upstream may
// send endless bodies on many connections. These grow large and are given up, while small
// answers are still read to their end.
type bodyBudget struct {
	limit int64
	used  atomic.Int64
}

// countedBody is a body whose bytes count in the budget from the time they are read
// until release.
type countedBody struct {
	io.Reader
	budget *bodyBudget
	read   int64
}

// count returns a reader of the body that counts in the budget.
func (bb *bodyBudget) count(body io.Reader) *countedBody {
	return &countedBody{Reader: body, budget: bb}
}

// Read implements io.Reader. It returns errBufferLimit when the body must be given up.
func (cb *countedBody) Read(p []byte) (int, error) {
	n, err := cb.Reader.Read(p)
	cb.read += int64(n)
	if used := cb.budget.used.Add(int64(n)); used > cb.budget.limit && cb.read > cb.budget.limit/largeBodyDivisor {
		return n, errBufferLimit
	}
	return n, err
}

// release gives the bytes of the body back to the budget.
func (cb *countedBody) release() { cb.budget.used.Add(-cb.read) }
