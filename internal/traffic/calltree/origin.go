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
	// continuedDivisor says that upstreams send a class as calls if an attempt goes on or
	// ends right after at least 1/continuedDivisor of the answers to it. By chance, the
	// fraction is about the number of such moments per second times maxChainGap.
	continuedDivisor = 4
)

// requestOrigin counts the requests of a class and those that no running attempt can have
// made because they outlast it. It also counts the answers to them and those on which an
// upstream seems to have continued.
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

// fromCallers reports whether callers send requests of the class although attempts
// outlast them: hardly any upstream waits for the answers.
func (ro *requestOrigin) fromCallers() bool {
	return ro.answered >= minOriginSamples && ro.continued*continuedDivisor < ro.answered
}

// IsCall reports whether requests of the class are calls that upstreams make. A call does
// not outlast its parent, while a request that a caller sends now outlasts those sent
// before, unless its class has less time. And when a call is answered, its parent makes
// the next one or ends. Requests of a class that is not known yet count as calls.
func (tr *Trees) IsCall(class call.Class, deadline time.Time) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	ro := tr.origin(class)
	ro.halve()
	ro.requests++
	if !tr.outlasted(deadline) {
		ro.outlasting++
	}
	if ro.fromCallers() {
		return false
	}
	return ro.requests < minOriginSamples || ro.outlasting*callerDivisor < ro.requests
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
