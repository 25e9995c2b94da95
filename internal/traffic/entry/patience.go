package entry

import (
	"time"

	"camphortrail/call"
)

const (
	// spanLife is the time for which the longest wait that callers of a route
	// have stated counts, unless a longer one is stated.
	spanLife = 10 * time.Second
	// firstSpread is the part of the longest wait, 1 in so many, by which the waits
	// of first sends differ: callers of one route are not equally patient.
	firstSpread = 6
)

// span is the longest time for which callers of a route said that they wait: that
// of a first send. Those that send a request again have less left.
type span struct {
	longest, recent time.Duration
	from            time.Time
}

// see takes in a wait that a caller has stated, and returns the longest of them.
func (sp *span) see(now time.Time, wait time.Duration) time.Duration {
	if now.Sub(sp.from) >= spanLife {
		sp.longest, sp.recent, sp.from = sp.recent, 0, now
	}
	sp.recent = max(sp.recent, wait)
	sp.longest = max(sp.longest, wait)
	return sp.longest
}

// patience returns how long the caller of a request has waited for it at least, by
// the time that it says it will wait, and whether it must have sent it before.
func (en *Entry) patience(class call.Class, now, deadline time.Time) (waited time.Duration, returning bool) {
	if deadline.IsZero() {
		return 0, false
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	sp := en.spans[class]
	if sp == nil {
		sp = &span{}
		en.spans[class] = sp
	}
	wait := deadline.Sub(now)
	whole := sp.see(now, wait)
	waited = max(whole-whole/firstSpread-wait, 0)
	return waited, waited > 0
}
