package guard

import (
	"net/http"
	"sync"
	"time"

	"camphortrail/call"
	"camphortrail/internal/ops/events"
	"camphortrail/internal/traffic/attempt"
)

// usage sums up how the slots were used since the last call of take.
type usage struct {
	mu sync.Mutex
	// since is the start of the period, and updated the time up to which it is summed.
	since   time.Time
	updated time.Time
	// running, waiting and slots are the numbers since updated. The sums are these
	// numbers times seconds.
	running, waiting, slots          float64
	sumRunning, sumWaiting, sumSlots float64
	// started attempts may have run, rejected ones did not, and failed ones are those
	// of the started whose answer is a failure. failedTime is their upstream time.
	started, rejected, failed int
	failedTime                time.Duration
	// classes holds the started attempts of maxListedClasses classes, and one sum for all
	// others.
	classes []classUsage

	// freeDelay sums the times from the end of an attempt until the policy got its slot
	// back. startDelay sums the times from the decision to start an attempt until its
	// goroutine resumed.
	freeDelay, startDelay delays
}

// maxListedClasses is the number of classes that a summary lists one by one.
const maxListedClasses = 8

// classUsage sums up the started attempts of a class, or of all classes that are not listed
// if class is empty.
type classUsage struct {
	class        call.Class
	started      int
	upstreamTime time.Duration
}

// delays sums up delays since the last call of take. It is safe for concurrent use.
type delays struct {
	mu           sync.Mutex
	count        int
	sum, longest time.Duration
}

func (de *delays) add(d time.Duration) {
	de.mu.Lock()
	defer de.mu.Unlock()
	de.count++
	de.sum += d
	de.longest = max(de.longest, d)
}

// take returns the mean and the longest delay, and resets the sums.
func (de *delays) take() (mean, longest time.Duration) {
	de.mu.Lock()
	defer de.mu.Unlock()
	mean, longest = de.sum/time.Duration(max(de.count, 1)), de.longest
	de.count, de.sum, de.longest = 0, 0, 0
	return mean, longest
}

// update sets the numbers of running and waiting attempts and of slots from now on.
func (us *usage) update(now time.Time, running, waiting, slots int) {
	us.mu.Lock()
	defer us.mu.Unlock()
	us.accumulate(now)
	us.running, us.waiting, us.slots = float64(running), float64(waiting), float64(slots)
}

// accumulate adds the time since the last update to the sums. The caller holds mu.
func (us *usage) accumulate(now time.Time) {
	if us.since.IsZero() {
		us.since, us.updated = now, now
	}
	passed := max(0, now.Sub(us.updated).Seconds())
	us.sumRunning += us.running * passed
	us.sumWaiting += us.waiting * passed
	us.sumSlots += us.slots * passed
	us.updated = now
}

// count counts an attempt that has ended.
func (us *usage) count(class call.Class, an *attempt.Answer) {
	us.mu.Lock()
	defer us.mu.Unlock()
	if an.Outcome == call.NotRun {
		us.rejected++
		return
	}
	us.started++
	ku := us.class(class)
	ku.started++
	ku.upstreamTime += an.UpstreamTime
	if an.Failed() || an.Status == http.StatusInternalServerError {
		us.failed++
		us.failedTime += an.UpstreamTime
	}
}

// class returns the sums of a class, or those of the other classes if there are more than
// maxListedClasses.
func (us *usage) class(class call.Class) *classUsage {
	for i := range us.classes {
		if ku := &us.classes[i]; ku.class == class || i == maxListedClasses {
			return ku
		}
	}
	if len(us.classes) == maxListedClasses {
		class = ""
	}
	us.classes = append(us.classes, classUsage{class: class})
	return &us.classes[len(us.classes)-1]
}

// take returns the means and counts since the last call, and resets them.
func (us *usage) take(now time.Time) events.SlotUsage {
	us.mu.Lock()
	defer us.mu.Unlock()
	us.accumulate(now)
	length := max(now.Sub(us.since).Seconds(), time.Millisecond.Seconds())
	ev := events.SlotUsage{
		MeanSlots: us.sumSlots / length, MeanRunning: us.sumRunning / length, MeanWaiting: us.sumWaiting / length,
		Started: us.started, Rejected: us.rejected, Failed: us.failed, FailedMS: us.failedTime.Milliseconds(),
	}
	for _, ku := range us.classes {
		ev.ByKind = append(ev.ByKind, events.KindUsage{
			Class: string(ku.class), Started: ku.started, MeanSlotUS: (ku.upstreamTime / time.Duration(ku.started)).Microseconds(),
		})
	}
	us.classes = us.classes[:0]
	us.since = now
	us.sumRunning, us.sumWaiting, us.sumSlots = 0, 0, 0
	us.started, us.rejected, us.failed, us.failedTime = 0, 0, 0, 0
	return ev
}

// Summarize logs how the slots were used since the last summary, and adds it to the
// metrics. lag is the time by which this call is late.
func (gd *Guard) Summarize(now time.Time, lag time.Duration) {
	ev := gd.usage.take(now)
	ev.Service = string(gd.Service())
	ev.LagMS = lag.Milliseconds()
	ev.DemandSlots, ev.AllocatedPercent = gd.slots.lastAllocation()
	ev.Ranks = gd.slots.ranks()
	meanFree, longestFree := gd.usage.freeDelay.take()
	meanStart, longestStart := gd.usage.startDelay.take()
	ev.TurnaroundMeanUS, ev.TurnaroundMaxUS = (meanFree + meanStart).Microseconds(), (longestFree + longestStart).Microseconds()
	gd.events.Summarize(now, ev)
	if gd.metrics == nil {
		return
	}
	gd.metrics.GetOrCreateFloatCounter("camphortrail_guard_spoilt_slot_seconds_total").Add(time.Duration(ev.FailedMS * int64(time.Millisecond)).Seconds())
	gd.metrics.GetOrCreateHistogram("camphortrail_process_lag_seconds").Update(lag.Seconds())
	gd.metrics.GetOrCreateHistogram("camphortrail_guard_turnaround_seconds").Update((meanFree + meanStart).Seconds())
	gd.metrics.GetOrCreateHistogram("camphortrail_guard_slots_used_ratio").Update(ev.MeanRunning / max(ev.MeanSlots, 1))
}
