package calltree

import (
	"bytes"
	"maps"
	"time"

	"camphortrail/call"
)

const (
	// adoptEarly and adoptLate are how much a call's deadline may differ from
	// the one that its parent was told: both are rounded to milliseconds, and
	// it is read from the time at which the call is read.
	adoptEarly = 3 * time.Millisecond
	adoptLate  = 6 * time.Millisecond
)

// Retain forgets the kinds that are not to be kept.
func (tr *Trees) Retain(keep func(call.Class) bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	maps.DeleteFunc(tr.origins, func(kind call.Class, _ *origin) bool { return !keep(kind) })
	maps.DeleteFunc(tr.met, func(kind call.Class, _ map[call.Service]reading) bool { return !keep(kind) })
	tr.needs.keep(keep)
	maps.DeleteFunc(tr.callers, func(kind call.Class, _ *caller) bool { return !keep(kind) })
}

// OutgoingCall is a call of the upstream that does not name its parent.
type OutgoingCall struct {
	Class call.Class
	// Connection is the one on which it came, or empty.
	Connection string
	Deadline   time.Time
}

// FindParent returns the running attempt whose upstream makes a call. It is the first
// that is found of:
//
//   - the attempt whose call was answered a moment ago on the same connection;
//   - the one that expires with the call, which it does unless the longest time
//     for the kind of the call ends earlier;
//   - of those that have made no call, the one that most likely makes the first
//     at its age, by what its kind usually does.
func (tr *Trees) FindParent(now time.Time, og OutgoingCall) (*Inbound, bool) {
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

// expiring returns the attempt that expires with a call.
func (tr *Trees) expiring(og OutgoingCall) *Inbound {
	var nearest *Inbound
	var apart time.Duration
	for _, in := range tr.inbound {
		late := og.Deadline.Sub(in.UpstreamDeadline)
		if late < -adoptEarly || late > adoptLate {
			continue
		}
		if nearest == nil || late.Abs() < apart || late.Abs() == apart && in.before(nearest) {
			nearest, apart = in, late.Abs()
		}
	}
	return nearest
}

// beginning returns the attempt that most likely makes its first call now.
func (tr *Trees) beginning(now time.Time, og OutgoingCall) *Inbound {
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
		if likely == nil || ul < least || ul == least && in.before(likely) {
			likely, least = in, ul
		}
	}
	return likely
}

// before orders attempts by their start, and those that started together by their ids,
// so that a choice does not depend on the order of a map.
func (in *Inbound) before(other *Inbound) bool {
	if !in.Started.Equal(other.Started) {
		return in.Started.Before(other.Started)
	}
	return bytes.Compare(in.ID[:], other.ID[:]) < 0
}

// lasts reports whether the attempt lasts until the deadline of a call.
func (in *Inbound) lasts(deadline time.Time) bool {
	return deadline.Sub(in.UpstreamDeadline) <= adoptLate
}
