package admission

import (
	"time"

	"camphortrail/call"
)

const (
	// warmUpTick is the time between two looks at a limit that rises.
	warmUpTick = 10 * time.Millisecond
	// lateDivisor is the part of TargetWait after which a start is late.
	lateDivisor = 5
	// headroomDivisor bounds the slots kept for more important work, as a
	// share of the limit.
	headroomDivisor = 32
	// headroomPerRunning is the number of more important attempts that run
	// for each slot kept.
	headroomPerRunning = 6
)

// task is an attempt that waits or runs.
type task struct {
	id        call.AttemptID
	rk        rank
	deadline  time.Time
	arrived   time.Time
	started   time.Time
	running   bool
	abortable bool
}

func (ct *Controller) announce(now time.Time, ev Announce) {
	if ev.Restarted {
		ct.lm.Reset()
		ct.es = estimate{}
	}
	ct.slots = min(max(ev.Slots, 0), ct.st.MaxSlots)
	ct.lm.SetSlots(now, ct.st.usable(ct.slots), ev.WarmUp)
	if ct.slots == 0 {
		ct.refuseWaiting(NoUpstream)
	}
}

func (ct *Controller) arrive(now time.Time, ar *Arrive) {
	if _, known := ct.ids.get(ar.ID); known {
		return
	}
	ar.Importance = min(max(ar.Importance, call.MinImportance), call.MaxImportance)
	if rs := ct.unfit(now, ar); rs != 0 {
		ct.refuse(ar.ID, rs)
		return
	}
	if ar.Importance < ct.ov.barred {
		ct.ov.this.refused++
		ct.refuse(ar.ID, Overload)
		return
	}
	ct.enqueue(now, ar)
}

// unfit returns the reason for which the attempt is refused whatever the load
// is, or zero.
func (ct *Controller) unfit(now time.Time, ar *Arrive) Reason {
	switch {
	case ct.slots == 0:
		return NoUpstream
	case ct.leaving:
		return Leaving
	}
	spare := ct.spare(now, ar.Importance, ar.Deadline)
	if spare < 0 {
		return Deadline
	}
	if ct.total >= ct.lm.Current(now) && spare < ct.wait(now, 1) {
		return Deadline
	}
	return 0
}

// enqueue lets the attempt wait, if its deadline allows. Dispatch and trim
// follow.
func (ct *Controller) enqueue(now time.Time, ar *Arrive) {
	ct.arrivals++
	rk := rankOf(ar, ct.arrivals)
	spare := ct.spare(now, ar.Importance, ar.Deadline)
	if ct.total >= ct.lm.Current(now) && spare < ct.wait(now, ct.waiting.ahead(rk.level())+1) {
		ct.refuseLoad(ar.ID, rk.level(), Overload)
		return
	}
	patience := min(ct.st.MaxWait, spare-spare/4)
	at := ct.newTask()
	ct.tasks[at] = task{id: ar.ID, rk: rk, deadline: ar.Deadline, arrived: now, abortable: ar.Abortable}
	ct.ids.put(ar.ID, at)
	ct.waiting.push(at, rk, now.Add(patience).Sub(ct.epoch))
}

func (ct *Controller) finish(now time.Time, ev Finish) {
	at, ok := ct.ids.get(ev.ID)
	if !ok || !ct.tasks[at].running {
		return
	}
	tk := &ct.tasks[at]
	imp, held := tk.rk.importance(), now.Sub(tk.started)
	ct.lm.Observe(now, max(held-ev.DownstreamWait, 0), ct.total, ev.OK)
	ct.es.add(now, imp, held, ev.OK)
	ct.running[imp]--
	ct.total--
	ct.release(at)
}

func (ct *Controller) cancel(id call.AttemptID) {
	at, ok := ct.ids.get(id)
	if !ok {
		return
	}
	tk := &ct.tasks[at]
	if !tk.running {
		ct.drop(at)
		ct.refuse(id, Cancelled)
		return
	}
	if tk.abortable {
		tk.abortable = false
		ct.out.abort(id)
	}
}

// dispatch starts waiting attempts while slots are free for them.
func (ct *Controller) dispatch(now time.Time) {
	limit := ct.lm.Current(now)
	for ct.waiting.len() > 0 && ct.total < limit {
		at, rk := ct.waiting.bestTask()
		if ct.total+ct.headroom(now, rk.importance(), limit) >= limit {
			return
		}
		tk := &ct.tasks[at]
		if ct.spare(now, rk.importance(), tk.deadline) < 0 {
			ct.refuseWaiter(at, Overload)
			continue
		}
		ct.waiting.remove(at, rk)
		tk.running, tk.started = true, now
		ct.running[rk.importance()]++
		ct.total++
		ct.ov.start(rk.level(), now.Sub(tk.arrived) >= ct.lateStart())
		ct.out.start(tk.id)
	}
}

