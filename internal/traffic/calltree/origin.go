package calltree

import (
	"time"

	"camphortrail/call"
)

const (
	// originSamples is the number of requests of a kind after which older ones
	// count half, and minOriginSamples that before which nothing is concluded.
	originSamples    = 128
	minOriginSamples = 16
	// callerShare is the part of the requests of a kind, 1 in so many, that
	// must outlast all running attempts if callers send them. The calls of an
	// attempt that was just given up do so too, but are few.
	callerShare = 8
	// awaitedShare is the part of the answers to a kind, 1 in so many, after
	// which an attempt must go on or end if the kind is one of calls. By chance
	// it is about the number of such moments in a second times chainGap.
	awaitedShare = 4
)

// origin counts the requests of a kind, and those that no running attempt can
// have made as they outlast it; and the answers to them, and those that an
// upstream seems to have waited for.
type origin struct{ seen, outlasting, answered, awaited int }

// fade halves what was counted, once there is enough of it.
func (or *origin) fade() {
	if or.seen >= originSamples {
		or.seen, or.outlasting = or.seen/2, or.outlasting/2
	}
	if or.answered >= originSamples {
		or.answered, or.awaited = or.answered/2, or.awaited/2
	}
}

// short reports whether callers send requests of the kind that other attempts
// outlast: hardly an upstream waits for the answers.
func (or *origin) short() bool {
	return or.answered >= minOriginSamples && or.awaited*awaitedShare < or.answered
}

// IsCall reports whether requests of the kind are calls that upstreams make. A
// call does not outlast its parent, while a request that a caller sends now
// outlasts those sent before, unless its kind has less time. And when a call is
// answered, its parent makes the next one or ends. Requests of a kind that is
// not known yet count as calls.
func (tr *Trees) IsCall(kind call.Class, deadline time.Time) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	or := tr.origin(kind)
	or.fade()
	or.seen++
	if !tr.covers(deadline) {
		or.outlasting++
	}
	if or.short() {
		return false
	}
	return or.seen < minOriginSamples || or.outlasting*callerShare < or.seen
}

// origin returns what is counted of a kind. The lock is held.
func (tr *Trees) origin(kind call.Class) *origin {
	or := tr.origins[kind]
	if or == nil {
		or = new(origin)
		tr.origins[kind] = or
	}
	return or
}

// covers reports whether a running attempt lasts until the deadline. The lock is
// held.
func (tr *Trees) covers(deadline time.Time) bool {
	for _, in := range tr.inbound {
		if in.lasts(deadline) {
			return true
		}
	}
	return false
}
