package throttle

import (
	"time"

	"camphortrail/call"
	"camphortrail/internal/traffic/decay"
)

const (
	// baseTarget is the occupancy at which the least important kind is held: all
	// slots are busy, and few attempts wait. What waits deep in a tree holds the
	// slots of the services above it.
	baseTarget call.Occupancy = 120
	// targetStep is added for each less important kind, so that those have given
	// way by then. A queue of that length delays a call by a part of its service time.
	targetStep call.Occupancy = 60
	// proportional is the change of a share for a relative error of 1, and
	// integral that in each second. What is admitted too much stays in the queue
	// until it is served, so that the occupancy integrates the error of the
	// share: without the proportional part both would swing. The replay of
	// share_test.go shows the loop damped with these.
	proportional = 0.7
	integral     = 0.4
	// belowTarget multiplies an error below the target, so that the share is back
	// soon after an overload.
	belowTarget = 2
	// maxExcess bounds the excess of the occupancy over its target, as a part
	// of the target, that counts.
	maxExcess = 1.5
	// smoothing is the half-life of the weight of an occupancy: the requests of a
	// kind meet different VMs, one after the other.
	smoothing = 100 * time.Millisecond
	// occupancyLife is the time for which an occupancy counts.
	occupancyLife = 500 * time.Millisecond
	// roomBelow is the occupancy below which all services of the tree have room,
	// if they had for roomTime: longer than an overload takes to come back after
	// requests were refused for it.
	roomBelow = 80
	roomTime  = 2 * time.Second
	// unknownExcess is assumed while no occupancy is known, so that the share
	// grows slowly.
	unknownExcess = -0.25 * belowTarget
	// maxAdjustment bounds the time that one adjustment accounts for.
	maxAdjustment = 200 * time.Millisecond
	// leastPart is the part of the share of all kinds that each kind gets
	// whatever the load is: no kind is to be served less than a quarter as often
	// as all.
	leastPart = 0.3
	// clearlyMore is the multiple of its least share from which a kind can give
	// way to a more important one.
	clearlyMore = 1.25
	// leastShare keeps a few requests coming, whose answers tell the occupancy.
	leastShare = 0.02
	// shareHalfLife is the time in which the weight of a past request halves:
	// longer than callers that were refused take to come back, so that what is
	// admitted does not rise and fall with them.
	shareHalfLife = 2 * time.Second
)

// share is the part of the requests of a kind that an entry admits by itself, where
// the guards of the services do not tell the room that there is. A controller with
// a proportional and an integral part holds the occupancy that they meet at its
// target.
type share struct {
	value, integral float64
	// occupancy is the moving mean of what the requests met until metAt.
	occupancy float64
	smoother  decay.Clock
	metAt     time.Time
	// busyAt is when the occupancy was last so that a service had no room.
	busyAt   time.Time
	adjusted time.Time
	// arrived and admitted count recent tries, ended those whose answer came or whose
	// caller left, and through those that came through.
	arrived, admitted, ended, through float64
	clock                             decay.Clock
}

func newShare() share { return share{value: 1, integral: 1} }

// set makes the share begin at a value that was found in another way.
func (sh *share) set(now time.Time, value float64) {
	sh.value, sh.integral, sh.adjusted = value, value, now
}

// meet takes in the occupancy that a request has met.
func (sh *share) meet(now time.Time, oc call.Occupancy) {
	keep := sh.smoother.Factor(now, smoothing)
	sh.occupancy = sh.occupancy*keep + float64(oc)*(1-keep)
	sh.metAt = now
	if sh.occupancy >= roomBelow {
		sh.busyAt = now
	}
}

// adjust changes the share for the time since the last adjustment.
func (sh *share) adjust(now time.Time, target call.Occupancy) {
	passed := min(now.Sub(sh.adjusted), maxAdjustment).Seconds()
	sh.adjusted = now
	excess := unknownExcess
	if sh.known(now) {
		if excess = min(sh.occupancy/float64(target)-1, maxExcess); excess < 0 {
			excess *= belowTarget
		}
	}
	sh.integral = min(max(sh.integral-integral*excess*passed, 0), 1)
	sh.value = min(max(sh.integral-proportional*excess, 0), 1)
}

// known reports whether an occupancy was met lately.
func (sh *share) known(now time.Time) bool { return now.Sub(sh.metAt) < occupancyLife }

// occupied reports whether a service of the tree may be busy.
func (sh *share) occupied(now time.Time) bool {
	return !sh.known(now) || now.Sub(sh.busyAt) < roomTime
}

func (sh *share) decay(now time.Time) {
	keep := sh.clock.Factor(now, shareHalfLife)
	sh.arrived *= keep
	sh.admitted *= keep
	sh.ended *= keep
	sh.through *= keep
}
