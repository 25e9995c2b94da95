package tree

import (
	"maps"
	"math"
	"slices"
	"time"

	"camphortrail/call"
)

const (
	// adoptEarly and adoptLate are how much a call's deadline may differ from
	// the one that its parent was told: both are rounded to milliseconds, and
	// it is read from the time at which the call is read.
	adoptEarly = 3 * time.Millisecond
	adoptLate  = 6 * time.Millisecond
	// chainGap is the longest time from an answer to a call until the next call
	// of the same attempt on the same connection: the upstream only has to
	// read the one and write the other.
	chainGap = time.Millisecond
	// callingShare is the part of the attempts of a kind, 1 in so many, from
	// which the kind counts as one that makes calls.
	callingShare = 4
	// delayStep is the divisor of the step by which a sample moves a delay.
	delayStep = 32
	// minSpread bounds the spread of a delay from below, as a divisor of its
	// median.
	minSpread = 32
	// maxDeviations is the number of spreads from which an age is far off.
	maxDeviations = 3
	// unknownDelay is more unlikely than any age of a kind that is known.
	unknownDelay = 100
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

// Keep forgets the kinds that are not to be kept.
func (tr *Trees) Keep(keep func(call.Class) bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	maps.DeleteFunc(tr.origins, func(kind call.Class, _ *origin) bool { return !keep(kind) })
	maps.DeleteFunc(tr.callers, func(kind call.Class, _ *caller) bool { return !keep(kind) })
}

// Outgoing is a call of the upstream that does not name its parent.
type Outgoing struct {
	Class call.Class
	// Connection is the one on which it came, or empty.
	Connection string
	Deadline   time.Time
}

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
	// connection is that of the last one, and answered when it was answered.
	connection string
	answered   time.Time
}

// caller is what is known of the attempts of a kind: how many made calls, and
// how long after their start they made the first one, by its kind.
type caller struct {
	ended, called int
	first         map[call.Class]*delay
}

func (tr *Trees) caller(kind call.Class) *caller {
	cr := tr.callers[kind]
	if cr == nil {
		cr = &caller{first: make(map[call.Class]*delay)}
		tr.callers[kind] = cr
	}
	return cr
}

// end counts an attempt that has ended.
func (cr *caller) end(called bool) {
	if cr.ended >= originSamples {
		cr.ended, cr.called = cr.ended/2, cr.called/2
	}
	cr.ended++
	if called {
		cr.called++
	}
}

// calls reports whether attempts of the kind make calls, as far as is known.
func (cr *caller) calls() bool {
	return cr.ended < minOriginSamples || cr.called*callingShare >= cr.ended
}

// learn takes in the time until a first call of the kind.
func (cr *caller) learn(kind call.Class, age time.Duration) {
	de := cr.first[kind]
	if de == nil {
		de = &delay{median: age, spread: age / 4}
		cr.first[kind] = de
	}
	de.add(age)
}

// delay is a running estimate of a time by its median and the median of its
// deviations, which single wrong samples hardly move.
type delay struct{ median, spread time.Duration }

// add moves both a small step towards the sample.
func (de *delay) add(d time.Duration) {
	off := d - de.median
	step := de.spread / delayStep
	if off < 0 {
		step = -step
	}
	de.median += step
	if off.Abs() > de.spread {
		de.spread += de.spread / delayStep
	} else {
		de.spread -= de.spread / delayStep
	}
	de.spread = max(de.spread, de.median/minSpread, time.Millisecond/2)
}

// unlikelihood returns how unlikely it is that an attempt of the kind makes its
// first call at an age: the negative logarithm of the normal density, but for
// a constant. It returns false for ages that are far off: an attempt whose call
// was given to another one must not take that of a third.
func (cr *caller) unlikelihood(kind call.Class, age time.Duration) (float64, bool) {
	de := cr.first[kind]
	if de == nil {
		return unknownDelay, true
	}
	off := float64(age-de.median) / float64(de.spread)
	return off*off/2 + math.Log(de.spread.Seconds()), math.Abs(off) <= maxDeviations
}

// Adopt returns the running attempt whose upstream makes a call. It is the first
// that is found of:
//
//   - the attempt whose call was answered a moment ago on the same connection;
//   - the one that expires with the call, which it does unless the longest time
//     for the kind of the call ends earlier;
//   - of those that have made no call, the one that most likely makes the first
//     at its age, by what its kind usually does.
func (tr *Trees) Adopt(now time.Time, og Outgoing) (*Inbound, bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	ch := tr.follow(now, og)
	if !ch.running(tr, og) {
		if ch.parent = tr.expiring(og); ch.parent == nil {
			ch.parent = tr.beginning(now, og)
		}
	}
	if ch.parent == nil {
		return nil, false
	}
	ch.parent.called = true
	return ch.parent, true
}

// continued returns the chain that a call continues, if any, which waits no more:
// that of its connection, or else the one that was answered first of those whose
// attempt may make the call.
func (tr *Trees) continued(now time.Time, og Outgoing) *chain {
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
func (ch *chain) running(tr *Trees, og Outgoing) bool {
	return ch.parent != nil && tr.inbound[ch.parent.ID] == ch.parent && ch.parent.lasts(og.Deadline)
}

// Follow takes note of a request that counts as one of a caller, so that its
// kind is found to be one of calls if it is.
func (tr *Trees) Follow(now time.Time, og Outgoing) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.follow(now, og)
}

// follow returns the chain of a request, with the request in it.
func (tr *Trees) follow(now time.Time, og Outgoing) *chain {
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
	switch count {
	case 0:
		tr.caller(in.Class).end(false)
	case 1:
		cr, ch := tr.caller(in.Class), tr.waiting[found]
		cr.end(true)
		tr.origin(ch.last).awaited++
		cr.learn(ch.kind, ch.begun.Sub(in.Started))
		if ch.parent != nil && ch.parent != in {
			// It has made no call, as far as is known now.
			ch.parent.called = false
		}
		tr.waiting = slices.Delete(tr.waiting, found, found+1)
	}
}

// expiring returns the attempt that expires with a call.
func (tr *Trees) expiring(og Outgoing) *Inbound {
	var nearest *Inbound
	var apart time.Duration
	for _, in := range tr.inbound {
		late := og.Deadline.Sub(in.Told)
		if late < -adoptEarly || late > adoptLate {
			continue
		}
		if nearest == nil || late.Abs() < apart {
			nearest, apart = in, late.Abs()
		}
	}
	return nearest
}

// beginning returns the attempt that most likely makes its first call now.
func (tr *Trees) beginning(now time.Time, og Outgoing) *Inbound {
	var likely *Inbound
	var least float64
	for _, in := range tr.inbound {
		if in.called || in.Class == "" || !in.lasts(og.Deadline) || !tr.caller(in.Class).calls() {
			continue
		}
		ul, ok := tr.caller(in.Class).unlikelihood(og.Class, now.Sub(in.Started))
		if !ok {
			continue
		}
		if likely == nil || ul < least || ul == least && in.Started.Before(likely.Started) {
			likely, least = in, ul
		}
	}
	return likely
}

// lasts reports whether the attempt lasts until the deadline of a call.
func (in *Inbound) lasts(deadline time.Time) bool { return deadline.Sub(in.Told) <= adoptLate }
