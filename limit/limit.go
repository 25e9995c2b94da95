// Package limit learns the concurrency limit of an upstream. The limit follows the slots
// that the upstream announced. It falls below them while the upstream's own latency shows
// that it cannot run so many calls at once.
package limit

import (
	"cmp"
	"time"
)

const (
	// warmUpStartPercent is the share of the slots at the start of a warm-up.
	warmUpStartPercent = 20
	// decreasePercent is the limit after a decrease, in percent of the one before.
	decreasePercent = 75
	// increasePercent is the limit after an increase, in percent of the one before.
	increasePercent = 125
	// bindingPercent is the share of the limit that must have been in use for the limit
	// to fall.
	bindingPercent = 80
	// steadyPercent is the mean latency, in percent of the previous one, up to which it
	// counts as steady.
	steadyPercent = 110
	// minLatencyGain is the least effect of a lasting decrease: the relative fall of the
	// latency, as a multiple of the relative fall of the limit.
	minLatencyGain = 0.6
	// settleLatencies is the time before a decrease is evaluated, as a multiple of the
	// mean latency.
	settleLatencies = 2
	// maxHoldOffFactor bounds the growth of the hold-off.
	maxHoldOffFactor = 8
)

// Settings configures a Limit. Zero fields take the defaults.
type Settings struct {
	// Floor is the lowest limit, in calls (default 2).
	Floor int
	// FloorPercent is the lowest limit, in percent of the announced slots (default 25).
	FloorPercent int
	// Interval is the shortest time between two adjustments (default 40 ms).
	Interval time.Duration
	// MinLatencyWindow is the time after which a minimum of the latency is discarded
	// (default 30 s).
	MinLatencyWindow time.Duration
	// TolerancePercent is the latency, in percent of the minimum, above which the limit
	// falls (default 250).
	TolerancePercent int
	// HoldOff is the time without a further decrease after one that did not lower the
	// latency (default 2 s). It doubles with each such decrease in a row, up to eight
	// times.
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

// Limit is a learned concurrency limit. It is not safe for concurrent use.
type Limit struct {
	settings    Settings
	slots       int
	warmUp      time.Duration
	warmUpStart time.Time
	// learned is the limit apart from the warm-up, which begins at warmUpStart.
	learned    float64
	minLatency minimum
	// recent holds the samples since the last check of the latency, and window those
	// since the last adjustment.
	recent, window window
	trial          trial
	reference      reference
	previousMean   time.Duration
	// No decrease takes place before holdOffUntil. holdOffFactor multiplies the next
	// hold-off.
	holdOffUntil  time.Time
	holdOffFactor time.Duration
}

// trial is a decrease whose effect on the latency has not been evaluated yet.
type trial struct {
	active bool
	// settled is the time from which calls count. By then the calls that started under
	// the former limit have ended. The first calls to end after a change are the shortest
	// ones and would bias the mean.
	settled time.Time
}

// reference is the state before the first of several decreases. Each of them is compared
// with it. Its limit is zero when no decrease is in force.
type reference struct {
	limit   float64
	latency time.Duration
}

// New returns a limit of zero, which holds until slots are set.
func New(st Settings) *Limit {
	st = st.withDefaults()
	return &Limit{settings: st, minLatency: minimum{span: st.MinLatencyWindow}, holdOffFactor: 1}
}

// SetSlots sets the announced slots of the upstream. The first call and any change of
// warmUp start a warm-up, in which the limit rises from a small share to all slots within
// warmUp. Repeating a call has no effect.
func (lm *Limit) SetSlots(now time.Time, slots int, warmUp time.Duration) {
	slots = max(slots, 0)
	if lm.slots == 0 || warmUp != lm.warmUp {
		lm.warmUp, lm.warmUpStart = warmUp, now
	}
	if lm.slots == 0 {
		lm.learned = float64(slots)
	} else if slots != lm.slots {
		lm.learned *= float64(slots) / float64(lm.slots)
	}
	lm.slots = slots
}

// Reset discards all that was learned, because the upstream restarted. The limit is zero
// until the next SetSlots, which starts a warm-up.
func (lm *Limit) Reset() {
	*lm = *New(lm.settings)
}

// Observe records a call that ended now. The latency covers the upstream's own work: it
// leaves out the time for which the upstream waited for its own calls, if that is known.
// running counts the calls that ran just before this one ended, itself included. ok is
// false for failed and aborted calls, which count only if they were slow.
func (lm *Limit) Observe(now time.Time, latency time.Duration, running int, ok bool) {
	tolerated := lm.latencyThreshold()
	if !ok && latency <= tolerated {
		return
	}
	if ok {
		lm.minLatency.add(now, latency)
	}
	lm.recent.add(latency, running)
	age := now.Sub(lm.recent.start)
	if age < lm.settings.Interval || (lm.recent.count < checkSamples && age < maxCheckInterval) {
		return
	}
	if mean := lm.recent.mean(); mean <= tolerated || tolerated == 0 {
		lm.raise(now)
	} else {
		lm.window.merge(lm.recent)
		lm.considerDecrease(now)
	}
	lm.recent.reset(now)
}

// raise raises the limit because the latency is tolerable. It ends a trial.
func (lm *Limit) raise(now time.Time) {
	lm.trial.active = false
	lm.increase()
	lm.window.reset(now)
}

// considerDecrease evaluates the samples of the window, whose latency is too high. It
// ends or starts a trial once there are enough of them.
func (lm *Limit) considerDecrease(now time.Time) {
	mean, span := lm.window.mean(), now.Sub(lm.window.start)
	// A window shorter than one latency holds mostly short calls or mostly long ones.
	spansLatency := span >= mean
	switch {
	case lm.trial.active && now.Before(lm.trial.settled):
	case lm.trial.active && (!spansLatency || lm.window.count < trialSamples):
		return
	case lm.trial.active:
		lm.evaluateTrial(now, mean)
	case span < maxWindowSpan && (!spansLatency || lm.window.count < decreaseSamples):
		return
	case lm.window.count >= decreaseSamples && lm.binding() && !now.Before(lm.holdOffUntil) && lm.steady(mean) && lm.trialTime(span) <= maxTrialTime:
		lm.decrease(now, mean)
	}
	// The samples of the window were evaluated, or must not count.
	lm.previousMean = mean
	lm.window.reset(now)
}

// increase raises the limit by one step, and ends the growth of the hold-off. It drops
// the reference once the limit is back there.
func (lm *Limit) increase() {
	lm.learned = min(lm.learned*increasePercent/100+1, float64(lm.slots))
	lm.holdOffFactor = 1
	if lm.learned >= lm.reference.limit {
		lm.reference = reference{}
	}
}

// decrease lowers the limit by one step, but not below its floor, and starts a trial.
func (lm *Limit) decrease(now time.Time, mean time.Duration) {
	lower := max(lm.learned*decreasePercent/100, lm.floor())
	if lower >= lm.learned {
		return
	}
	if lm.reference.limit == 0 {
		lm.reference = reference{limit: lm.learned, latency: (mean + lm.previousMean) / 2}
	}
	lm.trial = trial{active: true, settled: now.Add(settleLatencies * mean)}
	lm.learned = lower
}

// evaluateTrial retains the decrease if the latency fell since the reference by at least
// minLatencyGain times as much as the limit did. Otherwise the latency has another cause,
// and a lower limit would only lose throughput: all decreases are undone.
func (lm *Limit) evaluateTrial(now time.Time, mean time.Duration) {
	expected := 1 - minLatencyGain*(1-lm.learned/lm.reference.limit)
	if float64(mean) <= float64(lm.reference.latency)*expected {
		lm.trial.active = false
		return
	}
	lm.undoDecreases()
	lm.holdOffUntil = now.Add(lm.settings.HoldOff * lm.holdOffFactor)
	lm.holdOffFactor = min(lm.holdOffFactor*2, maxHoldOffFactor)
}

// undoDecreases restores the limit of the reference.
func (lm *Limit) undoDecreases() {
	lm.trial.active = false
	lm.learned = min(lm.reference.limit, float64(lm.slots))
	lm.reference = reference{}
}

// trialTime estimates the duration of a trial from the calls in the window, which were
// collected over span.
func (lm *Limit) trialTime(span time.Duration) time.Duration {
	return settleLatencies*lm.window.mean() + trialSamples*span/time.Duration(lm.window.count)
}

// binding reports whether nearly the whole limit was in use at some time in the window.
func (lm *Limit) binding() bool {
	return float64(lm.window.peakRunning) >= lm.learned*bindingPercent/100
}

// steady reports whether the mean latency has stopped rising. The effect of a decrease
// could not be compared with a mean that still rises.
func (lm *Limit) steady(mean time.Duration) bool {
	return mean <= lm.previousMean*steadyPercent/100
}

// floor returns the lowest limit.
func (lm *Limit) floor() float64 {
	return min(max(float64(lm.settings.Floor), float64(lm.slots*lm.settings.FloorPercent)/100), float64(lm.slots))
}

// latencyThreshold returns the latency above which the limit falls, or zero before a
// minimum is known.
func (lm *Limit) latencyThreshold() time.Duration {
	return lm.minLatency.value() * time.Duration(lm.settings.TolerancePercent) / 100
}

// Current returns the number of calls that may run at once at the time now.
func (lm *Limit) Current(now time.Time) int {
	if lm.slots == 0 {
		return 0
	}
	cur := lm.learned
	if since := now.Sub(lm.warmUpStart); since < lm.warmUp {
		const start = warmUpStartPercent / 100.0
		share := start + (1-start)*float64(since)/float64(lm.warmUp)
		cur = min(cur, float64(lm.slots)*share)
	}
	return max(int(cur), 1)
}

// MinLatency returns the lowest recent mean of the latency, or zero before the first one
// is known.
func (lm *Limit) MinLatency() time.Duration { return lm.minLatency.value() }
