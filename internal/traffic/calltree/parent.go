package calltree

import (
	"bytes"
	"maps"
	"time"

	"camphortrail/call"
)

const (
	// maxDeadlineEarly and maxDeadlineLate bound how much earlier or later the deadline
	// of a call may be than the one that its parent was sent: both are rounded to
	// milliseconds, and the deadline of the call is computed from the time at which the
	// call is read.
	maxDeadlineEarly = 3 * time.Millisecond
	maxDeadlineLate  = 6 * time.Millisecond
)

// Retain removes what is known of all classes for which retain returns false.
func (tr *Trees) Retain(retain func(call.Class) bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	maps.DeleteFunc(tr.origins, func(class call.Class, _ *requestOrigin) bool { return !retain(class) })
	maps.DeleteFunc(tr.observed, func(class call.Class, _ map[call.Service]reading) bool { return !retain(class) })
	tr.fanOuts.retain(retain)
	maps.DeleteFunc(tr.patterns, func(class call.Class, _ *callPattern) bool { return !retain(class) })
}

// OutgoingCall is a call of the upstream that does not name its parent.
type OutgoingCall struct {
	Class call.Class
	// Connection identifies the connection on which the call came, or is empty.
	Connection string
	Deadline   time.Time
}

// FindParent returns the running attempt to which a call of the upstream is attributed,
// if any. It is the first of these that exists:
//
//   - the attempt whose last call was answered within maxChainGap, on the same connection
//     if possible;
//   - the attempt that has the deadline of the call: an upstream passes its deadline on,
//     unless the maximum time for the class of the call ends earlier;
//   - of the attempts that have made no call, the one that most likely makes its first
//     call at its age, judging by earlier attempts of its class.
//
// It also returns the number of calls that the attempt and those above it have completed. It is that
// of the calls which this one follows, also where these are attributed to another attempt.
func (tr *Trees) FindParent(now time.Time, og OutgoingCall) (in *Inbound, callsDone int, ok bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	ch := tr.track(now, og)
	if !ch.mayContinue(tr, og) {
		if ch.parent = tr.expiringWith(og); ch.parent == nil {
			ch.parent = tr.likelyCaller(now, og)
		}
	}
	if ch.parent == nil {
		return nil, ch.completed, false
	}
	ch.parent.hasCalled = true
	return ch.parent, ch.parent.CallsDone + ch.completed, true
}

// expiringWith returns the attempt whose deadline is nearest to that of a call, or nil if
// none is close enough.
func (tr *Trees) expiringWith(og OutgoingCall) *Inbound {
	var nearest *Inbound
	var apart time.Duration
	for _, in := range tr.inbound {
		late := og.Deadline.Sub(in.UpstreamDeadline)
		if late < -maxDeadlineEarly || late > maxDeadlineLate {
			continue
		}
		if nearest == nil || late.Abs() < apart || late.Abs() == apart && in.startedBefore(nearest) {
			nearest, apart = in, late.Abs()
		}
	}
	return nearest
}

// likelyCaller returns the attempt that most likely makes its first call now, or nil.
func (tr *Trees) likelyCaller(now time.Time, og OutgoingCall) *Inbound {
	var likely *Inbound
	var lowest float64
	for _, in := range tr.inbound {
		if in.hasCalled || in.Class == "" || !in.lastsUntil(og.Deadline) || !tr.makesCalls(in.Class) {
			continue
		}
		nll, ok := tr.pattern(in.Class).negLogLikelihood(og.Class, now.Sub(in.Started))
		if !ok {
			continue
		}
		if likely == nil || nll < lowest || nll == lowest && in.startedBefore(likely) {
			likely, lowest = in, nll
		}
	}
	return likely
}

// startedBefore orders attempts by their start, and by their ids if they started
// together, so that a choice does not depend on map order.
func (in *Inbound) startedBefore(other *Inbound) bool {
	if !in.Started.Equal(other.Started) {
		return in.Started.Before(other.Started)
	}
	return bytes.Compare(in.ID[:], other.ID[:]) < 0
}

// lastsUntil reports whether the attempt lasts until the deadline of a call.
func (in *Inbound) lastsUntil(deadline time.Time) bool {
	return deadline.Sub(in.UpstreamDeadline) <= maxDeadlineLate
}
