package throttle

import (
	"time"

	"camphortrail/call"
	"camphortrail/internal/traffic/decay"
)

const (
	// baseTarget is the target occupancy of the least important class, in percent: all
	// slots are busy, and few attempts wait. Attempts that wait deep in a tree hold the
	// slots of the services above.
	baseTarget call.Occupancy = 120
	// targetStep is added to the target of a class, in percentage points, for each lower
	// importance that occurs, so that the less important classes are refused first. A
	// queue of that length delays a call by a fraction of its service time.
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
	// All services of the tree count as having free slots once the occupancy has been
	// below freeOccupancy, in percent, for minFreeTime. An overload that was relieved by
	// refusals returns sooner than that.
	freeOccupancy = 80
	minFreeTime   = 2 * time.Second
	// unknownExcess is assumed while no occupancy is known, so that the share grows
	// slowly.
	unknownExcess = -0.25 * belowTargetGain
	// maxAdjustmentTime bounds the elapsed time that one adjustment integrates over.
	maxAdjustmentTime = 200 * time.Millisecond
	// minShareRatio is the minimum share of a class under any load, as a fraction of the
	// share that is admitted of all classes together. No class may be served less than a
	// quarter as often as the average.
	minShareRatio = 0.3
	// yieldMargin is a multiple of the minimum share. A class whose share is above it is
	// refused further before a more important class is refused.
	yieldMargin = 1.25
	// probeShare is the minimum of any share. It lets a few requests through, whose
	// answers report the occupancy.
	probeShare = 0.02
	// shareHalfLife is the time in which the weight of a past request halves: longer than
	// refused callers take to come back, so that the admitted load does not rise and fall
	// with them.
	shareHalfLife = 2 * time.Second
	// successHalfLife is the time in which the weight of a past result halves. The requests
	// that a step of the capacity breaks must not raise the minimum share for longer than a
	// few durations of a request.
	successHalfLife = time.Second
)

// localShare determines the fraction of the requests of a class that an entry admits while
// no guard of the services in their call trees has granted a share. A
// proportional-integral controller lowers the fraction while the occupancy that the
// requests meet is above its target, and raises it while the occupancy is below.
type localShare struct {
	// value is the current share, from 0 (admit none) to 1 (admit all), and integral the
	// integral part of the controller's output, in the same range.
	value, integral float64
	// occupancy is the exponentially weighted mean of the occupancy, in percent, that the
	// requests met. observedAt is the time of the last observation, and occupancyClock
	// ages the mean with occupancyHalfLife.
	occupancy      float64
	occupancyClock decay.Clock
	observedAt     time.Time
	// busyAt is the last time at which the mean was freeOccupancy or higher, so that a
	// service may have had no free slots. adjusted is the time of the last adjust or
	// reset.
	busyAt   time.Time
	adjusted time.Time
}

func newLocalShare() localShare { return localShare{value: 1, integral: 1} }

// reset sets the share and the integral part to a share that was granted, from which the
// controller continues when the grant expires.
func (ls *localShare) reset(now time.Time, value float64) {
	ls.value, ls.integral, ls.adjusted = value, value, now
}

// observe adds the occupancy that a request met, in percent, to the mean.
func (ls *localShare) observe(now time.Time, oc call.Occupancy) {
	factor := ls.occupancyClock.Factor(now, occupancyHalfLife)
	ls.occupancy = ls.occupancy*factor + float64(oc)*(1-factor)
	ls.observedAt = now
	if ls.occupancy >= freeOccupancy {
		ls.busyAt = now
	}
}

// adjust runs the controller for the time since the last adjustment, at most
// maxAdjustmentTime. target is the target occupancy of the class, in percent. While hold is
// true the share does not rise.
func (ls *localShare) adjust(now time.Time, target call.Occupancy, hold bool) {
	elapsed := min(now.Sub(ls.adjusted), maxAdjustmentTime).Seconds()
	ls.adjusted = now
	excess := unknownExcess
	if ls.occupancyKnown(now) {
		if excess = min(ls.occupancy/float64(target)-1, maxExcess); excess < 0 {
			excess *= belowTargetGain
		}
	}
	if hold {
		excess = max(excess, 0)
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
