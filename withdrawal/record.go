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
	// place orders the record among the live ones.
	place expiry.Item[*record[A]]

	answer A
	bytes  int
	// kept orders the record among those with an answer.
	kept expiry.Item[*record[A]]
	held bool
}

// past is what a registry knows of an attempt that has ended, besides its answer. There
// are many, and they hold no pointers for the collector to follow.
type past struct {
	stamp time.Duration
	state State
}

func (rc *record[A]) result() Result[A] {
	return Result[A]{State: rc.state, Answer: rc.answer, HasAnswer: rc.held}
}

// fresh reports whether everything about attempts with the stamp is still
// remembered.
func (rg *Registry[A]) fresh(now time.Time, sp Stamp) bool {
	age := now.Sub(rg.start) - sp.Uptime
	return sp.Incarnation == rg.self && sp.Uptime > rg.horizon && age >= 0 && age < rg.lim.StampLifetime
}

// add records an attempt that is not known yet. It returns nil when the stamp
// is stale or there is no room.
func (rg *Registry[A]) add(now time.Time, id call.AttemptID, sp Stamp, st State) (*record[A], Decision) {
	if !rg.fresh(now, sp) {
		return nil, Stale
	}
	if rg.Len() >= rg.lim.Attempts && !rg.evict() {
		return nil, Full
	}
	if !rg.fresh(now, sp) {
		return nil, Stale
	}
	rc := &record[A]{id: id, stamp: sp.Uptime, state: st}
	if st == Queued {
		rc.place.Value = rc
		rc.kept.Value = rc
		rg.records[id] = rc
		rg.live.Set(&rc.place, rg.expiryOf(rc.stamp))
	} else {
		rg.forgetLater(rc)
	}
	return rc, Accepted
}

// evict forgets the ended attempt with the earliest stamp. All attempts with
// that stamp or an earlier one become stale.
func (rg *Registry[A]) evict() bool {
	id, stamp, ok := rg.ended.First()
	if !ok {
		return false
	}
	rg.ended.Pop()
	rg.horizon = max(rg.horizon, stamp)
	rg.forget(id)
	return true
}

// end moves a live record to the ended ones.
func (rg *Registry[A]) end(rc *record[A], st State) {
	rc.state = st
	rg.live.Remove(&rc.place)
	rg.forgetLater(rc)
}

// forgetLater keeps what is to be known of an attempt that has ended, until its
// stamp is stale.
func (rg *Registry[A]) forgetLater(rc *record[A]) {
	delete(rg.records, rc.id)
	rg.past[rc.id] = past{stamp: rc.stamp, state: rc.state}
	rg.ended.Push(rc.id, rc.stamp)
}

func (rg *Registry[A]) expiryOf(stamp time.Duration) time.Time {
	return rg.start.Add(stamp + rg.lim.StampLifetime)
}

// forget drops all that is known of an attempt.
func (rg *Registry[A]) forget(id call.AttemptID) {
	if rc := rg.records[id]; rc != nil {
		rg.drop(rc)
	}
	delete(rg.past, id)
}

// keep stores the answer of an attempt that has just finished in place of older
// ones.
func (rg *Registry[A]) keep(now time.Time, rc *record[A], answer A, bytes int) {
	if bytes > rg.lim.AnswerBytes {
		return
	}
	for rg.bytes+bytes > rg.lim.AnswerBytes {
		old, _ := rg.answers.Pop()
		rg.drop(old)
	}
	rg.bytes += bytes
	rc.answer, rc.bytes, rc.held = answer, bytes, true
	rg.records[rc.id] = rc
	rg.answers.Set(&rc.kept, now.Add(rg.lim.AnswerRetention))
}

// drop removes the answer of a record.
func (rg *Registry[A]) drop(rc *record[A]) {
	rg.answers.Remove(&rc.kept)
	rg.bytes -= rc.bytes
	delete(rg.records, rc.id)
}

func (rg *Registry[A]) expire(now time.Time) {
	for {
		rc, ok := rg.answers.PopBefore(now)
		if !ok {
			break
		}
		rg.drop(rc)
	}
	for {
		rc, ok := rg.live.PopBefore(now)
		if !ok {
			break
		}
		delete(rg.records, rc.id)
	}
	for {
		id, stamp, ok := rg.ended.First()
		if !ok || rg.expiryOf(stamp).After(now) {
			return
		}
		rg.ended.Pop()
		rg.forget(id)
	}
}
