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
func (ct *Controller) Step(now time.Time, ev Event) []Action {
	if ct.epoch.IsZero() {
		ct.epoch = now
	}
	ct.out.reset()
	ct.ov.rotate(now)
	ct.expire(now)
	switch ev := ev.(type) {
	case Announce:
		ct.announce(now, ev)
	case Drain:
		ct.leaving = true
	case Resume:
		ct.leaving = false
	case Arrive:
		ct.arrive(now, &ev)
	case Finish:
		ct.finish(now, ev)
	case Cancel:
		ct.cancel(ev.ID)
	case Tick:
	}
	ct.dispatch(now)
	ct.trim(now)
	if ct.ov.on && ct.waiting.len() == 0 && ct.total < ct.lm.Current(now) {
		ct.ov.end()
	}
	ct.oc.set(now, ct.total+ct.waiting.len(), ct.lm.Current(now))
	return ct.out.actions
}

// Level returns the level below which work is refused at present, and zero
// when there is no overload.
func (ct *Controller) Level() call.Level {
	if ct.waiting.len() == 0 {
		return ct.ov.level(maxLevel)
	}
	_, worst := ct.waiting.worstTask()
	return ct.ov.level(worst.level())
}

// DelayedLevel returns the highest level of work that waited for a fifth
// of TargetWait or more before it started, or was refused for lack of capacity,
// in the last 50 ms to 100 ms. Work of a higher level starts at once.
func (ct *Controller) DelayedLevel() call.Level { return ct.ov.pressure() }

// Occupancy returns the attempts that run or wait for each that may run at once,
// in the mean of about the last 100 ms.
func (ct *Controller) Occupancy() call.Occupancy { return ct.oc.percent() }

// Running returns the number of attempts that run.
func (ct *Controller) Running() int { return ct.total }

// Waiting returns the number of attempts that wait.
func (ct *Controller) Waiting() int { return ct.waiting.len() }

// WaitingOf returns the number of attempts of an importance that wait.
func (ct *Controller) WaitingOf(imp call.Importance) int { return ct.waiting.counts[imp] }

// usable returns how many of the slots are used.
func (st Settings) usable(slots int) int {
	if st.FreeSlotDivisor == 0 {
		return slots
	}
	return slots - (slots+st.FreeSlotDivisor/2)/st.FreeSlotDivisor
}

// Slots returns the announced slots, and zero without an upstream.
func (ct *Controller) Slots() int { return ct.slots }

// Limit returns the number of attempts that may run at once at the time now.
func (ct *Controller) Limit(now time.Time) int { return ct.lm.Current(now) }

// Draining reports whether all new work is refused because of Leave.
func (ct *Controller) Draining() bool { return ct.leaving }

// NextWake returns the time at which Tick is due, and false if it is not.
func (ct *Controller) NextWake(now time.Time) (time.Time, bool) {
	if ct.waiting.len() == 0 {
		return time.Time{}, false
	}
	_, giveUp := ct.waiting.firstExpiry()
	due := ct.epoch.Add(giveUp)
	if warm := now.Add(warmUpTick); ct.lm.Current(now) < ct.slots && warm.Before(due) {
		return warm, true
	}
	return due, true
}
