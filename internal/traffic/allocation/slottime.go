package allocation

import (
	"time"

	"camphortrail/call"
	"camphortrail/internal/traffic/decay"
)

const (
	// slotTimeHalfLife is the time in which the weight of a past call halves: longer than
	// most calls, and short compared to the time between changes of the load.
	slotTimeHalfLife = 300 * time.Millisecond
	// maxClasses bounds the number of classes with an estimate of their own.
	maxClasses = 64
)

// SlotTime is the time for which a call of a class occupies a slot.
type SlotTime struct {
	Class call.Class
	Time  time.Duration
}

// SlotTimeEstimator estimates how long calls occupy a slot of one upstream, by class,
// from recent calls. It is not safe for concurrent use.
type SlotTimeEstimator struct {
	classes map[call.Class]*slotTimeMean
	all     slotTimeMean
}

// slotTimeMean is an exponentially weighted mean. It stays as it is without new samples.
type slotTimeMean struct {
	sum, count float64
	clock      decay.Clock
}

func (sm *slotTimeMean) add(now time.Time, took time.Duration) {
	factor := sm.clock.Factor(now, slotTimeHalfLife)
	sm.sum = sm.sum*factor + took.Seconds()
	sm.count = sm.count*factor + 1
}

// Add adds a call that occupied a slot for a time.
func (est *SlotTimeEstimator) Add(now time.Time, class call.Class, took time.Duration) {
	est.all.add(now, took)
	if est.classes == nil {
		est.classes = make(map[call.Class]*slotTimeMean)
	}
	sm := est.classes[class]
	if sm == nil {
		if len(est.classes) == maxClasses {
			return
		}
		sm = &slotTimeMean{}
		est.classes[class] = sm
	}
	sm.add(now, took)
}

// Estimate returns how long a call of a class occupies a slot. For a class without a
// sample it returns the mean over all calls, which is zero if there was none at all.
func (est *SlotTimeEstimator) Estimate(class call.Class) time.Duration {
	sm := est.classes[class]
	if sm == nil {
		sm = &est.all
	}
	if sm.count == 0 {
		return 0
	}
	return time.Duration(sm.sum / sm.count * float64(time.Second))
}
