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

func (mc *Controller) announce(now time.Time, ev Announce) {
	if ev.Restarted {
		mc.lm.Reset()
		mc.es = estimate{}
	}
	mc.slots = min(max(ev.Slots, 0), mc.st.MaxSlots)
	mc.lm.SetSlots(now, mc.st.usable(mc.slots), ev.WarmUp)
	if mc.slots == 0 {
		mc.refuseWaiting(NoUpstream)
	}
}

func (mc *Controller) arrive(now time.Time, ar *Arrive) {
	if _, known := mc.ids.get(ar.ID); known {
		return
	}
	ar.Importance = min(max(ar.Importance, call.MinImportance), call.MaxImportance)
	if rs := mc.unfit(now, ar); rs != 0 {
		mc.refuse(ar.ID, rs)
		return
	}
	if ar.Importance < mc.ov.barred {
		mc.ov.this.refused++
		mc.refuse(ar.ID, Overload)
		return
	}
	mc.enqueue(now, ar)
}

// unfit returns the reason for which the attempt is refused whatever the load
// is, or zero.
func (mc *Controller) unfit(now time.Time, ar *Arrive) Reason {
	switch {
	case mc.slots == 0:
		return NoUpstream
	case mc.leaving:
		return Leaving
	}
	spare := mc.spare(now, ar.Importance, ar.Deadline)
	if spare < 0 {
		return Deadline
	}
	if mc.total >= mc.lm.Current(now) && spare < mc.wait(now, 1) {
		return Deadline
	}
	return 0
}

// enqueue lets the attempt wait, if its deadline allows. Dispatch and trim
// follow.
func (mc *Controller) enqueue(now time.Time, ar *Arrive) {
	mc.arrivals++
	rk := rankOf(ar, mc.arrivals)
	spare := mc.spare(now, ar.Importance, ar.Deadline)
	if mc.total >= mc.lm.Current(now) && spare < mc.wait(now, mc.waiting.ahead(rk.level())+1) {
		mc.refuseLoad(ar.ID, rk.level(), Overload)
		return
	}
	patience := min(mc.st.MaxWait, spare-spare/4)
	at := mc.newTask()
	mc.tasks[at] = task{id: ar.ID, rk: rk, deadline: ar.Deadline, arrived: now, abortable: ar.Abortable}
	mc.ids.put(ar.ID, at)
	mc.waiting.push(at, rk, now.Add(patience).Sub(mc.epoch))
}

func (mc *Controller) finish(now time.Time, ev Finish) {
	at, ok := mc.ids.get(ev.ID)
	if !ok || !mc.tasks[at].running {
		return
	}
	tk := &mc.tasks[at]
	imp, held := tk.rk.importance(), now.Sub(tk.started)
	mc.lm.Observe(now, max(held-ev.DownstreamWait, 0), mc.total, ev.OK)
	mc.es.add(now, imp, held, ev.OK)
	mc.running[imp]--
	mc.total--
	mc.release(at)
}

func (mc *Controller) cancel(id call.AttemptID) {
	at, ok := mc.ids.get(id)
	if !ok {
		return
	}
	tk := &mc.tasks[at]
	if !tk.running {
		mc.drop(at)
		mc.refuse(id, Cancelled)
		return
	}
	if tk.abortable {
		tk.abortable = false
		mc.out.abort(id)
	}
}

// dispatch starts waiting attempts while slots are free for them.
func (mc *Controller) dispatch(now time.Time) {
	limit := mc.lm.Current(now)
	for mc.waiting.len() > 0 && mc.total < limit {
		at, rk := mc.waiting.bestTask()
		if mc.total+mc.headroom(now, rk.importance(), limit) >= limit {
			return
		}
		tk := &mc.tasks[at]
		if mc.spare(now, rk.importance(), tk.deadline) < 0 {
			mc.refuseWaiter(at, Overload)
			continue
		}
		mc.waiting.remove(at, rk)
		tk.running, tk.started = true, now
		mc.running[rk.importance()]++
		mc.total++
		mc.ov.start(rk.level(), now.Sub(tk.arrived) >= mc.lateStart())
		mc.out.start(tk.id)
	}
}

// headroom returns the number of slots kept for work that is more important
// than imp. It follows the work of that kind that runs, so that no slot is
// kept when there is none, nor when slots come free so soon that such work is
// not late.
func (mc *Controller) headroom(now time.Time, imp call.Importance, limit int) int {
	if mc.wait(now, 1) < mc.lateStart() {
		return 0
	}
	higher := 0
	for above := imp + 1; above <= call.MaxImportance; above++ {
		higher += mc.running[above]
	}
	return min(higher/headroomPerRunning, (limit+headroomDivisor-1)/headroomDivisor)
}