// headroom returns the number of slots kept for work that is more important
// than imp. It follows the work of that kind that runs, so that no slot is
// kept when there is none, nor when slots come free so soon that such work is
// not late.
func (ct *Controller) headroom(now time.Time, imp call.Importance, limit int) int {
	if ct.wait(now, 1) < ct.lateStart() {
		return 0
	}
	higher := 0
	for above := imp + 1; above <= call.MaxImportance; above++ {
		higher += ct.running[above]
	}
	return min(higher/headroomPerRunning, (limit+headroomDivisor-1)/headroomDivisor)
}

// trim refuses the least important waiting attempts beyond what can start
// within the target. The load pattern that it answers is a surge of requests of
// callers: their number is not bounded by what is served. Calls are not refused
// for it, since there are no more of them at a time than work that was admitted
// above, which would be lost with them; they wait until they would be late.
func (ct *Controller) trim(now time.Time) {
	for ct.waiting.len() > ct.st.MaxWaiting {
		at, _ := ct.waiting.worstTask()
		ct.refuseWaiter(at, QueueFull)
	}
	for ct.waiting.len() > 1 && ct.wait(now, ct.waiting.len()) > ct.target() {
		at, rk := ct.waiting.worstTask()
		if rk.depth() > 0 {
			return
		}
		ct.refuseWaiter(at, Overload)
	}
}

// expire refuses the attempts that waited too long.
func (ct *Controller) expire(now time.Time) {
	for ct.waiting.len() > 0 {
		at, giveUp := ct.waiting.firstExpiry()
		if now.Sub(ct.epoch) < giveUp {
			return
		}
		ct.refuseWaiter(at, Overload)
	}
}

// target returns the time within which all waiting work should start.
func (ct *Controller) target() time.Duration {
	return max(ct.st.TargetWait, min(ct.es.mean, ct.st.MaxWait/2))
}

// lateStart returns the time of waiting from which a start is late.
func (ct *Controller) lateStart() time.Duration { return ct.st.TargetWait / lateDivisor }

// serviceTime returns the mean service time, or a guess before the first
// attempt has ended.
func (ct *Controller) serviceTime() time.Duration {
	if ct.es.mean == 0 {
		return ct.st.TargetWait
	}
	return ct.es.mean
}

// wait estimates the time until n waiting attempts have started.
func (ct *Controller) wait(now time.Time, n int) time.Duration {
	return ct.serviceTime() * time.Duration(n) / time.Duration(max(ct.lm.Current(now), 1))
}

// spare returns the time by which an attempt may still be late in starting.
func (ct *Controller) spare(now time.Time, imp call.Importance, deadline time.Time) time.Duration {
	if deadline.IsZero() {
		return 2 * ct.st.MaxWait
	}
	return deadline.Sub(now) - ct.es.low[imp].current(now)
}

func (ct *Controller) refuseWaiting(rs Reason) {
	for ct.waiting.len() > 0 {
		at, _ := ct.waiting.bestTask()
		id := ct.tasks[at].id
		ct.drop(at)
		ct.refuse(id, rs)
	}
}

// refuseWaiter refuses a waiting attempt for lack of capacity.
func (ct *Controller) refuseWaiter(at int32, rs Reason) {
	tk := ct.tasks[at]
	ct.drop(at)
	ct.refuseLoad(tk.id, tk.rk.level(), rs)
}

// refuseLoad refuses an attempt for lack of capacity, and with it all less
// important ones that wait.
func (ct *Controller) refuseLoad(id call.AttemptID, lv call.Level, rs Reason) {
	ct.ov.refuse(lv)
	ct.refuse(id, rs)
	for ct.waiting.len() > 0 {
		at, rk := ct.waiting.worstTask()
		if rk.importance() >= ct.ov.barred {
			return
		}
		less := ct.tasks[at].id
		ct.drop(at)
		ct.ov.this.refused++
		ct.refuse(less, Overload)
	}
}

func (ct *Controller) refuse(id call.AttemptID, rs Reason) {
	after := time.Duration(0)
	if rs != Cancelled {
		after = ct.ov.retryAfter(ct.rng, ct.st.RetryAfter, ct.st.MaxRetryAfter)
	}
	ct.out.refuse(id, rs, after)
}

// drop removes a waiting attempt.
func (ct *Controller) drop(at int32) {
	ct.waiting.remove(at, ct.tasks[at].rk)
	ct.release(at)
}

func (ct *Controller) newTask() int32 {
	if last := len(ct.free) - 1; last >= 0 {
		at := ct.free[last]
		ct.free = ct.free[:last]
		return at
	}
	ct.tasks = append(ct.tasks, task{})
	return int32(len(ct.tasks) - 1)
}

func (ct *Controller) release(at int32) {
	ct.ids.remove(ct.tasks[at].id)
	ct.free = append(ct.free, at)
}
