package withdrawal

import (
	"time"

	"camphortrail/call"
	"camphortrail/internal/state/expiry"
)

// record holds an attempt that is live, that is, queued or running, or whose answer is
// stored.
type record[A any] struct {
	id    call.AttemptID
	stamp time.Duration
	state State
	// liveItem is the place of a live record in Registry.liveByExpiry.
	liveItem expiry.Item[*record[A]]

	answer      A
	answerBytes int
	// answerItem is the place of a record with an answer in Registry.answersByExpiry.
	answerItem expiry.Item[*record[A]]
	hasAnswer  bool
}

// endedState is the final state of an attempt and its stamp. A registry holds many of
// them, so they contain no pointers for the garbage collector to scan.
type endedState struct {
	stamp time.Duration
	state State
}

func (rc *record[A]) result() Result[A] {
	return Result[A]{State: rc.state, Answer: rc.answer, HasAnswer: rc.hasAnswer}
}

// isFresh reports whether the registry still remembers every attempt with the stamp: the
// stamp is of this incarnation, not expired and later than all evicted ones.
func (rg *Registry[A]) isFresh(now time.Time, sp Stamp) bool {
	age := now.Sub(rg.start) - sp.Uptime
	return sp.Incarnation == rg.incarnation && sp.Uptime > rg.evictedThrough && age >= 0 && age < rg.lim.StampLifetime
}

// add records an unknown attempt as Queued or Fenced. It returns nil and Stale if the
// stamp is stale, also as a result of the eviction that makes space, and nil and Full if the
// registry is full of live attempts.
func (rg *Registry[A]) add(now time.Time, id call.AttemptID, sp Stamp, st State) (*record[A], Decision) {
	if !rg.isFresh(now, sp) {
		return nil, Stale
	}
	if rg.Len() >= rg.lim.Attempts && !rg.evict() {
		return nil, Full
	}
	if !rg.isFresh(now, sp) {
		return nil, Stale
	}
	rc := &record[A]{id: id, stamp: sp.Uptime, state: st}
	if st == Queued {
		rc.liveItem.Value = rc
		rc.answerItem.Value = rc
		rg.records[id] = rc
		rg.liveByExpiry.Set(&rc.liveItem, rg.stampExpiry(rc.stamp))
	} else {
		rg.recordEnd(rc)
	}
	return rc, Accepted
}

// evict forgets the ended attempt with the earliest stamp. That stamp and all earlier ones
// become stale. It returns false if no attempt has ended.
func (rg *Registry[A]) evict() bool {
	id, stamp, ok := rg.endedByStamp.First()
	if !ok {
		return false
	}
	rg.endedByStamp.Pop()
	rg.evictedThrough = max(rg.evictedThrough, stamp)
	rg.forget(id)
	return true
}

// end ends a live attempt in the given state.
func (rg *Registry[A]) end(rc *record[A], st State) {
	rc.state = st
	rg.liveByExpiry.Remove(&rc.liveItem)
	rg.recordEnd(rc)
}

// recordEnd retains the final state of an attempt until its stamp is stale.
func (rg *Registry[A]) recordEnd(rc *record[A]) {
	delete(rg.records, rc.id)
	rg.endedStates[rc.id] = endedState{stamp: rc.stamp, state: rc.state}
	rg.endedByStamp.Push(rc.id, rc.stamp)
}

// stampExpiry returns the time at which a stamp becomes stale by age.
func (rg *Registry[A]) stampExpiry(stamp time.Duration) time.Time {
	return rg.start.Add(stamp + rg.lim.StampLifetime)
}

// forget removes an ended attempt and its answer.
func (rg *Registry[A]) forget(id call.AttemptID) {
	if rc := rg.records[id]; rc != nil {
		rg.removeAnswer(rc)
	}
	delete(rg.endedStates, id)
}

// storeAnswer stores the answer of an attempt that has just finished, and removes the
// oldest answers as needed. An answer larger than Limits.AnswerBytes is not stored.
func (rg *Registry[A]) storeAnswer(now time.Time, rc *record[A], answer A, bytes int) {
	if bytes > rg.lim.AnswerBytes {
		return
	}
	for rg.answerBytes+bytes > rg.lim.AnswerBytes {
		old, _ := rg.answersByExpiry.Pop()
		rg.removeAnswer(old)
	}
	rg.answerBytes += bytes
	rc.answer, rc.answerBytes, rc.hasAnswer = answer, bytes, true
	rg.records[rc.id] = rc
	rg.answersByExpiry.Set(&rc.answerItem, now.Add(rg.lim.AnswerRetention))
}

// removeAnswer removes a record with a stored answer.
func (rg *Registry[A]) removeAnswer(rc *record[A]) {
	rg.answersByExpiry.Remove(&rc.answerItem)
	rg.answerBytes -= rc.answerBytes
	delete(rg.records, rc.id)
}

// expire removes expired answers, and attempts whose stamps are stale by age.
func (rg *Registry[A]) expire(now time.Time) {
	for {
		rc, ok := rg.answersByExpiry.PopBefore(now)
		if !ok {
			break
		}
		rg.removeAnswer(rc)
	}
	for {
		rc, ok := rg.liveByExpiry.PopBefore(now)
		if !ok {
			break
		}
		delete(rg.records, rc.id)
	}
	for {
		id, stamp, ok := rg.endedByStamp.First()
		if !ok || rg.stampExpiry(stamp).After(now) {
			return
		}
		rg.endedByStamp.Pop()
		rg.forget(id)
	}
}
