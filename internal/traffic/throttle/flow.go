package throttle

import (
	"math"
	"time"

	"camphortrail/internal/traffic/decay"
)

const (
	// rateHalfLife is the time in which the weight of a past arrival halves.
	rateHalfLife = 200 * time.Millisecond
	// usualWeight is the divisor of a new sample of the time that requests take.
	usualWeight = 16
	// minReturn is the least time left, after that which a request usually takes,
	// for which it is worth while to come back within the target.
	minReturn = 100 * time.Millisecond
)

// flow is the requests of a kind that are on time, or those that are not.
type flow struct {
	// recent counts the arrivals.
	recent float64
	clock  decay.Clock
	// credit is what is left of the shares of the requests so far, at least 1 to
	// admit one.
	credit float64
}

// grant reports whether a request that came is within the share.
func (fl *flow) grant(now time.Time, share float64) bool {
	fl.recent = fl.recent*fl.clock.Factor(now, rateHalfLife) + 1
	fl.credit += share
	if fl.credit < 1 {
		return false
	}
	fl.credit--
	return true
}

// perSecond returns the rate of the arrivals.
func (fl *flow) perSecond(now time.Time) float64 {
	fl.recent *= fl.clock.Factor(now, rateHalfLife)
	return fl.recent * math.Ln2 / rateHalfLife.Seconds()
}

func (kd *kind) flow(late bool) *flow {
	if late {
		return &kd.overdue
	}
	return &kd.timely
}

// late reports whether a request can hardly be answered within its target. Where
// requests usually take most of the target, those that came at once are not late.
func (kd *kind) late(rq Request) bool {
	return rq.Target > 0 && rq.Waited+min(kd.usual, rq.Target-rq.Target/4) > rq.Target
}

// returnTime returns the mean time after which a refused request may come back:
// while it can still be answered within its target, or else the later the more are
// refused.
func (kd *kind) returnTime(rq Request, refused float64) time.Duration {
	if left := rq.Target - rq.Waited - kd.usual; rq.Target > 0 && left >= minReturn {
		// The mean is varied by a half.
		return left / 2
	}
	return returnTime(refused)
}
