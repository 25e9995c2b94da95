// Package withdrawal finds out what became of attempts whose answers do not
// come. A Registry at the guard records the state of each attempt, and fences
// attempts that have not begun; a Suspicion at the entry finds connections
// that went silent; a History tells the entry whether a request may be sent
// again, and what its caller may be told.
package withdrawal

import (
	"time"

	"camphortrail/call"
	"camphortrail/internal/state/expiry"
)

// Registry holds the attempts of one guard. It is not safe for concurrent
// use.
//
// An attempt is remembered until its stamp is stale. From then on a late copy
// of it is refused by its stamp, and a question about it is answered with
// Unknown. So nothing that was forgotten can be reported as not run.
type Registry[A any] struct {
	lim   Limits
	incarnation  Incarnation
	start time.Time
	// evictedThrough is the latest stamp whose attempts may have been forgotten.
	evictedThrough time.Duration
	// records holds the live attempts and those whose answers are kept, and past all
	// that have ended.
	records map[call.AttemptID]*record[A]
	endedStates    map[call.AttemptID]endedState
	// endedByStamp orders those that have endedByStamp by their stamps.
	endedByStamp   expiry.KeyQueue[call.AttemptID]
	liveByExpiry    expiry.Queue[*record[A]]
	answersByExpiry expiry.Queue[*record[A]]
	answerBytes   int
}

// NewRegistry returns a registry for the guard's run self, which began at the
// time start.
func NewRegistry[A any](self Incarnation, start time.Time, lim Limits) *Registry[A] {
	return &Registry[A]{
		lim:     lim,
		incarnation:    self,
		start:   start,
		evictedThrough: -1,
		records: make(map[call.AttemptID]*record[A]),
		endedStates:    make(map[call.AttemptID]endedState),
	}
}

// Len returns the number of attempts and fences held.
func (rg *Registry[A]) Len() int { return rg.liveByExpiry.Len() + len(rg.endedStates) }

// Stamp returns the guard's stamp at the time now.
func (rg *Registry[A]) Stamp(now time.Time) Stamp {
	return Stamp{Incarnation: rg.incarnation, Uptime: now.Sub(rg.start)}
}

// Step applies ev at the time now.
func (rg *Registry[A]) Step(now time.Time, ev Event[A]) Result[A] {
	rg.expire(now)
	switch ev := ev.(type) {
	case Arrive[A]:
		return rg.begin(now, ev)
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

func (rg *Registry[A]) begin(now time.Time, ev Arrive[A]) Result[A] {
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

// lookup returns the state of an attempt, with its answer if that is kept, and
// whether anything is lookup of it.
func (rg *Registry[A]) lookup(id call.AttemptID) (Result[A], bool) {
	if rc := rg.records[id]; rc != nil {
		return rc.result(), true
	}
	pa, ok := rg.endedStates[id]
	return Result[A]{State: pa.state}, ok
}

// transition takes an attempt from one state to another, and rejects it in any
// other state.
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

func (rg *Registry[A]) finish(now time.Time, ev Finish[A]) Result[A] {
	rc := rg.records[ev.Attempt]
	res := rg.transition(ev.Attempt, Running, Finished)
	if res.Decision == Accepted {
		rg.storeAnswer(now, rc, ev.Answer, ev.Bytes)
	}
	return res
}

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
