package admission

import (
	"time"

	"camphortrail/call"
)

const (
	// warmUpTick is the time between two ticks while the limit rises in a warm-up.
	warmUpTick = 10 * time.Millisecond
	// lateDivisor divides TargetWait. A start after a wait of the quotient or longer is
	// late.
	lateDivisor = 5
	// reservedDivisor bounds the reserved slots to 1/reservedDivisor of the limit, rounded
	// up.
	reservedDivisor = 32
	// runningPerReserved is the number of running attempts of higher importance for each
	// reserved slot.
	runningPerReserved = 6
)

// task is an attempt that waits or runs.
type task struct {
	id        call.AttemptID
	rank      rank
	deadline  time.Time
	arrived   time.Time
	started   time.Time
	running   bool
	abortable bool
}

// announce applies the announced slots. After a restart of the upstream it discards what
// was learned.
func (ct *Controller) announce(now time.Time, ev Announce) {
	if ev.Restarted {
		ct.limit.Reset()
		ct.serviceTimes = serviceTimes{}
	}
	ct.slots = min(max(ev.Slots, 0), ct.settings.MaxSlots)
	ct.limit.SetSlots(now, ct.settings.usableSlots(ct.slots), ev.WarmUp)
	if ct.slots == 0 {
		ct.refuseAllWaiting(NoUpstream)
	}
}

// arrive queues an attempt or refuses it. It may then start in the same Step.
func (ct *Controller) arrive(now time.Time, ar *Arrive) {
	if _, known := ct.byID.get(ar.ID); known {
		return
	}
	ar.Importance = min(max(ar.Importance, call.MinImportance), call.MaxImportance)
	if rs := ct.refusalReason(now, ar); rs != 0 {
		ct.refuse(ar.ID, rs)
		return
	}
	if ar.Importance < ct.overload.importanceFloor {
		ct.overload.current.refused++
		ct.refuse(ar.ID, Overload)
		return
	}
	ct.enqueue(now, ar)
}

// refusalReason returns the reason for which the attempt is refused even if nothing
// waits, or zero if there is none.
func (ct *Controller) refusalReason(now time.Time, ar *Arrive) Reason {
	switch {
	case ct.slots == 0:
		return NoUpstream
	case ct.draining:
		return Leaving
	}
	slack := ct.slack(now, ar.Importance, ar.Deadline)
	if slack < 0 {
		return Deadline
	}
	if ct.runningCount >= ct.limit.Current(now) && slack < ct.queueingDelay(now, 1) {
		return Deadline
	}
	return 0
}

// enqueue queues the attempt if its deadline allows the estimated queueing delay. Step
// then calls dispatch and trim.
func (ct *Controller) enqueue(now time.Time, ar *Arrive) {
	ct.arrivals++
	rk := rankOf(ar, ct.arrivals)
	slack := ct.slack(now, ar.Importance, ar.Deadline)
	if ct.runningCount >= ct.limit.Current(now) && slack < ct.queueingDelay(now, ct.waiting.countAhead(rk.level())+1) {
		ct.refuseForCapacity(ar.ID, rk.level(), Overload)
		return
	}
	maxWait := min(ct.settings.MaxWait, slack-slack/4)
	at := ct.newTask()
	ct.tasks[at] = task{id: ar.ID, rank: rk, deadline: ar.Deadline, arrived: now, abortable: ar.Abortable}
	ct.byID.put(ar.ID, at)
	ct.waiting.push(at, rk, now.Add(maxWait).Sub(ct.epoch))
}

// finish frees the slot of a running attempt and records its times.
func (ct *Controller) finish(now time.Time, ev Finish) {
	at, ok := ct.byID.get(ev.ID)
	if !ok || !ct.tasks[at].running {
		return
	}
	tk := &ct.tasks[at]
	imp, held := tk.rank.importance(), now.Sub(tk.started)
	ct.limit.Observe(now, max(held-ev.DownstreamWait, 0), ct.runningCount, ev.OK)
	ct.serviceTimes.add(now, imp, held, ev.OK)
	ct.runningByImportance[imp]--
	ct.runningCount--
	ct.freeTask(at)
}

// cancel refuses a waiting attempt, or aborts a running one once if it is abortable.
func (ct *Controller) cancel(id call.AttemptID) {
	at, ok := ct.byID.get(id)
	if !ok {
		return
	}
	tk := &ct.tasks[at]
	if !tk.running {
		ct.removeWaiting(at)
		ct.refuse(id, Cancelled)
		return
	}
	if tk.abortable {
		tk.abortable = false
		ct.output.abort(id)
	}
}

// dispatch starts waiting attempts while slots are free for them.
func (ct *Controller) dispatch(now time.Time) {
	limit := ct.limit.Current(now)
	for ct.waiting.len() > 0 && ct.runningCount < limit {
		at, rk := ct.waiting.bestTask()
		if ct.runningCount+ct.reservedSlots(now, rk.importance(), limit) >= limit {
			return
		}
		tk := &ct.tasks[at]
		if ct.slack(now, rk.importance(), tk.deadline) < 0 {
			ct.refuseTask(at, Overload)
			continue
		}
		ct.waiting.remove(at, rk)
		tk.running, tk.started = true, now
		ct.runningByImportance[rk.importance()]++
		ct.runningCount++
		ct.overload.recordStart(rk.level(), now.Sub(tk.arrived) >= ct.lateThreshold())
		ct.output.start(tk.id)
	}
}

