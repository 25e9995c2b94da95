package admission

import (
	"time"

	"camphortrail/call"
)

const (
	// meanDivisor divides the difference of a new sample from the moving average.
	meanDivisor = 8
	// quantileStep is the relative step of the quantile for each sample.
	quantileStep = 0.2
	// lowQuantile is the share of calls that are quicker than the low service time.
	lowQuantile = 0.1
	// quantileHalfLife is the time without samples in which a quantile halves. A quantile
	// that is too high refuses all work, and then no sample would ever correct it.
	quantileHalfLife = 100 * time.Millisecond
	// maxHalvings bounds the number of halvings.
	maxHalvings = 20
)

// serviceTimes estimates how long calls hold a slot.
type serviceTimes struct {
	// mean is an exponentially weighted moving average over all calls.
	mean time.Duration
	// low holds a low quantile of the successful calls, by importance.
	low [call.MaxImportance + 1]quantile
}

// add records a call that held a slot for d. A failed call may end before its work is
// done, so it does not count for the low quantile.
func (st *serviceTimes) add(now time.Time, imp call.Importance, d time.Duration, ok bool) {
	if st.mean == 0 {
		st.mean = d
	}
	st.mean += (d - st.mean) / meanDivisor
	if ok {
		st.low[imp].add(now, d)
	}
}

// quantile estimates the lowQuantile of service times.
type quantile struct {
	value     time.Duration
	updatedAt time.Time
}

// add moves the estimate by one step up or down. The steps balance when a share
// lowQuantile of the samples is below the estimate. After a much shorter sample the
// estimate is at most twice that sample.
func (qt *quantile) add(now time.Time, d time.Duration) {
	val := float64(qt.current(now))
	switch {
	case val == 0:
		val = float64(d)
	case float64(d) < val:
		val = min(val*(1-quantileStep*(1-lowQuantile)), 2*float64(d))
	default:
		val *= 1 + quantileStep*lowQuantile
	}
	qt.value, qt.updatedAt = time.Duration(val), now
}

// current returns the estimate at the time now.
func (qt *quantile) current(now time.Time) time.Duration {
	age := now.Sub(qt.updatedAt)
	if age < quantileHalfLife {
		return qt.value
	}
	return qt.value >> min(age/quantileHalfLife, maxHalvings)
}
