package guard

import (
	"net/http"
	"sync"
	"time"

	"camphortrail/call"
	"camphortrail/internal/ops/events"
	"camphortrail/internal/traffic/attempt"
)

// usage sums up how the slots were used since it was last taken.
type usage struct {
	mu   sync.Mutex
	from time.Time
	last time.Time
	// running, waiting and slots are those since last, and the sums those times
	// seconds.
	running, waiting, slots          float64
	sumRunning, sumWaiting, sumSlots float64
	started, rejected, spoilt        int
	spoiltTime                       time.Duration
	// kinds are the started attempts by kind, at most maxKinds and one for the rest.
	kinds []kindUsage

	// freed are the times from the end of an attempt until its slot was free, and
	// begun those from the decision to start one until it went on.
	freed, begun delays
}

// maxKinds bounds the kinds of attempts that are told apart in a summary.
const maxKinds = 8

// kindUsage sums up the started attempts of a kind.
type kindUsage struct {
	class   call.Class
	started int
	took    time.Duration
}

// delays sums up delays since it was last taken. It is safe for concurrent use.
type delays struct {
	mu        sync.Mutex
	count     int
	sum, most time.Duration
}

func (de *delays) add(d time.Duration) {
	de.mu.Lock()
	defer de.mu.Unlock()
	de.count++
	de.sum += d
	de.most = max(de.most, d)
}

// take returns the mean and the longest, and starts anew.
func (de *delays) take() (mean, most time.Duration) {
	de.mu.Lock()
	defer de.mu.Unlock()
	mean, most = de.sum/time.Duration(max(de.count, 1)), de.most
	de.count, de.sum, de.most = 0, 0, 0
	return mean, most
}

// set states what runs and waits from now on.
func (us *usage) set(now time.Time, running, waiting, slots int) {
	us.mu.Lock()
	defer us.mu.Unlock()
	us.pass(now)
	us.running, us.waiting, us.slots = float64(running), float64(waiting), float64(slots)
}

// pass adds up the time until now.
func (us *usage) pass(now time.Time) {
	if us.from.IsZero() {
		us.from, us.last = now, now
	}
	passed := max(0, now.Sub(us.last).Seconds())
	us.sumRunning += us.running * passed
	us.sumWaiting += us.waiting * passed
	us.sumSlots += us.slots * passed
	us.last = now
}

// count counts an attempt of a kind that has ended.
func (us *usage) count(class call.Class, an *attempt.Answer) {
	us.mu.Lock()
	defer us.mu.Unlock()
	if an.Outcome == call.NotRun {
		us.rejected++
		return
	}
	us.started++
	ku := us.kind(class)
	ku.started++
	ku.took += an.UpstreamTime
	if an.Failed() || an.Status == http.StatusInternalServerError {
		us.spoilt++
		us.spoiltTime += an.UpstreamTime
	}
}

// kind returns the sums of a kind, or those of the rest where there are many kinds.
func (us *usage) kind(class call.Class) *kindUsage {
	for i := range us.kinds {
		if ku := &us.kinds[i]; ku.class == class || i == maxKinds {
			return ku
		}
	}
	if len(us.kinds) == maxKinds {
		class = ""
	}
	us.kinds = append(us.kinds, kindUsage{class: class})
	return &us.kinds[len(us.kinds)-1]
}

// take returns the means since the last call, and starts anew.
func (us *usage) take(now time.Time) events.Usage {
	us.mu.Lock()
	defer us.mu.Unlock()
	us.pass(now)
	length := max(now.Sub(us.from).Seconds(), time.Millisecond.Seconds())
	ev := events.Usage{
		MeanSlots: us.sumSlots / length, MeanRunning: us.sumRunning / length, MeanWaiting: us.sumWaiting / length,
		Started: us.started, Rejected: us.rejected, Spoilt: us.spoilt, SpoiltMS: us.spoiltTime.Milliseconds(),
	}
	for _, ku := range us.kinds {
		ev.Calls = append(ev.Calls, events.KindUsage{
			Class: string(ku.class), Started: ku.started, SlotUS: (ku.took / time.Duration(ku.started)).Microseconds(),
		})
	}
	us.kinds = us.kinds[:0]
	us.from = now
	us.sumRunning, us.sumWaiting, us.sumSlots = 0, 0, 0
	us.started, us.rejected, us.spoilt, us.spoiltTime = 0, 0, 0, 0
	return ev
}

// Summarize writes how the slots were used since the last summary. The lag is the
// time by which it is late.
func (gd *Guard) Summarize(now time.Time, lag time.Duration) {
	ev := gd.usage.take(now)
	if up := gd.current.Load(); up != nil {
		ev.Service = string(up.Service)
	}
	ev.LagMS = lag.Milliseconds()
	ev.Wanted, ev.RoomPercent = gd.rooms.last()
	freed, freedMost := gd.usage.freed.take()
	begun, begunMost := gd.usage.begun.take()
	ev.TurnaroundMeanUS, ev.TurnaroundMostUS = (freed + begun).Microseconds(), (freedMost + begunMost).Microseconds()
	gd.events.Summarize(now, ev)
	if gd.metrics == nil {
		return
	}
	gd.metrics.GetOrCreateFloatCounter("camphortrail_guard_spoilt_slot_seconds_total").Add(time.Duration(ev.SpoiltMS * int64(time.Millisecond)).Seconds())
	gd.metrics.GetOrCreateHistogram("camphortrail_process_lag_seconds").Update(lag.Seconds())
	gd.metrics.GetOrCreateHistogram("camphortrail_guard_turnaround_seconds").Update((freed + begun).Seconds())
	gd.metrics.GetOrCreateHistogram("camphortrail_guard_slots_used_ratio").Update(ev.MeanRunning / max(ev.MeanSlots, 1))
}
