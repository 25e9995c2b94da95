package throttle

import (
	"math"
	"time"

	"camphortrail/internal/traffic/decay"
)

const (
	// rateHalfLife is the time in which the weight of a past arrival halves.
	rateHalfLife = 200 * time.Millisecond
	// durationDivisor is the reciprocal of the weight of a new sample in the mean duration
	// of requests.
	durationDivisor = 16
	// minRetrySlack is the minimum time that a retry must have left to its target, beyond
	// the mean duration of a request, for an early retry to be worthwhile.
	minRetrySlack = 100 * time.Millisecond
)

// shareLimiter admits a share of the requests of a class that are timely, or of those
// that are overdue, and measures the rate of their arrivals.
type shareLimiter struct {
	// recentArrivals is the number of arrivals, weighted by rateHalfLife.
	recentArrivals float64
	clock          decay.Clock
	// tokens accumulates the shares of the requests so far; admitting a request takes
	// one.
	tokens float64
}

// allow records an arrival and reports whether it is within the share.
func (sl *shareLimiter) allow(now time.Time, share float64) bool {
	sl.recentArrivals = sl.recentArrivals*sl.clock.Factor(now, rateHalfLife) + 1
	sl.tokens += share
	if sl.tokens < 1 {
		return false
	}
	sl.tokens--
	return true
}

// arrivalRate returns the rate of arrivals per second.
func (sl *shareLimiter) arrivalRate(now time.Time) float64 {
	sl.recentArrivals *= sl.clock.Factor(now, rateHalfLife)
	return sl.recentArrivals * math.Ln2 / rateHalfLife.Seconds()
}

// limiter returns the limiter of the late requests, or of the others.
func (cs *classState) limiter(late bool) *shareLimiter {
	if late {
		return &cs.overdue
	}
	return &cs.timely
}

// late reports whether a request can hardly be answered within its target. A request that
// has not waited is not late even where requests usually take most of the target.
func (cs *classState) late(rq Request) bool {
	return rq.Target > 0 && rq.Waited+min(cs.meanDuration, rq.Target-rq.Target/4) > rq.Target
}

// retryAfter returns the mean time after which a refused request may be sent again. If
// possible, the request can then still be answered within its target. Otherwise the time
// grows with the fraction of requests that is refused.
func (cs *classState) retryAfter(rq Request, refused float64) time.Duration {
	if left := rq.Target - rq.Waited - cs.meanDuration; rq.Target > 0 && left >= minRetrySlack {
		// The actual time varies by up to a half of this mean.
		return left / 2
	}
	return retryDelay(refused)
}