// trim refuses the least important waiting attempts beyond what can start
// within the target. The load pattern that it answers is a surge of requests of
// callers: their number is not bounded by what is served. Calls are not refused
// for it, since there are no more of them at a time than work that was admitted
// above, which would be lost with them; they wait until they would be late.
func (mc *Controller) trim(now time.Time) {
	for mc.waiting.len() > mc.st.MaxWaiting {
		at, _ := mc.waiting.worstTask()
		mc.refuseWaiter(at, QueueFull)
	}
	for mc.waiting.len() > 1 && mc.wait(now, mc.waiting.len()) > mc.target() {
		at, rk := mc.waiting.worstTask()
		if rk.depth() > 0 {
			return
		}
		mc.refuseWaiter(at, Overload)
	}
}

// expire refuses the attempts that waited too long.
func (mc *Controller) expire(now time.Time) {
	for mc.waiting.len() > 0 {
		at, giveUp := mc.waiting.firstExpiry()
		if now.Sub(mc.epoch) < giveUp {
			return
		}
		mc.refuseWaiter(at, Overload)
	}
}

// target returns the time within which all waiting work should start.
func (mc *Controller) target() time.Duration {
	return max(mc.st.TargetWait, min(mc.es.mean, mc.st.MaxWait/2))
}

// lateStart returns the time of waiting from which a start is late.
func (mc *Controller) lateStart() time.Duration { return mc.st.TargetWait / lateDivisor }

// serviceTime returns the mean service time, or a guess before the first
// attempt has ended.
func (mc *Controller) serviceTime() time.Duration {
	if mc.es.mean == 0 {
		return mc.st.TargetWait
	}
	return mc.es.mean
}

// wait estimates the time until n waiting attempts have started.
func (mc *Controller) wait(now time.Time, n int) time.Duration {
	return mc.serviceTime() * time.Duration(n) / time.Duration(max(mc.lm.Current(now), 1))
}

// spare returns the time by which an attempt may still be late in starting.
func (mc *Controller) spare(now time.Time, imp call.Importance, deadline time.Time) time.Duration {
	if deadline.IsZero() {
		return 2 * mc.st.MaxWait
	}
	return deadline.Sub(now) - mc.es.low[imp].current(now)
}

func (mc *Controller) refuseWaiting(rs Reason) {
	for mc.waiting.len() > 0 {
		at, _ := mc.waiting.bestTask()
		id := mc.tasks[at].id
		mc.drop(at)
		mc.refuse(id, rs)
	}
}

// refuseWaiter refuses a waiting attempt for lack of capacity.
func (mc *Controller) refuseWaiter(at int32, rs Reason) {
	tk := mc.tasks[at]
	mc.drop(at)
	mc.refuseLoad(tk.id, tk.rk.level(), rs)
}

// refuseLoad refuses an attempt for lack of capacity, and with it all less
// important ones that wait.
func (mc *Controller) refuseLoad(id call.AttemptID, lv call.Level, rs Reason) {
	mc.ov.refuse(lv)
	mc.refuse(id, rs)
	for mc.waiting.len() > 0 {
		at, rk := mc.waiting.worstTask()
		if rk.importance() >= mc.ov.barred {
			return
		}
		less := mc.tasks[at].id
		mc.drop(at)
		mc.ov.this.refused++
		mc.refuse(less, Overload)
	}
}

func (mc *Controller) refuse(id call.AttemptID, rs Reason) {
	after := time.Duration(0)
	if rs != Cancelled {
		after = mc.ov.retryAfter(mc.rng, mc.st.RetryAfter, mc.st.MaxRetryAfter)
	}
	mc.out.refuse(id, rs, after)
}

// drop removes a waiting attempt.
func (mc *Controller) drop(at int32) {
	mc.waiting.remove(at, mc.tasks[at].rk)
	mc.release(at)
}

func (mc *Controller) newTask() int32 {
	if last := len(mc.free) - 1; last >= 0 {
		at := mc.free[last]
		mc.free = mc.free[:last]
		return at
	}
	mc.tasks = append(mc.tasks, task{})
	return int32(len(mc.tasks) - 1)
}

func (mc *Controller) release(at int32) {
	mc.ids.remove(mc.tasks[at].id)
	mc.free = append(mc.free, at)
}
