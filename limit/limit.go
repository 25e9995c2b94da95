// Package limit learns how much work an upstream can run at once. The limit
// follows the slots that the upstream announced, and falls below them while
// its own latency shows that it runs more than it can.
package limit

import (
	"cmp"
	"time"
)

const (
	// warmUpStartPercent is the share of the slots at the start of a warm-up.
	warmUpStartPercent = 20
	// decreasePercent is the limit after a decrease, in percent.
	decreasePercent = 75
	// increasePercent is the limit after an increase, in percent.
	increasePercent = 125
	// bindingPercent is the share of the limit that must have been in use
	// for the limit to fall.
	bindingPercent = 80
	// steadyPercent is the mean latency, in percent of the one before, up to
	// which it counts as steady.
	steadyPercent = 110
	// keptShare is the relative fall of the latency that a decrease must
	// bring to be kept, as a share of the relative fall of the limit.
	keptShare = 0.6
	// settleLatencies is the time before a decrease is judged, as a multiple
	// of the mean latency.
	settleLatencies = 2
	// maxHoldOffFactor bounds the growth of the hold-off.
	maxHoldOffFactor = 8
)

// Settings tune a Limit. Zero fields take the defaults.
type Settings struct {
	// Floor is the lowest limit, in calls (default 2).
	Floor int
	// FloorPercent is the lowest limit, in percent of the announced slots
	// (default 25).
	FloorPercent int
	// Interval is the shortest time between two adjustments (default 40 ms).
	Interval time.Duration
	// MinLatencyWindow is the time for which a minimum of the latency is kept
	// (default 30 s).
	MinLatencyWindow time.Duration
	// TolerancePercent is the latency, in percent of the minimum, above
	// which the limit falls (default 250).
	TolerancePercent int
	// HoldOff is the time without a further decrease after one that did not
	// lower the latency (default 2 s). It doubles with each one in a row, up
	// to eight times.
	HoldOff time.Duration
}

func (st Settings) withDefaults() Settings {
	st.Floor = cmp.Or(st.Floor, 2)
	st.FloorPercent = cmp.Or(st.FloorPercent, 25)
	st.Interval = cmp.Or(st.Interval, 40*time.Millisecond)
	st.MinLatencyWindow = cmp.Or(st.MinLatencyWindow, 30*time.Second)
	st.TolerancePercent = cmp.Or(st.TolerancePercent, 250)
	st.HoldOff = cmp.Or(st.HoldOff, 2*time.Second)
	return st
}

// Limit is a concurrency limit. It is not safe for concurrent use.
type Limit struct {
	st       Settings
	slots    int
	warmUp   time.Duration
	warmFrom time.Time
	learned  float64
	min      minimum
	// recent holds the samples since the last look at them, and win those
	// since the last adjustment.
	recent, win window
	tr          trial
	ref         reference
	lastMean    time.Duration
	holdUntil   time.Time
	holdFactor  time.Duration
}

// trial is a decrease whose effect on the latency is still to be judged.
type trial struct {
	active bool
	// settled is the time from which calls count. By then those started
	// under the former limit have ended; the first to end after a change
	// are the shortest, and would mislead.
	settled time.Time
}

// reference is the state before the first of several decreases, against which
// each of them is judged. It has no limit when nothing was decreased.
type reference struct {
	limit   float64
	latency time.Duration
}

// New returns a limit of zero, which holds until the first announcement.
func New(st Settings) *Limit {
	st = st.withDefaults()
	return &Limit{st: st, min: minimum{span: st.MinLatencyWindow}, holdFactor: 1}
}

// SetSlots sets the slots of the upstream. The first announcement, and a
// change of the warm-up, starts a warm-up: the limit rises from a small share
// to all slots within warmUp. Repeating an announcement has no effect.
func (lm *Limit) SetSlots(now time.Time, slots int, warmUp time.Duration) {
	slots = max(slots, 0)
	if lm.slots == 0 || warmUp != lm.warmUp {
		lm.warmUp, lm.warmFrom = warmUp, now
	}
	if lm.slots == 0 {
		lm.learned = float64(slots)
	} else if slots != lm.slots {
		lm.learned *= float64(slots) / float64(lm.slots)
	}
	lm.slots = slots
}

// Reset forgets what was learned, so that the next announcement starts a
// warm-up. Until then the limit is zero.
func (lm *Limit) Reset() {
	*lm = *New(lm.st)
}

