// Package admission decides which attempts run on one upstream VM, which wait and which
// are refused. Under overload the least important work is refused first.
//
// An overload begins when an attempt is refused for lack of capacity (Reason.NoCapacity).
// It ends with the first Step that leaves no attempt waiting and fewer attempts running
// than the concurrency limit allows. While it lasts, work that is less important than any
// attempt refused in this way neither waits nor starts.
package admission

import (
	"cmp"
	"math/rand/v2"
	"time"

	"camphortrail/call"
	"camphortrail/limit"
)

// Settings configures a Controller. Zero fields take the defaults.
type Settings struct {
	// TargetWait bounds the estimated time until all waiting attempts have started
	// (default 50 ms). The mean service time replaces it if that is longer, up to half of
	// MaxWait.
	TargetWait time.Duration
	// MaxWait is the longest time for which an attempt waits (default 500 ms). An attempt
	// also waits for at most three quarters of the time that its deadline leaves.
	MaxWait time.Duration
	// MaxWaiting bounds the number of waiting attempts (default 4096).
	MaxWaiting int
	// MaxSlots bounds the announced slots (default 4096).
	MaxSlots int
	// FreeSlotDivisor leaves one slot in so many free, since an upstream may slow down
	// when it is nearly full. Zero uses all slots.
	FreeSlotDivisor int
	// RetryAfter is the mean backoff proposed to refused callers when the overload is
	// lowest (default 200 ms).
	RetryAfter time.Duration
	// MaxRetryAfter bounds the mean backoff proposed to refused callers (default 2 s).
	MaxRetryAfter time.Duration
	// Limit configures the learned concurrency limit.
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
	settings Settings
	rng      *rand.Rand
	limit    *limit.Limit
	// epoch is the time of the first Step.
	epoch time.Time

	slots    int
	draining bool

	// tasks holds the attempts that wait or run, by task number. freeTasks lists the
	// unused numbers.
	tasks     []task
	freeTasks []int32
	byID      index
	waiting   queue
	// runningByImportance adds up to runningCount.
	runningByImportance [call.MaxImportance + 1]int
	runningCount        int
	// arrivals counts the attempts that were queued so far.
	arrivals     uint64
	serviceTimes serviceTimes
	overload     overload
	occupancy    occupancy
	output       output
}

// New returns a controller without an upstream. It draws jitter from rng.
func New(st Settings, rng *rand.Rand) *Controller {
	return &Controller{
		settings: st.withDefaults(),
		rng:      rng,
		limit:    limit.New(st.Limit),
		byID:     newIndex(rng.Uint64()),
	}
}

// Step applies an event at the time now, which must not decrease from one Step to the
// next. The returned actions are valid until the next Step.
func (ct *Controller) Step(now time.Time, ev Event) []Action {
	if ct.epoch.IsZero() {
		ct.epoch = now
	}
	ct.output.reset()
	ct.overload.rotate(now)
	ct.expire(now)
	switch ev := ev.(type) {
	case Announce:
		ct.announce(now, ev)
	case Drain:
		ct.draining = true
	case Resume:
		ct.draining = false
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
	if ct.overload.active && ct.waiting.len() == 0 && ct.runningCount < ct.limit.Current(now) {
		ct.overload.end()
	}
	ct.occupancy.update(now, ct.runningCount+ct.waiting.len(), ct.limit.Current(now))
	return ct.output.actions
}

// Level returns the level below which work is refused, or zero without an overload.
func (ct *Controller) Level() call.Level {
	if ct.waiting.len() == 0 {
		return ct.overload.level(maxLevel)
	}
	_, worst := ct.waiting.worstTask()
	return ct.overload.level(worst.level())
}

// DelayedLevel returns the highest level of the work that waited for a fifth of
// TargetWait or longer before it started, or was refused for lack of capacity, in the
// last 50 ms to 100 ms. Work of a higher level starts at once.
func (ct *Controller) DelayedLevel() call.Level { return ct.overload.delayedLevel() }

// Occupancy returns the number of attempts that run or wait, in percent of those that may
// run at once, averaged over about the last 100 ms.
func (ct *Controller) Occupancy() call.Occupancy { return ct.occupancy.percent() }

// Running returns the number of running attempts.
func (ct *Controller) Running() int { return ct.runningCount }

// Waiting returns the number of waiting attempts.
func (ct *Controller) Waiting() int { return ct.waiting.len() }

// WaitingOf returns the number of waiting attempts of an importance.
func (ct *Controller) WaitingOf(imp call.Importance) int { return ct.waiting.byImportance[imp] }

// usableSlots returns the number of announced slots that may be used.
func (st Settings) usableSlots(slots int) int {
	if st.FreeSlotDivisor == 0 {
		return slots
	}
	return slots - (slots+st.FreeSlotDivisor/2)/st.FreeSlotDivisor
}

// Slots returns the number of announced slots, or zero without an upstream.
func (ct *Controller) Slots() int { return ct.slots }

// Limit returns the number of attempts that may run at once at the time now.
func (ct *Controller) Limit(now time.Time) int { return ct.limit.Current(now) }

// Draining reports whether new work is refused because of a Drain event.
func (ct *Controller) Draining() bool { return ct.draining }

// NextWake returns the time at which the next Tick is due, and false if none is due.
func (ct *Controller) NextWake(now time.Time) (time.Time, bool) {
	if ct.waiting.len() == 0 {
		return time.Time{}, false
	}
	_, expiresAt := ct.waiting.firstExpiry()
	due := ct.epoch.Add(expiresAt)
	// During a warm-up the limit rises without any event.
	if warm := now.Add(warmUpTick); ct.limit.Current(now) < ct.slots && warm.Before(due) {
		return warm, true
	}
	return due, true
}
