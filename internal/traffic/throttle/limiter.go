package throttle

import (
	"math"
	"time"

	"camphortrail/internal/traffic/decay"
)

const (
	// rateHalfLife is the time in which the weight of a past arrival halves.
	rateHalfLife = 200 * time.Millisecond
	// maxDurationSamples is the number of requests up to which their mean duration is a plain
	// average. Each later one has the weight 1/maxDurationSamples.
	maxDurationSamples = 16
	// minRetrySlack is the minimum time that a retry must have left to its target, beyond
	// the mean duration of a request, for an early retry to be worthwhile.
	minRetrySlack = 100 * time.Millisecond
	// maxSavedTokens bounds the requests that may be admitted at once because blocking ones
	// were passed over. Where nearly all requests block others, those are admitted beyond it.
	maxSavedTokens = 4
	// maxCredit is the number of requests by which those that were admitted by their positions may
	// fall short of the share or exceed it. At it, the bound of the positions has moved by 1.
	maxCredit = 8
	// maxBurstTime is the time for which tokens of a granted rate accumulate while fewer requests
	// arrive than that.
	maxBurstTime = 500 * time.Millisecond
	// settleDivisor says that a request waits for 1/settleDivisor of the mean duration of its
	// class, but at most maxSettleTime, until it is known which requests follow it on its
	// connection.
	settleDivisor = 5
	maxSettleTime = 100 * time.Millisecond
	// blockedMemory is the time for which requests of a class settle after one has blocked
	// another past its deadline.
	blockedMemory = 10 * time.Second
)

// shareLimiter admits a share of the requests of a class that are timely, or of those
// that are overdue, and measures the rate of their arrivals.
//
// Guards grant a share of the arrivals that were reported to them. The load pattern is refused callers
// that return together: if the share applied to all that arrive, several times what fits would be
// admitted until the guards hear of it. So a share that was granted is admitted of the reported rate.
type shareLimiter struct {
	// recentArrivals is the number of arrivals, weighted by rateHalfLife.
	recentArrivals float64
	clock          decay.Clock
	// tokens accumulates the shares of the requests so far; admitting a request takes
	// one.
	tokens float64
	// credit is the same for requests with positions. It may be negative.
	credit float64
	// reported is the rate of arrivals, per second, in the last demand to the guards, if isReported
	// is true.
	reported   float64
	isReported bool
	// granted is the share of it that is admitted, or zero if a share of what arrives is. accruedAt
	// is the time up to which tokens have accrued for it.
	granted   float64
	accruedAt time.Time
}

// report records and returns the rate of arrivals that is reported to the guards.
func (sl *shareLimiter) report(now time.Time) float64 {
	sl.accrue(now)
	if !sl.isReported {
		// Arrivals bring tokens once they are reported. The first one gets its own in advance.
		sl.tokens++
	}
	sl.reported, sl.isReported = sl.arrivalRate(now), true
	return sl.reported
}

// accrue adds the tokens of the granted rate for the time since the last call.
func (sl *shareLimiter) accrue(now time.Time) {
	rate := sl.granted * sl.reported
	due := rate * now.Sub(sl.accruedAt).Seconds()
	sl.tokens = max(sl.tokens, min(sl.tokens+due, maxSavedTokens+rate*maxBurstTime.Seconds()))
	sl.credit = min(sl.credit+due, maxCredit)
	sl.accruedAt = now
}

// setGranted sets the share of the reported arrivals that is admitted, or 0 if a share of those that
// arrive is.
func (sl *shareLimiter) setGranted(now time.Time, share float64) {
	sl.accrue(now)
	sl.granted = share
}

// allow records an arrival and reports whether it is within the share, which guards have granted or
// not. A blocking request, for whose answer others would wait past their deadlines, is passed over in
// favor of the next one that is not, as long as no more than maxSavedTokens are saved for these.
func (sl *shareLimiter) allow(now time.Time, share float64, granted bool, rq Request, blocking bool) bool {
	sl.recentArrivals = sl.recentArrivals*sl.clock.Factor(now, rateHalfLife) + 1
	due := share
	if granted && sl.isReported && share < 1 {
		sl.setGranted(now, share)
		due = 0
	} else {
		sl.setGranted(now, 0)
	}
	if rq.Positioned {
		return sl.allowPosition(share, due, rq.Position, blocking)
	}
	sl.tokens += due
	if sl.tokens < 1 || blocking && share < 1 && sl.tokens < maxSavedTokens {
		return false
	}
	sl.tokens--
	return true
}

// allowPosition reports whether a request is within the share by its position. The positions of
// the requests of one class need not be uniform, as they are among all of one importance: the
// credit moves the bound so that the share is admitted nevertheless. due is the credit for this request.
func (sl *shareLimiter) allowPosition(share, due, position float64, blocking bool) bool {
	if share >= 1 {
		return true
	}
	bound := sl.bound(share)
	sl.credit = min(sl.credit+due, maxCredit)
	if position >= bound || blocking && sl.credit < maxSavedTokens {
		return false
	}
	sl.credit = max(sl.credit-1, -maxCredit)
	return true
}

// bound returns the position below which requests are admitted.
func (sl *shareLimiter) bound(share float64) float64 { return share + sl.credit/maxCredit }

// positionDraw returns a number in [0, 1) for a request that its position admits: the higher, the
// lower its position among those. It is uniform if the position is.
func (sl *shareLimiter) positionDraw(share, position float64) float64 {
	if share < 1 {
		position /= max(sl.bound(share), position, math.SmallestNonzeroFloat64)
	}
	return min(max(1-position, 0), math.Nextafter(1, 0))
}

// saved returns the tokens or the credit from which requests like this one are admitted.
func (sl *shareLimiter) saved(rq Request) *float64 {
	if rq.Positioned {
		return &sl.credit
	}
	return &sl.tokens
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

// blocking reports whether requests that wait for the answer to a request on its connection
// may wait past their deadlines. Their callers then close the connection, and both are lost.
// Requests that take up to twice the mean are common.
func (cs *classState) blocking(rq Request) bool {
	return rq.Blocks > 0 && 2*cs.meanDuration > rq.Blocks
}

// settleTime returns the time for which an admitted request waits before it starts, so that
// another one can be admitted in its place if it turns out to block a third one. It is zero where
// nothing of the class is refused, or no request has blocked others lately.
func (cs *classState) settleTime(now time.Time, share float64) time.Duration {
	if share >= 1 || cs.blockedAt.IsZero() || now.Sub(cs.blockedAt) >= blockedMemory {
		return 0
	}
	return min(cs.meanDuration/settleDivisor, maxSettleTime)
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