// Observe records a call that ended now. The latency is that of the
// upstream's own work: the time in which it waited for calls of its own is
// left out where it is known. running counts the calls that ran just before
// this one ended, itself included. ok is false for failed and aborted calls,
// which count only if they were slow.
func (lm *Limit) Observe(now time.Time, latency time.Duration, running int, ok bool) {
	tolerated := lm.tolerated()
	if !ok && latency <= tolerated {
		return
	}
	if ok {
		lm.min.add(now, latency)
	}
	lm.recent.add(latency, running)
	age := now.Sub(lm.recent.from)
	if age < lm.st.Interval || (lm.recent.count < calmSamples && age < maxCalmWindow) {
		return
	}
	if mean := lm.recent.mean(); mean <= tolerated || tolerated == 0 {
		lm.relax(now)
	} else {
		lm.win.merge(lm.recent)
		lm.adjust(now)
	}
	lm.recent.restart(now)
}

// relax raises the limit because the latency is tolerable.
func (lm *Limit) relax(now time.Time) {
	lm.tr.active = false
	lm.increase()
	lm.win.restart(now)
}

// adjust judges the samples of the window, whose latency is too high.
func (lm *Limit) adjust(now time.Time) {
	mean, span := lm.win.mean(), now.Sub(lm.win.from)
	// Over less than one latency, short calls or long ones prevail.
	whole := span >= mean
	switch {
	case lm.tr.active && now.Before(lm.tr.settled):
	case lm.tr.active && (!whole || lm.win.count < trialSamples):
		return
	case lm.tr.active:
		lm.judge(now, mean)
	case span < maxWindow && (!whole || lm.win.count < judgedSamples):
		return
	case lm.win.count >= judgedSamples && lm.binding() && !now.Before(lm.holdUntil) && lm.steady(mean) && lm.trialTime(span) <= maxTrial:
		lm.decrease(now, mean)
	}
	lm.lastMean = mean
	lm.win.restart(now)
}

func (lm *Limit) increase() {
	lm.learned = min(lm.learned*increasePercent/100+1, float64(lm.slots))
	lm.holdFactor = 1
	if lm.learned >= lm.ref.limit {
		lm.ref = reference{}
	}
}

func (lm *Limit) decrease(now time.Time, mean time.Duration) {
	lower := max(lm.learned*decreasePercent/100, lm.floor())
	if lower >= lm.learned {
		return
	}
	if lm.ref.limit == 0 {
		lm.ref = reference{limit: lm.learned, latency: (mean + lm.lastMean) / 2}
	}
	lm.tr = trial{active: true, settled: now.Add(settleLatencies * mean)}
	lm.learned = lower
}

// judge keeps the decrease if the latency fell by at least keptShare times as much as
// the limit since the reference. Otherwise the latency has another cause, and
// a lower limit would only lose throughput.
func (lm *Limit) judge(now time.Time, mean time.Duration) {
	expected := 1 - keptShare*(1-lm.learned/lm.ref.limit)
	if float64(mean) <= float64(lm.ref.latency)*expected {
		lm.tr.active = false
		return
	}
	lm.restore()
	lm.holdUntil = now.Add(lm.st.HoldOff * lm.holdFactor)
	lm.holdFactor = min(lm.holdFactor*2, maxHoldOffFactor)
}

// restore undoes all decreases since the reference.
func (lm *Limit) restore() {
	lm.tr.active = false
	lm.learned = min(lm.ref.limit, float64(lm.slots))
	lm.ref = reference{}
}

// trialTime estimates the duration of a trial from the calls in the window,
// which was collected over span.
func (lm *Limit) trialTime(span time.Duration) time.Duration {
	return settleLatencies*lm.win.mean() + trialSamples*span/time.Duration(lm.win.count)
}

// binding reports whether the limit was nearly used up in the window.
func (lm *Limit) binding() bool {
	return float64(lm.win.peak) >= lm.learned*bindingPercent/100
}

// steady reports whether the mean latency has stopped rising. A decrease
// could not be judged against a mean that still rises.
func (lm *Limit) steady(mean time.Duration) bool {
	return mean <= lm.lastMean*steadyPercent/100
}

func (lm *Limit) floor() float64 {
	return min(max(float64(lm.st.Floor), float64(lm.slots*lm.st.FloorPercent)/100), float64(lm.slots))
}

// tolerated returns the latency above which the limit falls, or zero before
// a minimum is known.
func (lm *Limit) tolerated() time.Duration {
	return lm.min.value() * time.Duration(lm.st.TolerancePercent) / 100
}

// Current returns the number of calls that may run at once.
func (lm *Limit) Current(now time.Time) int {
	if lm.slots == 0 {
		return 0
	}
	cur := lm.learned
	if since := now.Sub(lm.warmFrom); since < lm.warmUp {
		const start = warmUpStartPercent / 100.0
		share := start + (1-start)*float64(since)/float64(lm.warmUp)
		cur = min(cur, float64(lm.slots)*share)
	}
	return max(int(cur), 1)
}

// MinLatency returns the windowed minimum of the mean latency, or zero
// before the first one is known.
func (lm *Limit) MinLatency() time.Duration { return lm.min.value() }
