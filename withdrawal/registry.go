// Package withdrawal determines the state of attempts whose answers do not arrive. A
// Registry at the guard records the state of each attempt and fences attempts that have
// not started. A FailureDetector at the entry detects connections on which nothing
// arrives any more. A History at the entry decides whether a request may be sent again and
// which outcome to report to its caller.
package withdrawal

import (
	"time"

	"camphortrail/call"
	"camphortrail/internal/state/expiry"
)

// Registry holds the attempts of one guard. It is not safe for concurrent use.
//
// An attempt is remembered until its stamp is stale. After that, a delayed copy of the
// attempt is refused because of its stamp, and a query about it returns Unknown. An attempt
// that was forgotten is therefore never reported as not run.
type Registry[A any] struct {
	lim         Limits
	incarnation Incarnation
	start       time.Time
	// evictedThrough is the latest stamp of an evicted attempt, or -1. Stamps up to it are
	// stale.
	evictedThrough time.Duration
	// records holds the live attempts and those with a stored answer. endedStates holds
	// all attempts that have ended.
	records     map[call.AttemptID]*record[A]
	endedStates map[call.AttemptID]endedState
	// endedByStamp orders the ended attempts by their stamps.
	endedByStamp    expiry.KeyQueue[call.AttemptID]
	liveByExpiry    expiry.Queue[*record[A]]
	answersByExpiry expiry.Queue[*record[A]]
	answerBytes     int
}

// NewRegistry returns an empty registry for the incarnation self of the guard, which
// started at the given time.
func NewRegistry[A any](self Incarnation, start time.Time, lim Limits) *Registry[A] {
	return &Registry[A]{
		lim:            lim,
		incarnation:    self,
		start:          start,
		evictedThrough: -1,
		records:        make(map[call.AttemptID]*record[A]),
		endedStates:    make(map[call.AttemptID]endedState),
	}
}

// Len returns the number of attempts in the registry, including fenced ones.
func (rg *Registry[A]) Len() int { return rg.liveByExpiry.Len() + len(rg.endedStates) }

// Stamp returns the stamp of the guard at the time now.
func (rg *Registry[A]) Stamp(now time.Time) Stamp {
	return Stamp{Incarnation: rg.incarnation, Uptime: now.Sub(rg.start)}
}

// Step applies ev at the time now.
func (rg *Registry[A]) Step(now time.Time, ev Event[A]) Result[A] {
	rg.expire(now)
	switch ev := ev.(type) {
	case Arrive[A]:
		return rg.arrive(now, ev)
	case Start[A]:
		return rg.transition(ev.Attempt, Queued, Running)
	case Refuse[A]:
		return rg.transition(ev.Attempt, Queued, Dequeued)
	case Abort[A]:
		return rg.transition(ev.Attempt, Running, Finished)
	case Finish[A]:
		return rg.finish(now, ev)
	case Withdraw[A]:
		return rg.withdraw(now, ev)
	case Inspect[A]:
		return rg.inspect(now, ev)
	}
	return Result[A]{}
}

// arrive records a new attempt, or returns the state of a known one.
func (rg *Registry[A]) arrive(now time.Time, ev Arrive[A]) Result[A] {
	res, known := rg.lookup(ev.Attempt)
	if !known {
		_, dec := rg.add(now, ev.Attempt, ev.Stamp, Queued)
		return Result[A]{Decision: dec}
	}
	res.Decision = Duplicate
	if res.State == Fenced {
		res.Decision = Withdrawn
	}
	return res
}

// lookup returns the state of an attempt, with its answer if that is stored, and whether
// the attempt is in the registry.
func (rg *Registry[A]) lookup(id call.AttemptID) (Result[A], bool) {
	if rc := rg.records[id]; rc != nil {
		return rc.result(), true
	}
	pa, ok := rg.endedStates[id]
	return Result[A]{State: pa.state}, ok
}

// transition changes the state of a live attempt. The decision is Rejected if the attempt
// is not in the state from.
func (rg *Registry[A]) transition(id call.AttemptID, from, to State) Result[A] {
	rc := rg.records[id]
	if rc == nil || rc.state != from {
		return Result[A]{Decision: Rejected}
	}
	if to == Running {
		rc.state = Running
	} else {
		rg.end(rc, to)
	}
	return Result[A]{Decision: Accepted, State: to}
}

// finish ends a running attempt and stores its answer.
func (rg *Registry[A]) finish(now time.Time, ev Finish[A]) Result[A] {
	rc := rg.records[ev.Attempt]
	res := rg.transition(ev.Attempt, Running, Finished)
	if res.Decision == Accepted {
		rg.storeAnswer(now, rc, ev.Answer, ev.Bytes)
	}
	return res
}

// withdraw fences an unknown attempt and dequeues a queued one. An attempt in another
// state is left as it is.
func (rg *Registry[A]) withdraw(now time.Time, ev Withdraw[A]) Result[A] {
	res, known := rg.lookup(ev.Attempt)
	if !known {
		if _, dec := rg.add(now, ev.Attempt, ev.Stamp, Fenced); dec != Accepted {
			return Result[A]{State: Unknown}
		}
		return Result[A]{Decision: Accepted, State: Fenced}
	}
	if res.State == Queued {
		rg.end(rg.records[ev.Attempt], Dequeued)
		res.State = Dequeued
	}
	res.Decision = Accepted
	return res
}

// inspect returns the state of an attempt. An unknown attempt is Unseen as long as its
// stamp proves that nothing about it was forgotten.
func (rg *Registry[A]) inspect(now time.Time, ev Inspect[A]) Result[A] {
	res, known := rg.lookup(ev.Attempt)
	switch {
	case known:
		res.Decision = Accepted
		return res
	case rg.isFresh(now, ev.Stamp):
		return Result[A]{Decision: Accepted, State: Unseen}
	}
	return Result[A]{State: Unknown}
}
