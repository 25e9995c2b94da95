package admission

import (
	"time"

	"camphortrail/call"
)

const (
	// meanWeight is the divisor of a new sample in the moving mean.
	meanWeight = 8
	// quantileStep is the relative step of the quantile for each sample.
	quantileStep = 0.2
	// lowQuantile is the share of calls that are quicker than the low
	// service time.
	lowQuantile = 0.1
	// quantileHalfLife is the time without samples in which a quantile
	// halves, so that an estimate that refuses all work does not last.
	quantileHalfLife = 100 * time.Millisecond
	// maxHalvings bounds the ageing of a quantile.
	maxHalvings = 20
)

// estimate holds recent service times.
type estimate struct {
	mean time.Duration
	low  [call.MaxImportance + 1]quantile
}

// add records a call that held a slot for d. Only successful ones say how
// long the work takes.
func (st *estimate) add(now time.Time, imp call.Importance, d time.Duration, ok bool) {
	if st.mean == 0 {
		st.mean = d
	}
	st.mean += (d - st.mean) / meanWeight
	if ok {
		st.low[imp].add(now, d)
	}
}

// quantile estimates a low quantile of service times.
type quantile struct {
	value time.Duration
	at    time.Time
}

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
	qt.value, qt.at = time.Duration(val), now
}

// current returns the estimate at the time now.
func (qt *quantile) current(now time.Time) time.Duration {
	age := now.Sub(qt.at)
	if age < quantileHalfLife {
		return qt.value
	}
	return qt.value >> min(age/quantileHalfLife, maxHalvings)
}
