package allocation

import (
	"time"

	"camphortrail/call"
	"camphortrail/internal/traffic/decay"
)

const (
	// paceHalfLife is the time in which the weight of a past call halves: longer than
	// most calls, and short against the times between changes of the load.
	paceHalfLife = 300 * time.Millisecond
	// maxPaces bounds the kinds of calls that are told apart.
	maxPaces = 64
)

// SlotTime is the time for which a call of a kind takes a slot.
type SlotTime struct {
	Class call.Class
	Time  time.Duration
}

// SlotTimeEstimator is the time for which calls take a slot of one upstream, by kind, over the
// recent past. It is not safe for concurrent use.
type SlotTimeEstimator struct {
	kinds map[call.Class]*slotTime
	all   slotTime
}

// slotTime is a mean in which the weight of samples fades. Without new ones it stays.
type slotTime struct {
	sum, count float64
	clock      decay.Clock
}

func (st *slotTime) add(now time.Time, took time.Duration) {
	keep := st.clock.Factor(now, paceHalfLife)
	st.sum = st.sum*keep + took.Seconds()
	st.count = st.count*keep + 1
}

// Add takes in the time for which a call had a slot.
func (pc *SlotTimeEstimator) Add(now time.Time, class call.Class, took time.Duration) {
	pc.all.add(now, took)
	if pc.kinds == nil {
		pc.kinds = make(map[call.Class]*slotTime)
	}
	st := pc.kinds[class]
	if st == nil {
		if len(pc.kinds) == maxPaces {
			return
		}
		st = &slotTime{}
		pc.kinds[class] = st
	}
	st.add(now, took)
}

// Estimate returns the time for which a call of the kind takes a slot, or that of all calls
// if there was none of the kind. It is zero if there was none at all.
func (pc *SlotTimeEstimator) Estimate(class call.Class) time.Duration {
	st := pc.kinds[class]
	if st == nil {
		st = &pc.all
	}
	if st.count == 0 {
		return 0
	}
	return time.Duration(st.sum / st.count * float64(time.Second))
}
