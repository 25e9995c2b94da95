package admission

import (
	"time"

	"camphortrail/call"
)

const (
	// meanDivisor is the reciprocal of the weight of a new sample in the moving average:
	// each sample moves the average by an eighth of its distance.
	meanDivisor = 8
	// quantileStep scales the steps of a quantile estimate. A sample below the estimate
	// lowers it by quantileStep*(1-lowQuantile), that is by 18 %, and any other sample
	// raises it by quantileStep*lowQuantile, that is by 2 %.
	quantileStep = 0.2
	// lowQuantile is the fraction of the successful calls that take less time than the
	// estimate.
	lowQuantile = 0.1
	// quantileHalfLife is the time without samples in which an estimate halves. While an
	// estimate is too high, all work is refused because it would miss its deadline, and
	// then no sample would ever correct the estimate.
	quantileHalfLife = 100 * time.Millisecond
	// maxHalvings bounds how often an estimate is halved for one time without samples, so
	// that it falls to about a millionth at most.
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

// add moves the estimate by one step up or down, or sets it to the first sample. The steps
// balance when the fraction lowQuantile of the samples is below the estimate. After a
// sample below the estimate, the estimate is at most twice that sample.
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

// current returns the estimate at the time now, or zero before the first sample.
func (qt *quantile) current(now time.Time) time.Duration {
	age := now.Sub(qt.updatedAt)
	if age < quantileHalfLife {
		return qt.value
	}
	return qt.value >> min(age/quantileHalfLife, maxHalvings)
}
