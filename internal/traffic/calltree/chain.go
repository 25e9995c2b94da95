package calltree

import (
	"slices"
	"time"

	"camphortrail/call"
)

// chainGap is the longest time from an answer to a call until the next call of
// the same attempt, or its end: the upstream only has to read the one and write
// the other.
const chainGap = time.Millisecond

// chain is a series of calls on one connection, each of which followed the
// answer to the one before at once.
type chain struct {
	// parent is the attempt that they were given to, if any.
	parent *Inbound
	// kind is that of the first, which came at the time begun.
	kind  call.Class
	begun time.Time
	// last is the kind of the last one.
	last call.Class
	// made is the calls that have ended and are counted for the parent, and lost those
	// that are counted for none.
	made, lost []made
	// connection is that of the last one, and answered when it was answered.
	connection string
	answered   time.Time
}

// continued returns the chain that a call continues, if any, which waits no more:
// that of its connection, or else the one that was answered first of those whose
// attempt may make the call.
func (tr *Trees) continued(now time.Time, og OutgoingCall) *chain {
	tr.forget(now)
	at := slices.IndexFunc(tr.waiting, func(ch *chain) bool { return ch.connection == og.Connection })
	if at < 0 {
		at = slices.IndexFunc(tr.waiting, func(ch *chain) bool { return ch.running(tr, og) })
	}
	if at < 0 {
		return nil
	}
	ch := tr.waiting[at]
	tr.waiting = slices.Delete(tr.waiting, at, at+1)
	return ch
}

// running reports whether the chain's attempt runs and may make the call.
func (ch *chain) running(tr *Trees, og OutgoingCall) bool {
	return ch.parent != nil && tr.inbound[ch.parent.ID] == ch.parent && ch.parent.lasts(og.Deadline)
}

// TrackRequest takes note of a request that counts as one of a caller, so that its
// kind is found to be one of calls if it is.
func (tr *Trees) TrackRequest(now time.Time, og OutgoingCall) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.follow(now, og)
}

// follow returns the chain of a request, with the request in it.
func (tr *Trees) follow(now time.Time, og OutgoingCall) *chain {
	ch := tr.continued(now, og)
	if ch == nil {
		ch = &chain{kind: og.Class, begun: now}
	} else {
		tr.origin(ch.last).awaited++
	}
	ch.last, ch.connection = og.Class, og.Connection
	if og.Connection != "" {
		tr.chains[og.Connection] = ch
	}
	return ch
}

// Answered notes that a call was answered on a connection.
func (tr *Trees) Answered(now time.Time, connection string) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	ch := tr.chains[connection]
	if ch == nil {
		return
	}
	delete(tr.chains, connection)
	tr.origin(ch.last).answered++
	ch.answered = now
	tr.forget(now)
	tr.waiting = append(tr.waiting, ch)
}

// forget drops the chains that nothing follows any more.
func (tr *Trees) forget(now time.Time) {
	old := 0
	for old < len(tr.waiting) && now.Sub(tr.waiting[old].answered) > chainGap {
		old++
	}
	tr.waiting = slices.Delete(tr.waiting, 0, old)
}

// learn takes in that an attempt has ended. An upstream answers an attempt at
// once when the last of its calls is answered, so that the chain that ended a
// moment ago is that of the attempt, whichever it was given to.
func (tr *Trees) learn(now time.Time, in *Inbound) {
	tr.forget(now)
	found, count := 0, 0
	for at, ch := range tr.waiting {
		if !ch.begun.Before(in.Started) {
			found = at
			count++
		}
	}
	switch {
	case count == 0:
		tr.caller(in.Class).end(false)
		return
	case count > 1:
		return
	}
	ch := tr.waiting[found]
	tr.needs.move(now, ch, in)
	cr := tr.caller(in.Class)
	cr.end(true)
	tr.origin(ch.last).awaited++
	cr.learn(ch.kind, ch.begun.Sub(in.Started))
	if ch.parent != nil && ch.parent != in {
		// It has made no call, as far as is known now.
		ch.parent.called = false
	}
	tr.waiting = slices.Delete(tr.waiting, found, found+1)
}
