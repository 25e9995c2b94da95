package admission

import (
	"math"
	"time"

	"camphortrail/call"
	"camphortrail/internal/traffic/decay"
)

// occupancyHalfLife is the time in which the weight of a past occupancy halves. It is
// longer than most calls, so that single calls do not show, and shorter than most
// requests above them, which must see a change while they still run.
const occupancyHalfLife = 50 * time.Millisecond

// occupancy is the moving average, over time, of the attempts that run or wait, as a
// multiple of those that may run at once.
type occupancy struct {
	mean, current float64
	clock         decay.Clock
}

// update sets the number of attempts that run or wait from now on.
func (oc *occupancy) update(now time.Time, attempts, limit int) {
	factor := oc.clock.Factor(now, occupancyHalfLife)
	oc.mean = oc.mean*factor + oc.current*(1-factor)
	oc.current = float64(attempts) / float64(max(limit, 1))
}

func (oc *occupancy) percent() call.Occupancy {
	return call.Occupancy(min(100*oc.mean, math.MaxUint16))
}
