// Package decay computes factors for exponential decay of past counts.
package decay

import (
	"math"
	"time"
)

// Clock computes decay factors from the time since its last call. It is not safe for
// concurrent use.
type Clock struct{ last time.Time }

// Factor returns the factor by which to multiply what was counted until the last call,
// if its weight halves in each halfLife. The first call returns 0, and a call with a time
// no later than that of the last call returns 1.
func (cl *Clock) Factor(now time.Time, halfLife time.Duration) float64 {
	elapsed := now.Sub(cl.last)
	if elapsed <= 0 {
		return 1
	}
	cl.last = now
	return math.Exp2(-float64(elapsed) / float64(halfLife))
}
