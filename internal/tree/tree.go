// Package tree keeps, on one node, the call trees that pass through it: the
// attempts that run on the upstream beside the node, whose calls come back to
// the same node, and the retry accounts of both.
package tree

import (
	"maps"
	"sync"
	"time"

	"camphortrail/call"
	"camphortrail/retry"
)

// Trees holds the call trees of one node. It is safe for concurrent use.
type Trees struct {
	mu      sync.Mutex
	ledger  *retry.Ledger
	inbound map[call.AttemptID]*Inbound
	origins map[call.Class]*origin
}

// New returns Trees without any.
func New(lim retry.Limits) *Trees {
	return &Trees{ledger: retry.New(lim), inbound: make(map[call.AttemptID]*Inbound), origins: make(map[call.Class]*origin)}
}

// Step applies an event to the retry ledger.
func (tr *Trees) Step(now time.Time, ev retry.Event) retry.Result {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.ledger.Step(now, ev)
}

// Enter registers an attempt that is about to run on the upstream.
func (tr *Trees) Enter(in *Inbound) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.inbound[in.ID] = in
}

// Exit removes an attempt that has ended.
func (tr *Trees) Exit(id call.AttemptID) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	delete(tr.inbound, id)
}

// Inbound returns the running attempt with the given id.
func (tr *Trees) Inbound(id call.AttemptID) (*Inbound, bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	in, ok := tr.inbound[id]
	return in, ok
}

const (
	// adoptEarly and adoptLate are how much a call's deadline may differ from
	// the one that its parent was told: both are rounded to milliseconds, and
	// it is read from the time at which the call is read.
	adoptEarly = 3 * time.Millisecond
	adoptLate  = 6 * time.Millisecond
	// originSamples is the number of requests of a kind after which older ones
	// count half, and minOriginSamples that before which nothing is concluded.
	originSamples    = 128
	minOriginSamples = 16
	// callerShare is the part of the requests of a kind, 1 in so many, that
	// must outlast all running attempts if callers send them. The calls of an
	// attempt that was just given up do so too, but are few.
	callerShare = 8
)

// origin counts the requests of a kind, and those that no running attempt can
// have made as they outlast it.
type origin struct{ seen, outlasting int }

// IsCall reports whether requests of the kind are calls that upstreams make. A
// call does not outlast its parent, while a request that a caller sends now
// outlasts those sent before. Requests of a kind that is not known yet count as
// calls.
func (tr *Trees) IsCall(kind call.Class, deadline time.Time) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	or := tr.origins[kind]
	if or == nil {
		or = new(origin)
		tr.origins[kind] = or
	}
	if or.seen >= originSamples {
		or.seen, or.outlasting = or.seen/2, or.outlasting/2
	}
	or.seen++
	if !tr.covers(deadline) {
		or.outlasting++
	}
	return or.seen < minOriginSamples || or.outlasting*callerShare < or.seen
}

// covers reports whether a running attempt lasts until the deadline. The lock is
// held.
func (tr *Trees) covers(deadline time.Time) bool {
	for _, in := range tr.inbound {
		if deadline.Sub(in.Told) <= adoptLate {
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
}

// Adopt returns the running attempt whose upstream makes a call, for upstreams
// that do not name the parents of their calls. A call expires with its parent,
// or earlier when the longest time for its kind is over since the parent began.
// So the attempt is the one whose calls expire nearest to the deadline, if one
// does near enough.
func (tr *Trees) Adopt(longest time.Duration, deadline time.Time) (*Inbound, bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	var nearest *Inbound
	var apart time.Duration
	for _, in := range tr.inbound {
		late := deadline.Sub(in.expiry(longest))
		if late < -adoptEarly || late > adoptLate {
			continue
		}
		if nearest == nil || late.Abs() < apart {
			nearest, apart = in, late.Abs()
		}
	}
	return nearest, nearest != nil
}

// expiry returns when the calls of the attempt expire that may take the given
// time at the longest.
func (in *Inbound) expiry(longest time.Duration) time.Time {
	if own := in.Started.Add(longest); own.Before(in.Told) {
		return own
	}
	return in.Told
}

// Inbound is an attempt that runs on the upstream beside the node.
type Inbound struct {
	ID         call.AttemptID
	Request    call.RequestID
	Importance call.Importance
	Depth      call.Depth
	Deadline   time.Time
	// Label is the id by which the sender of the request knows it.
	Label string
	// Started is when the upstream was sent the attempt, and Told the deadline
	// that it was told, by its rounding.
	Started, Told time.Time

	mu       sync.Mutex
	calls    int
	since    time.Time
	waited   time.Duration
	overload bool
}

// BeginCall notes that the upstream waits for a call of its own.
func (in *Inbound) BeginCall(now time.Time) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.calls == 0 {
		in.since = now
	}
	in.calls++
}

// EndCall notes that a call has ended, and whether it failed because work was
// refused for load.
func (in *Inbound) EndCall(now time.Time, overload bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.calls--
	if in.calls == 0 {
		in.waited += now.Sub(in.since)
	}
	in.overload = in.overload || overload
}

// Downstream returns the time in which the upstream waited for at least one
// call, and whether any call failed because work was refused for load.
func (in *Inbound) Downstream(now time.Time) (waited time.Duration, overload bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	waited = in.waited
	if in.calls > 0 {
		waited += now.Sub(in.since)
	}
	return waited, in.overload
}
