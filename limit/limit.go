// Package limit learns how much work an upstream can run at once. The limit
// follows the slots that the upstream announced, and falls below them while
// its own latency shows that it runs more than it can.
package limit

import "time"

// Settings tune a Limit. Zero fields take the defaults.
type Settings struct {
	// Floor is the lowest limit, in calls (default 2).
	Floor int
	// FloorPercent is the lowest limit, in percent of the announced slots
	// (default 25).
	FloorPercent int
	// Interval is the shortest time between two adjustments (default 40 ms).
	Interval time.Duration
	// MinWindow is the time for which a minimum of the latency is kept
	// (default 30 s).
	MinWindow time.Duration
	// TolerancePercent is the latency, in percent of the minimum, above
	// which the limit falls (default 200).
	TolerancePercent int
	// HoldOff is the time without a further decrease after one that did not
	// lower the latency (default 2 s).
	HoldOff time.Duration
}

// Limit is a concurrency limit. It is not safe for concurrent use.
type Limit struct {
	st Settings
}

// New returns a limit of zero, which holds until the first announcement.
func New(st Settings) *Limit {
	return &Limit{st: st}
}

// Announce sets the slots of the upstream. The first announcement, and a
// change of slots or warm-up, starts a warm-up: the limit rises from a small
// share to all slots within warmUp. Repeating an announcement has no effect.
func (lm *Limit) Announce(_ time.Time, _ int, _ time.Duration) {}

// Restart forgets what was learned, so that the next announcement starts a
// warm-up.
func (lm *Limit) Restart() {}

// Observe records a call that ended now. The latency is that of the
// upstream's own work: the time in which it waited for calls of its own is
// left out where it is known. running counts the calls that ran just before
// this one ended, itself included. ok is false for failed and aborted calls.
func (lm *Limit) Observe(_ time.Time, _ time.Duration, _ int, _ bool) {}

// Current returns the number of calls that may run at once.
func (lm *Limit) Current(_ time.Time) int { return 0 }

// MinLatency returns the windowed minimum of the latency, or zero before the
// first one is known.
func (lm *Limit) MinLatency() time.Duration { return 0 }
