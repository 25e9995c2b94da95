package entry

import (
	"time"

	"camphortrail/call"
)

const (
	// longestWaitPeriod is the period over which the longest stated wait of a route is
	// taken. A wait counts for one to two periods.
	longestWaitPeriod = 10 * time.Second
	// firstSendSpreadDivisor gives the spread of the waits that first sends state, as a
	// fraction of the longest wait: callers of one route set different deadlines.
	firstSendSpreadDivisor = 6
)

// longestWait tracks the longest time until the deadline that callers of a route stated. It
// belongs to a first send, because a request that is sent again has the same deadline and
// therefore less time left.
type longestWait struct {
	longest, recent time.Duration
	since           time.Time
}

// add records a stated wait, and returns the longest one of the last one to two periods.
func (lw *longestWait) add(now time.Time, wait time.Duration) time.Duration {
	if now.Sub(lw.since) >= longestWaitPeriod {
		lw.longest, lw.recent, lw.since = lw.recent, 0, now
	}
	lw.recent = max(lw.recent, wait)
	lw.longest = max(lw.longest, wait)
	return lw.longest
}

// timeWaited estimates the minimum time for which the caller of a request has waited, from
// the time until its deadline. returning is true if that is above zero, so that the caller
// must have sent the request before.
func (en *Entry) timeWaited(class call.Class, now, deadline time.Time) (waited time.Duration, returning bool) {
	if deadline.IsZero() {
		return 0, false
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	lw := en.longestWaits[class]
	if lw == nil {
		lw = &longestWait{}
		en.longestWaits[class] = lw
	}
	wait := deadline.Sub(now)
	whole := lw.add(now, wait)
	waited = max(whole-whole/firstSendSpreadDivisor-wait, 0)
	return waited, waited > 0
}
