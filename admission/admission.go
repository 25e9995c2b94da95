// Package admission decides which attempts run on one upstream VM, which
// wait and which are refused. Under overload the least important work is
// refused first.
//
// An overload begins when an attempt is refused for lack of capacity
// (Reason.Load), and lasts until, at the end of a Step, fewer attempts run
// than may run and none waits. While it lasts, no attempt that is less
// important than one so refused waits or starts.
package admission

import (
	"cmp"
	"math/rand/v2"
	"time"

	"camphortrail/call"
	"camphortrail/limit"
)

// Settings tune a Machine. Zero fields take the defaults.
type Settings struct {
	// TargetWait bounds the estimated time in which all waiting work is
	// started (default 50 ms). The mean service time takes its place if that
	// is longer, up to half of MaxWait.
	TargetWait time.Duration
	// MaxWait is the longest time for which an attempt waits (default
	// 500 ms), and at most for three quarters of the time that its deadline
	// leaves.
	MaxWait time.Duration
	// MaxWaiting bounds the number of waiting attempts (default 4096).
	MaxWaiting int
	// MaxSlots bounds the announced slots (default 4096).
	MaxSlots int
	// FreeSlotDivisor is the part of the slots, 1 in so many, that is left free:
	// upstreams may slow down when they are nearly full. Zero leaves none.
	FreeSlotDivisor int
	// RetryAfter is the mean time proposed to refused callers at the lowest
	// overload (default 200 ms).
	RetryAfter time.Duration
	// MaxRetryAfter bounds the mean time proposed to refused callers
	// (default 2 s).
	MaxRetryAfter time.Duration
	// Limit tunes the learned concurrency limit.
	Limit limit.Settings
}

func (st Settings) withDefaults() Settings {
	st.TargetWait = cmp.Or(st.TargetWait, 50*time.Millisecond)
	st.MaxWait = cmp.Or(st.MaxWait, 500*time.Millisecond)
	st.MaxWaiting = cmp.Or(st.MaxWaiting, 4096)
	st.MaxSlots = cmp.Or(st.MaxSlots, 4096)
	st.RetryAfter = cmp.Or(st.RetryAfter, 200*time.Millisecond)
	st.MaxRetryAfter = cmp.Or(st.MaxRetryAfter, 2*time.Second)
	return st
}

// Controller admits work to one upstream VM. It is not safe for concurrent use.
type Controller struct {
	st    Settings
	rng   *rand.Rand
	lm    *limit.Limit
	epoch time.Time

	slots   int
	leaving bool

	tasks    []task
	free     []int32
	ids      index
	waiting  queue
	running  [call.MaxImportance + 1]int
	total    int
	arrivals uint64
	es       estimate
	ov       overload
	oc       occupancy
	out      output
}

// New returns a machine without an upstream. Jitter is drawn from rng.
func New(st Settings, rng *rand.Rand) *Controller {
	return &Controller{
		st:  st.withDefaults(),
		rng: rng,
		lm:  limit.New(st.Limit),
		ids: newIndex(rng.Uint64()),
	}
}

// Step applies an event at the time now, which never runs backwards. The
// returned actions are valid until the next Step.
func (mc *Controller) Step(now time.Time, ev Event) []Action {
	if mc.epoch.IsZero() {
		mc.epoch = now
	}
	mc.out.reset()
	mc.ov.rotate(now)
	mc.expire(now)
	switch ev := ev.(type) {
	case Announce:
		mc.announce(now, ev)
	case Drain:
		mc.leaving = true
	case Resume:
		mc.leaving = false
	case Arrive:
		mc.arrive(now, &ev)
	case Finish:
		mc.finish(now, ev)
	case Cancel:
		mc.cancel(ev.ID)
	case Tick:
	}
	mc.dispatch(now)
	mc.trim(now)
	if mc.ov.on && mc.waiting.len() == 0 && mc.total < mc.lm.Current(now) {
		mc.ov.end()
	}
	mc.oc.set(now, mc.total+mc.waiting.len(), mc.lm.Current(now))
	return mc.out.actions
}

// Level returns the level below which work is refused at present, and zero
// when there is no overload.
func (mc *Controller) Level() call.Level {
	if mc.waiting.len() == 0 {
		return mc.ov.level(maxLevel)
	}
	_, worst := mc.waiting.worstTask()
	return mc.ov.level(worst.level())
}

// DelayedLevel returns the highest level of work that waited for a fifth
// of TargetWait or more before it started, or was refused for lack of capacity,
// in the last 50 ms to 100 ms. Work of a higher level starts at once.
func (mc *Controller) DelayedLevel() call.Level { return mc.ov.pressure() }

// Occupancy returns the attempts that run or wait for each that may run at once,
// in the mean of about the last 100 ms.
func (mc *Controller) Occupancy() call.Occupancy { return mc.oc.percent() }

// Running returns the number of attempts that run.
func (mc *Controller) Running() int { return mc.total }

// Waiting returns the number of attempts that wait.
func (mc *Controller) Waiting() int { return mc.waiting.len() }

// WaitingOf returns the number of attempts of an importance that wait.
func (mc *Controller) WaitingOf(imp call.Importance) int { return mc.waiting.counts[imp] }

// usable returns how many of the slots are used.
func (st Settings) usable(slots int) int {
	if st.FreeSlotDivisor == 0 {
		return slots
	}
	return slots - (slots+st.FreeSlotDivisor/2)/st.FreeSlotDivisor
}

// Slots returns the announced slots, and zero without an upstream.
func (mc *Controller) Slots() int { return mc.slots }

// Limit returns the number of attempts that may run at once at the time now.
func (mc *Controller) Limit(now time.Time) int { return mc.lm.Current(now) }

// Draining reports whether all new work is refused because of Leave.
func (mc *Controller) Draining() bool { return mc.leaving }

// NextWake returns the time at which Tick is due, and false if it is not.
func (mc *Controller) NextWake(now time.Time) (time.Time, bool) {
	if mc.waiting.len() == 0 {
		return time.Time{}, false
	}
	_, giveUp := mc.waiting.firstExpiry()
	due := mc.epoch.Add(giveUp)
	if warm := now.Add(warmUpTick); mc.lm.Current(now) < mc.slots && warm.Before(due) {
		return warm, true
	}
	return due, true
}
