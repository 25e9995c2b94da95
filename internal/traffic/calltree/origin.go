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
	// minCallerSamples is the number of requests of a class after which it tells the origin of the
	// connections on which they came, if at least half of them outlast all running attempts.
	minCallerSamples = 4
	// maxConnections bounds the connections whose origin is remembered, twice.
	maxConnections = 4096
)

// requestOrigin counts the requests of a class, and those that no running attempt can have
// made because they outlast all of them, or because they came on the connection of a caller. It also
// counts the answers to requests of the class, and the answers after which an attempt made another
// call or ended.
type requestOrigin struct{ requests, outlasting, besideCallers, answered, continued int }

// halve halves the counts once they are large enough, so that recent requests prevail.
func (ro *requestOrigin) halve() {
	if ro.requests >= originSamples {
		ro.requests, ro.outlasting, ro.besideCallers = ro.requests/2, ro.outlasting/2, ro.besideCallers/2
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

// surelyFromCallers reports whether so many requests of the class outlast all running attempts that
// only callers can send them.
func (ro *requestOrigin) surelyFromCallers() bool {
	return ro.requests >= minCallerSamples && 2*ro.outlasting >= ro.requests
}

// connectionOrigins holds the class of the latest request on each connection that was surely one of
// a caller. It has two generations, of which the older one is dropped when the other one is full,
// since nothing tells when a connection has ended.
type connectionOrigins struct{ current, previous map[string]call.Class }

// get returns the class for a connection, or an empty one.
func (co *connectionOrigins) get(connection string) call.Class {
	if class, ok := co.current[connection]; ok {
		return class
	}
	return co.previous[connection]
}

// set records the class of a request on a connection.
func (co *connectionOrigins) set(connection string, class call.Class) {
	if connection == "" || co.current[connection] == class {
		return
	}
	if co.current == nil || len(co.current) >= maxConnections {
		co.current, co.previous = make(map[string]call.Class), co.current
	}
	co.current[connection] = class
}

// IsCall records a request and reports whether it is a call that an upstream makes, judging by its
// class. Two signs distinguish calls. The deadline of a call is not later than
// that of its parent, while a request that a caller sends now has a later deadline than the
// requests sent before, unless its class has a shorter time limit. And when a call is
// answered, its parent makes the next call or ends. A class counts as calls until
// minOriginSamples requests have been seen.
//
// The class of another request on the same connection can also tell, since a connection belongs to a
// caller or to the upstream. This sign is there before any answer, at a start of all nodes under load.
func (tr *Trees) IsCall(og OutgoingCall) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	ro := tr.origin(og.Class)
	ro.halve()
	ro.requests++
	other := tr.connections.get(og.Connection)
	besideCallers := other != og.Class && tr.origins[other] != nil && tr.origins[other].surelyFromCallers()
	switch {
	case !tr.outlasted(og.Deadline):
		ro.outlasting++
	case besideCallers:
		ro.besideCallers++
	}
	if ro.surelyFromCallers() {
		tr.connections.set(og.Connection, og.Class)
	}
	return !besideCallers && ro.calls()
}

// calls reports whether the requests of the class count as calls.
func (ro *requestOrigin) calls() bool {
	if ro.fromCallers() {
		return false
	}
	return ro.requests < minOriginSamples || (ro.outlasting+ro.besideCallers)*callerDivisor < ro.requests
}

// IsKnownCall is IsCall for requests without a key where callers need one: a class counts as calls
// only after minOriginSamples requests.
func (tr *Trees) IsKnownCall(og OutgoingCall) bool {
	isCall := tr.IsCall(og)
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return isCall && tr.origin(og.Class).requests >= minOriginSamples
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
