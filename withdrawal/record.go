package withdrawal

import (
	"time"

	"camphortrail/call"
	"camphortrail/internal/state/expiry"
)

// record is what a registry knows of an attempt that is live, or whose answer is
// kept.
type record[A any] struct {
	id    call.AttemptID
	stamp time.Duration
	state State
	// liveItem orders the record among the live ones.
	liveItem expiry.Item[*record[A]]

	answer A
	answerBytes  int
	// answerItem orders the record among those with an answer.
	answerItem expiry.Item[*record[A]]
	hasAnswer bool
}

// endedState is what a registry knows of an attempt that has ended, besides its answer. There
// are many, and they hold no pointers for the collector to follow.
type endedState struct {
	stamp time.Duration
	state State
}

func (rc *record[A]) result() Result[A] {
	return Result[A]{State: rc.state, Answer: rc.answer, HasAnswer: rc.hasAnswer}
}

// isFresh reports whether everything about attempts with the stamp is still
// remembered.
func (rg *Registry[A]) isFresh(now time.Time, sp Stamp) bool {
	age := now.Sub(rg.start) - sp.Uptime
	return sp.Incarnation == rg.incarnation && sp.Uptime > rg.evictedThrough && age >= 0 && age < rg.lim.StampLifetime
}

// add records an attempt that is not known yet. It returns nil when the stamp
// is stale or there is no room.
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

// evict forgets the ended attempt with the earliest stamp. All attempts with
// that stamp or an earlier one become stale.
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

// end moves a live record to the ended ones.
func (rg *Registry[A]) end(rc *record[A], st State) {
	rc.state = st
	rg.liveByExpiry.Remove(&rc.liveItem)
	rg.recordEnd(rc)
}

// recordEnd keeps what is to be known of an attempt that has ended, until its
// stamp is stale.
func (rg *Registry[A]) recordEnd(rc *record[A]) {
	delete(rg.records, rc.id)
	rg.endedStates[rc.id] = endedState{stamp: rc.stamp, state: rc.state}
	rg.endedByStamp.Push(rc.id, rc.stamp)
}

func (rg *Registry[A]) stampExpiry(stamp time.Duration) time.Time {
	return rg.start.Add(stamp + rg.lim.StampLifetime)
}

// forget drops all that is known of an attempt.
func (rg *Registry[A]) forget(id call.AttemptID) {
	if rc := rg.records[id]; rc != nil {
		rg.removeAnswer(rc)
	}
	delete(rg.endedStates, id)
}

// storeAnswer stores the answer of an attempt that has just finished in place of older
// ones.
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

// removeAnswer removes the answer of a record.
func (rg *Registry[A]) removeAnswer(rc *record[A]) {
	rg.answersByExpiry.Remove(&rc.answerItem)
	rg.answerBytes -= rc.answerBytes
	delete(rg.records, rc.id)
}

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
