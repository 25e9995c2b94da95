package calltree

import (
	"slices"
	"time"

	"camphortrail/call"
)

// maxChainGap is the longest time from the answer to a call until the next call of the
// same attempt, or its end: the upstream only has to read the one and write the other.
const maxChainGap = time.Millisecond

// chain is a series of calls on one connection, each of which followed the answer to the
// previous one within maxChainGap.
type chain struct {
	// parent is the attempt to which the calls are attributed, or nil.
	parent *Inbound
	// class is the class of the first call, and started the time at which it came.
	class   call.Class
	started time.Time
	// lastClass is the class of the last call.
	lastClass call.Class
	// made is the number of ended calls that are attributed to the parent, and unassigned
	// the number that are attributed to no attempt.
	made, unassigned []calleeCount
	// completed is the number of calls that were answered.
	completed int
	// connection is that of the last call, and answeredAt when that call was answered.
	connection string
	answeredAt time.Time
}

// takeChain removes from the answered chains the one that a call continues, and returns
// it, or nil. It is the chain of the same connection, or else the first answered one
// whose attempt may make the call.
func (tr *Trees) takeChain(now time.Time, og OutgoingCall) *chain {
	tr.dropExpired(now)
	at := slices.IndexFunc(tr.answered, func(ch *chain) bool { return ch.connection == og.Connection })
	if at < 0 {
		at = slices.IndexFunc(tr.answered, func(ch *chain) bool { return ch.mayContinue(tr, og) })
	}
	if at < 0 {
		return nil
	}
	ch := tr.answered[at]
	tr.answered = slices.Delete(tr.answered, at, at+1)
	return ch
}

// mayContinue reports whether the parent of the chain still runs and may make the call.
func (ch *chain) mayContinue(tr *Trees, og OutgoingCall) bool {
	return ch.parent != nil && tr.inbound[ch.parent.ID] == ch.parent && ch.parent.lastsUntil(og.Deadline)
}

// TrackRequest records a request that was not counted as a call of the upstream. If such
// requests of its class turn out to follow one another as the calls of an attempt do, IsCall
// reports the class as calls from then on.
func (tr *Trees) TrackRequest(now time.Time, og OutgoingCall) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.track(now, og)
}

// track adds a request to the chain that it continues, or else to a new one, and returns
// the chain.
func (tr *Trees) track(now time.Time, og OutgoingCall) *chain {
	ch := tr.takeChain(now, og)
	if ch == nil {
		ch = &chain{class: og.Class, started: now}
	} else {
		tr.origin(ch.lastClass).continued++
	}
	ch.lastClass, ch.connection = og.Class, og.Connection
	if og.Connection != "" {
		tr.chains[og.Connection] = ch
	}
	return ch
}

// Answered records that a call was answered on a connection.
func (tr *Trees) Answered(now time.Time, connection string) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	ch := tr.chains[connection]
	if ch == nil {
		return
	}
	delete(tr.chains, connection)
	tr.origin(ch.lastClass).answered++
	ch.answeredAt = now
	ch.completed++
	tr.dropExpired(now)
	tr.answered = append(tr.answered, ch)
}

// Abandoned records that the latest request on a connection gets no answer and did not run.
func (tr *Trees) Abandoned(connection string) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	delete(tr.chains, connection)
}

// Unanswered returns the number of connections with an unanswered request.
func (tr *Trees) Unanswered() int {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return len(tr.chains)
}

// dropExpired removes the answered chains that no call can continue any more.
func (tr *Trees) dropExpired(now time.Time) {
	old := 0
	for old < len(tr.answered) && now.Sub(tr.answered[old].answeredAt) > maxChainGap {
		old++
	}
	tr.answered = slices.Delete(tr.answered, 0, old)
}

// makesCalls reports whether attempts of a class make calls. On a busy upstream, classes end just after
// calls by chance; they are left out if there is one that does so more often. The lock is held.
func (tr *Trees) makesCalls(class call.Class) bool {
	cp, chance := tr.pattern(class), tr.starts.chance()
	if !cp.makesCalls() || cp.endsAfterCalls(chance) {
		return cp.makesCalls()
	}
	for _, other := range tr.patterns {
		if other.ends.moments >= minOriginSamples && other.endsAfterCalls(chance) {
			return false
		}
	}
	return true
}

// assignChain learns from an attempt that has ended. An upstream answers an attempt as
// soon as the last of its calls is answered, so the chain that was answered within
// maxChainGap belongs to the attempt, whichever one it was attributed to. Nothing is
// learned if there are several such chains. Calls are not attributed to attempts of a class that end
// after calls only by chance.
func (tr *Trees) assignChain(now time.Time, in *Inbound) {
	tr.dropExpired(now)
	found, count := 0, 0
	for at, ch := range tr.answered {
		if !ch.started.Before(in.Started) {
			found = at
			count++
		}
	}
	cp := tr.pattern(in.Class)
	cp.ends.add(count > 0)
	switch {
	case count == 0:
		cp.addAttempt(false)
		return
	case count > 1:
		return
	}
	ch := tr.answered[found]
	cp.addAttempt(true)
	tr.origin(ch.lastClass).continued++
	if !tr.makesCalls(in.Class) {
		return
	}
	tr.fanOuts.reassign(now, ch, in)
	cp.addFirstCall(ch.class, ch.started.Sub(in.Started))
	if ch.parent != nil && ch.parent != in {
		// No call is attributed to this attempt any more.
		ch.parent.hasCalled = false
	}
	tr.answered = slices.Delete(tr.answered, found, found+1)
}
