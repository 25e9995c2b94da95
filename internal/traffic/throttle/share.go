package throttle

import (
	"time"

	"camphortrail/call"
	"camphortrail/internal/traffic/decay"
)

const (
	// baseTarget is the occupancy at which the least important class is held: all slots
	// are busy, and few attempts wait. Attempts that wait deep in a tree hold the slots
	// of the services above.
	baseTarget call.Occupancy = 120
	// targetStep is added for each less important class, so that those have yielded by
	// then. A queue of that length delays a call by a fraction of its service time.
	targetStep call.Occupancy = 60
	// proportionalGain is the change of a share for a relative error of 1, and
	// integralGain the change per second. An excess that was admitted stays in the queue
	// until it is served, so the occupancy integrates the error of the share: without the
	// proportional part both would oscillate. The replay in share_test.go shows that the
	// loop is damped with these gains.
	proportionalGain = 0.7
	integralGain     = 0.4
	// belowTargetGain multiplies an error below the target, so that the share recovers
	// soon after an overload.
	belowTargetGain = 2
	// maxExcess bounds the excess of the occupancy that is acted on, relative to the
	// target.
	maxExcess = 1.5
	// occupancyHalfLife is the time in which the weight of an observed occupancy halves:
	// the requests of a class meet different VMs, one after the other.
	occupancyHalfLife = 100 * time.Millisecond
	// occupancyLifetime is the time for which an observed occupancy counts.
	occupancyLifetime = 500 * time.Millisecond
	// freeOccupancy is the occupancy below which all services of the tree have free
	// slots, if it lasted for minFreeTime: longer than an overload takes to come back
	// after requests were refused for it.
	freeOccupancy = 80
	minFreeTime   = 2 * time.Second
	// unknownExcess is assumed while no occupancy is known, so that the share grows
	// slowly.
	unknownExcess = -0.25 * belowTargetGain
	// maxAdjustmentTime bounds the time that one adjustment accounts for.
	maxAdjustmentTime = 200 * time.Millisecond
	// minShareRatio is the fraction of the share of all classes that each class gets
	// whatever the load is: no class shall be served less than a quarter as often as all.
	minShareRatio = 0.3
	// yieldMargin is the multiple of its minimum share above which a class can still
	// yield to a more important one.
	yieldMargin = 1.25
	// probeShare is the minimum of any share. It lets a few requests through, whose
	// answers report the occupancy.
	probeShare = 0.02
	// shareHalfLife is the time in which the weight of a past request halves: longer than
	// refused callers take to come back, so that the admitted load does not rise and fall
	// with them.
	shareHalfLife = 2 * time.Second
)

// localShare is the fraction of the requests of a class that an entry admits on its own,
// where the guards of the services have not granted a share. A controller with a
// proportional and an integral part holds the occupancy that the requests meet at its
// target.
type localShare struct {
	value, integral float64
	// occupancy is the moving mean of the occupancy that the requests met until
	// observedAt.
	occupancy      float64
	occupancyClock decay.Clock
	observedAt     time.Time
	// busyAt is when the occupancy was last so high that a service may have had no free
	// slots.
	busyAt   time.Time
	adjusted time.Time
	// arrived and admitted count recent sends. completed counts the admitted ones that
	// were answered or whose callers left, and succeeded those that succeeded.
	arrived, admitted, completed, succeeded float64
	clock                                   decay.Clock
}

func newLocalShare() localShare { return localShare{value: 1, integral: 1} }

// reset restarts the controller at a share that was granted.
func (ls *localShare) reset(now time.Time, value float64) {
	ls.value, ls.integral, ls.adjusted = value, value, now
}

// observe adds the occupancy that a request met.
func (ls *localShare) observe(now time.Time, oc call.Occupancy) {
	factor := ls.occupancyClock.Factor(now, occupancyHalfLife)
	ls.occupancy = ls.occupancy*factor + float64(oc)*(1-factor)
	ls.observedAt = now
	if ls.occupancy >= freeOccupancy {
		ls.busyAt = now
	}
}

// adjust changes the share for the time since the last adjustment.
func (ls *localShare) adjust(now time.Time, target call.Occupancy) {
	elapsed := min(now.Sub(ls.adjusted), maxAdjustmentTime).Seconds()
	ls.adjusted = now
	excess := unknownExcess
	if ls.occupancyKnown(now) {
		if excess = min(ls.occupancy/float64(target)-1, maxExcess); excess < 0 {
			excess *= belowTargetGain
		}
	}
	ls.integral = min(max(ls.integral-integralGain*excess*elapsed, 0), 1)
	ls.value = min(max(ls.integral-proportionalGain*excess, 0), 1)
}

// occupancyKnown reports whether an occupancy was observed recently.
func (ls *localShare) occupancyKnown(now time.Time) bool {
	return now.Sub(ls.observedAt) < occupancyLifetime
}

// maybeBusy reports whether a service of the tree may be busy.
func (ls *localShare) maybeBusy(now time.Time) bool {
	return !ls.occupancyKnown(now) || now.Sub(ls.busyAt) < minFreeTime
}

func (ls *localShare) decay(now time.Time) {
	factor := ls.clock.Factor(now, shareHalfLife)
	ls.arrived *= factor
	ls.admitted *= factor
	ls.completed *= factor
	ls.succeeded *= factor
}