// reservedSlots returns the number of slots reserved for work that is more important than
// imp. It follows the amount of such work that runs, so that nothing is reserved when
// there is none. Nothing is reserved either when slots come free so quickly that such
// work would not start late.
func (ct *Controller) reservedSlots(now time.Time, imp call.Importance, limit int) int {
	if ct.queueingDelay(now, 1) < ct.lateThreshold() {
		return 0
	}
	higher := 0
	for above := imp + 1; above <= call.MaxImportance; above++ {
		higher += ct.runningByImportance[above]
	}
	return min(higher/runningPerReserved, (limit+reservedDivisor-1)/reservedDivisor)
}

// trim refuses the waiting attempts beyond MaxWaiting, and the least important root
// requests while not all waiting attempts can start within the target. It responds to a
// surge of root requests, whose number is not bounded by what is served. Calls inside a tree
// are not refused for the target: their number is bounded by the work admitted above them,
// and that work would be lost with them. They wait until they would miss their deadlines.
func (ct *Controller) trim(now time.Time) {
	for ct.waiting.len() > ct.settings.MaxWaiting {
		at, _ := ct.waiting.worstTask()
		ct.refuseTask(at, QueueFull)
	}
	for ct.waiting.len() > 1 && ct.queueingDelay(now, ct.waiting.len()) > ct.target() {
		at, rk := ct.waiting.worstTask()
		if rk.depth() > 0 {
			return
		}
		ct.refuseTask(at, Overload)
	}
}

// expire refuses the attempts that waited too long.
func (ct *Controller) expire(now time.Time) {
	for ct.waiting.len() > 0 {
		at, expiresAt := ct.waiting.firstExpiry()
		if now.Sub(ct.epoch) < expiresAt {
			return
		}
		ct.refuseTask(at, Overload)
	}
}

// target returns the time within which all waiting attempts should start.
func (ct *Controller) target() time.Duration {
	return max(ct.settings.TargetWait, min(ct.serviceTimes.mean, ct.settings.MaxWait/2))
}

// lateThreshold returns the wait from which a start counts as late.
func (ct *Controller) lateThreshold() time.Duration { return ct.settings.TargetWait / lateDivisor }

// serviceTime returns the mean service time, or TargetWait before the first attempt has
// ended.
func (ct *Controller) serviceTime() time.Duration {
	if ct.serviceTimes.mean == 0 {
		return ct.settings.TargetWait
	}
	return ct.serviceTimes.mean
}

// queueingDelay estimates the time until n waiting attempts have started.
func (ct *Controller) queueingDelay(now time.Time, n int) time.Duration {
	return ct.serviceTime() * time.Duration(n) / time.Duration(max(ct.limit.Current(now), 1))
}

// slack returns how long the start of an attempt may be delayed before it misses its
// deadline. It is negative if the deadline can no longer be met.
func (ct *Controller) slack(now time.Time, imp call.Importance, deadline time.Time) time.Duration {
	if deadline.IsZero() {
		return 2 * ct.settings.MaxWait
	}
	return deadline.Sub(now) - ct.serviceTimes.low[imp].current(now)
}

// refuseAllWaiting refuses all waiting attempts with the given reason.
func (ct *Controller) refuseAllWaiting(rs Reason) {
	for ct.waiting.len() > 0 {
		at, _ := ct.waiting.bestTask()
		id := ct.tasks[at].id
		ct.removeWaiting(at)
		ct.refuse(id, rs)
	}
}

// refuseTask refuses a waiting attempt for lack of capacity.
func (ct *Controller) refuseTask(at int32, rs Reason) {
	tk := ct.tasks[at]
	ct.removeWaiting(at)
	ct.refuseForCapacity(tk.id, tk.rank.level(), rs)
}

// refuseForCapacity refuses an attempt for lack of capacity, and with it all waiting
// attempts of lower importance.
func (ct *Controller) refuseForCapacity(id call.AttemptID, lv call.Level, rs Reason) {
	ct.overload.recordRefusal(lv)
	ct.refuse(id, rs)
	for ct.waiting.len() > 0 {
		at, rk := ct.waiting.worstTask()
		if rk.importance() >= ct.overload.importanceFloor {
			return
		}
		less := ct.tasks[at].id
		ct.removeWaiting(at)
		ct.overload.current.refused++
		ct.refuse(less, Overload)
	}
}

// refuse refuses an attempt that is not queued. A cancelled one needs no backoff.
func (ct *Controller) refuse(id call.AttemptID, rs Reason) {
	after := time.Duration(0)
	if rs != Cancelled {
		after = ct.overload.retryAfter(ct.rng, ct.settings.RetryAfter, ct.settings.MaxRetryAfter)
	}
	ct.output.refuse(id, rs, after)
}

// removeWaiting removes a waiting attempt.
func (ct *Controller) removeWaiting(at int32) {
	ct.waiting.remove(at, ct.tasks[at].rank)
	ct.freeTask(at)
}

// newTask returns an unused task number.
func (ct *Controller) newTask() int32 {
	if last := len(ct.freeTasks) - 1; last >= 0 {
		at := ct.freeTasks[last]
		ct.freeTasks = ct.freeTasks[:last]
		return at
	}
	ct.tasks = append(ct.tasks, task{})
	return int32(len(ct.tasks) - 1)
}

// freeTask makes the task number available again.
func (ct *Controller) freeTask(at int32) {
	ct.byID.remove(ct.tasks[at].id)
	ct.freeTasks = append(ct.freeTasks, at)
}
