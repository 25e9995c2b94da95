package entry

import (
	"time"

	"camphortrail/call"
)

const (
	// longestWaitPeriod is the time for which the longest wait that callers of a route
	// have stated counts, unless a longer one is stated.
	longestWaitPeriod = 10 * time.Second
	// firstSendSpreadDivisor is the part of the longest wait, 1 in so many, by which the waits
	// of first sends differ: callers of one route are not equally patient.
	firstSendSpreadDivisor = 6
)

// longestWait is the longest time for which callers of a route said that they wait: that
// of a first send. Those that send a request again have less left.
type longestWait struct {
	longest, recent time.Duration
	since            time.Time
}

// add takes in a wait that a caller has stated, and returns the longest of them.
func (sp *longestWait) add(now time.Time, wait time.Duration) time.Duration {
	if now.Sub(sp.since) >= longestWaitPeriod {
		sp.longest, sp.recent, sp.since = sp.recent, 0, now
	}
	sp.recent = max(sp.recent, wait)
	sp.longest = max(sp.longest, wait)
	return sp.longest
}

// timeWaited returns how long the caller of a request has waited for it at least, by
// the time that it says it will wait, and whether it must have sent it before.
func (en *Entry) timeWaited(class call.Class, now, deadline time.Time) (waited time.Duration, returning bool) {
	if deadline.IsZero() {
		return 0, false
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	sp := en.longestWaits[class]
	if sp == nil {
		sp = &longestWait{}
		en.longestWaits[class] = sp
	}
	wait := deadline.Sub(now)
	whole := sp.add(now, wait)
	waited = max(whole-whole/firstSendSpreadDivisor-wait, 0)
	return waited, waited > 0
}
