package admission

import (
	"math"
	"time"

	"camphortrail/call"
	"camphortrail/internal/traffic/decay"
)

// occupancyHalfLife is the time in which the weight of a past occupancy halves:
// longer than most calls, and shorter than the work above them that its changes
// are to reach.
const occupancyHalfLife = 50 * time.Millisecond

// occupancy is the moving mean, over time, of the attempts that run or wait for
// each that may run at once.
type occupancy struct {
	mean, current float64
	clock         decay.Clock
}

// set states the attempts there are from now on.
func (oc *occupancy) set(now time.Time, attempts, limit int) {
	keep := oc.clock.Factor(now, occupancyHalfLife)
	oc.mean = oc.mean*keep + oc.current*(1-keep)
	oc.current = float64(attempts) / float64(max(limit, 1))
}

func (oc *occupancy) percent() call.Occupancy {
	return call.Occupancy(min(100*oc.mean, math.MaxUint16))
}
