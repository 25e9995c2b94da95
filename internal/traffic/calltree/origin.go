package calltree

import (
	"time"

	"camphortrail/call"
)

const (
	// originSamples is the number of requests of a class after which the counts are
	// halved, and minOriginSamples the number below which nothing is concluded.
	originSamples    = 128
	minOriginSamples = 16
	// callerDivisor says that callers send a class if at least 1/callerDivisor of its
	// requests outlast all running attempts. Calls of an attempt that was just abandoned
	// do so too, but are few.
	callerDivisor = 8
	// continuedDivisor says that upstreams send a class as calls if, within maxChainGap of
	// at least 1/continuedDivisor of the answers to it, an attempt makes another call or
	// ends. For requests of callers this happens by chance, to a fraction of about the
	// number of such events per second times maxChainGap.
	continuedDivisor = 4
)

// requestOrigin counts the requests of a class, and those that no running attempt can have
// made because they outlast all of them. It also counts the answers to requests of the class,
// and the answers after which an attempt made another call or ended.
type requestOrigin struct{ requests, outlasting, answered, continued int }

// halve halves the counts once they are large enough, so that recent requests prevail.
func (ro *requestOrigin) halve() {
	if ro.requests >= originSamples {
		ro.requests, ro.outlasting = ro.requests/2, ro.outlasting/2
	}
	if ro.answered >= originSamples {
		ro.answered, ro.continued = ro.answered/2, ro.continued/2
	}
}

// fromCallers reports whether requests of the class come from callers, even if running
// attempts outlast them: too few of the answers to them were followed by another call or by
// the end of an attempt.
func (ro *requestOrigin) fromCallers() bool {
	return ro.answered >= minOriginSamples && ro.continued*continuedDivisor < ro.answered
}

// IsCall records a request of the class and reports whether requests of the class are calls
// that upstreams make. Two signs distinguish them. The deadline of a call is not later than
// that of its parent, while a request that a caller sends now has a later deadline than the
// requests sent before, unless its class has a shorter time limit. And when a call is
// answered, its parent makes the next call or ends. A class counts as calls until
// minOriginSamples requests have been seen.
func (tr *Trees) IsCall(class call.Class, deadline time.Time) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	ro := tr.origin(class)
	ro.halve()
	ro.requests++
	if !tr.outlasted(deadline) {
		ro.outlasting++
	}
	return ro.calls()
}

// calls reports whether the requests of the class count as calls.
func (ro *requestOrigin) calls() bool {
	if ro.fromCallers() {
		return false
	}
	return ro.requests < minOriginSamples || ro.outlasting*callerDivisor < ro.requests
}

// IsKnownCall is IsCall for requests without a key where callers need one: a class counts as calls
// only after minOriginSamples requests.
func (tr *Trees) IsKnownCall(class call.Class, deadline time.Time) bool {
	isCall := tr.IsCall(class, deadline)
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return isCall && tr.origin(class).requests >= minOriginSamples
}

// origin returns the counts of a class, and creates them if needed. The lock is held.
func (tr *Trees) origin(class call.Class) *requestOrigin {
	ro := tr.origins[class]
	if ro == nil {
		ro = new(requestOrigin)
		tr.origins[class] = ro
	}
	return ro
}

// outlasted reports whether a running attempt lasts until the deadline. The lock is held.
func (tr *Trees) outlasted(deadline time.Time) bool {
	for _, in := range tr.inbound {
		if in.lastsUntil(deadline) {
			return true
		}
	}
	return false
}
