// Package decay ages what was counted in the recent past.
package decay

import (
	"math"
	"time"
)

// Clock tells how much of what was counted before still counts. It is not safe
// for concurrent use.
type Clock struct{ last time.Time }

// Factor returns the share that is left of what was counted until the last call,
// if its weight halves in each halfLife. The first call returns 0, and a time
// before that of the last call 1.
func (cl *Clock) Factor(now time.Time, halfLife time.Duration) float64 {
	passed := now.Sub(cl.last)
	if passed <= 0 {
		return 1
	}
	cl.last = now
	return math.Exp2(-float64(passed) / float64(halfLife))
}
