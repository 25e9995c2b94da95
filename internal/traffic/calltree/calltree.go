// Package calltree keeps, on one node, the call trees that pass through it: the
// attempts that run on the upstream beside the node, whose calls come back to
// the same node, and the retry accounts of both.
package calltree

import (
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
	callers map[call.Class]*caller
	// chains holds those with an open call by its connection, and waiting those
	// that were answered a moment ago, oldest first.
	chains  map[string]*chain
	met     map[call.Class]map[call.Service]reading
	waiting []*chain
	// needs is the calls that attempts make, by kind, and busy the occupancy of the
	// services that calls went to.
	needs needs
	busy  map[call.Service]reading
}

// New returns Trees without any.
func New(lim retry.Limits) *Trees {
	return &Trees{
		ledger: retry.New(lim), inbound: make(map[call.AttemptID]*Inbound),
		origins: make(map[call.Class]*origin), callers: make(map[call.Class]*caller), chains: make(map[string]*chain),
		met:   make(map[call.Class]map[call.Service]reading),
		needs: newNeeds(), busy: make(map[call.Service]reading),
	}
}

// StepRetry applies an event to the retry ledger.
func (tr *Trees) StepRetry(now time.Time, ev retry.Event) retry.Result {
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
func (tr *Trees) Exit(now time.Time, id call.AttemptID) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if in := tr.inbound[id]; in != nil && in.Class != "" {
		tr.learn(now, in)
	}
	delete(tr.inbound, id)
}

// Inbound returns the running attempt with the given id.
func (tr *Trees) Inbound(id call.AttemptID) (*Inbound, bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	in, ok := tr.inbound[id]
	return in, ok
}

// Inbound is an attempt that runs on the upstream beside the node.
type Inbound struct {
	ID         call.AttemptID
	Request    call.RequestID
	Importance call.Importance
	Depth      call.Depth
	Deadline   time.Time
	// Class is the kind of the request, if known.
	Class call.Class
	// Label is the id by which the sender of the request knows it.
	Label string
	// Started is when the upstream was sent the attempt, and UpstreamDeadline the deadline
	// that it was told, by its rounding.
	Started, UpstreamDeadline time.Time
	// called says that a call of the attempt was recognised. The lock of
	// Trees guards it.
	called bool
	// made is the calls that were found to be its own. The lock of Trees guards it.
	made []made
	// ended says that it makes no more calls, and gaveUp that it did not come through.
	ended, gaveUp bool

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

// DownstreamWait returns the time in which the upstream waited for at least one
// call, and whether any call failed because work was refused for load.
func (in *Inbound) DownstreamWait(now time.Time) (waited time.Duration, overload bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	waited = in.waited
	if in.calls > 0 {
		waited += now.Sub(in.since)
	}
	return waited, in.overload
}
