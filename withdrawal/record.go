package withdrawal

import (
	"time"

	"camphortrail/call"
	"camphortrail/internal/state/expiry"
)

// record is what a registry knows of one attempt.
type record[A any] struct {
	id    call.AttemptID
	stamp time.Duration
	state State
	// place orders the record among the live or the ended ones.
	place expiry.Item[*record[A]]

	answer A
	bytes  int
	// kept orders the record among those with an answer.
	kept expiry.Item[*record[A]]
	held bool
}

func (rc *record[A]) result() Result[A] {
	return Result[A]{State: rc.state, Answer: rc.answer, Kept: rc.held}
}

// fresh reports whether everything about attempts with the stamp is still
// remembered.
func (rg *Registry[A]) fresh(now time.Time, sp Stamp) bool {
	age := now.Sub(rg.start) - sp.Since
	return sp.Incarnation == rg.self && sp.Since > rg.horizon && age >= 0 && age < rg.lim.Life
}

// add records an attempt that is not known yet. It returns nil when the stamp
// is stale or there is no room.
func (rg *Registry[A]) add(now time.Time, id call.AttemptID, sp Stamp, st State) (*record[A], Decision) {
	if !rg.fresh(now, sp) {
		return nil, Stale
	}
	if len(rg.records) >= rg.lim.Attempts && !rg.evict() {
		return nil, Full
	}
	if !rg.fresh(now, sp) {
		return nil, Stale
	}
	rc := &record[A]{id: id, stamp: sp.Since, state: st}
	rc.place.Value = rc
	rc.kept.Value = rc
	rg.records[id] = rc
	if st == Queued {
		rg.live.Set(&rc.place, rg.expiryOf(rc))
	} else {
		rg.ended.Set(&rc.place, rg.expiryOf(rc))
	}
	return rc, Accepted
}

// evict forgets the ended attempt with the earliest stamp. All attempts with
// that stamp or an earlier one become stale.
func (rg *Registry[A]) evict() bool {
	rc, ok := rg.ended.Pop()
	if !ok {
		return false
	}
	rg.horizon = max(rg.horizon, rc.stamp)
	rg.forget(rc)
	return true
}

// end moves a live record to the ended ones.
func (rg *Registry[A]) end(rc *record[A], st State) {
	rc.state = st
	rg.live.Remove(&rc.place)
	rg.ended.Set(&rc.place, rg.expiryOf(rc))
}

func (rg *Registry[A]) expiryOf(rc *record[A]) time.Time {
	return rg.start.Add(rc.stamp + rg.lim.Life)
}

func (rg *Registry[A]) forget(rc *record[A]) {
	rg.drop(rc)
	delete(rg.records, rc.id)
}

// keep stores the answer of a finished attempt in place of older ones.
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
	rg.answers.Set(&rc.kept, now.Add(rg.lim.AnswerLife))
}

// drop removes the answer of a record, if it has one.
func (rg *Registry[A]) drop(rc *record[A]) {
	if !rc.held {
		return
	}
	var none A
	rg.answers.Remove(&rc.kept)
	rg.bytes -= rc.bytes
	rc.answer, rc.bytes, rc.held = none, 0, false
}

func (rg *Registry[A]) expire(now time.Time) {
	for {
		rc, ok := rg.answers.PopBefore(now)
		if !ok {
			break
		}
		rg.drop(rc)
	}
	for _, qu := range [...]*expiry.Queue[*record[A]]{&rg.live, &rg.ended} {
		for {
			rc, ok := qu.PopBefore(now)
			if !ok {
				break
			}
			rg.forget(rc)
		}
	}
}
