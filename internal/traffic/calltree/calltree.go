// Package calltree tracks, on one node, the call trees that pass through it: the attempts
// that run on the upstream beside the node, the calls that these attempts make through
// the same node, and the retry ledger of both.
package calltree

import (
	"sync"
	"time"

	"camphortrail/call"
	"camphortrail/retry"
)

// Trees tracks the call trees of one node. It is safe for concurrent use.
type Trees struct {
	mu      sync.Mutex
	ledger  *retry.Ledger
	inbound map[call.AttemptID]*Inbound
	origins map[call.Class]*requestOrigin
	// connections tells which connections are those of callers.
	connections connectionOrigins
	patterns    map[call.Class]*callPattern
	// starts counts the starts of attempts, which do not depend on the calls of others.
	starts coincidence
	// chains holds the chains with an unanswered call by the connection of that call.
	chains map[string]*chain
	// observed is the occupancy that the calls of attempts met, by class of the attempt
	// and called service.
	observed map[call.Class]map[call.Service]reading
	// answered holds the chains whose last call was answered within maxChainGap, oldest
	// first.
	answered []*chain
	// fanOuts estimates the calls that attempts make, by class, and occupancies is the
	// last reported occupancy of the services in their trees.
	fanOuts     fanOutEstimator
	occupancies map[call.Service]reading
}

// New returns Trees without any attempt.
func New(lim retry.Limits) *Trees {
	return &Trees{
		ledger: retry.New(lim), inbound: make(map[call.AttemptID]*Inbound),
		origins: make(map[call.Class]*requestOrigin), patterns: make(map[call.Class]*callPattern), chains: make(map[string]*chain),
		observed: make(map[call.Class]map[call.Service]reading),
		fanOuts:  newFanOutEstimator(), occupancies: make(map[call.Service]reading),
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
	tr.dropExpired(in.Started)
	tr.starts.add(len(tr.answered) > 0)
}

// Exit removes an attempt that has ended, and learns from its calls.
func (tr *Trees) Exit(now time.Time, id call.AttemptID) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if in := tr.inbound[id]; in != nil && in.Class != "" {
		tr.assignChain(now, in)
	}
	delete(tr.inbound, id)
}

// SentAgain records that the upstream refused an attempt without running it, and gets it again
// now.
func (tr *Trees) SentAgain(now time.Time, in *Inbound) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	in.Started, in.UpstreamDeadline = now, now.Add(in.Deadline.Sub(now).Truncate(time.Millisecond))
}

// Running reports whether an attempt runs on the upstream.
func (tr *Trees) Running() bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return len(tr.inbound) > 0
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
	// Class is the class of the request, or empty if it is not known.
	Class call.Class
	// Customer is the customer of the request, or empty.
	Customer call.Customer
	// CallsDone is the number of calls that the attempts above this one have completed.
	CallsDone int
	// Label is the id by which the sender identifies the request.
	Label string
	// Started is when the attempt was sent to the upstream. UpstreamDeadline is the
	// deadline that was sent with it, which is rounded.
	Started, UpstreamDeadline time.Time
	// hasCalled says that a call was attributed to the attempt. The lock of Trees guards
	// it.
	hasCalled bool
	// made is the number of calls attributed to the attempt. The lock of Trees guards it.
	made []calleeCount
	// ended says that the attempt makes no more calls, and abandoned that it ended
	// without success. The lock of Trees guards both.
	ended, abandoned bool

	mu sync.Mutex
	// openCalls is the number of calls without an answer, and waitingSince the time at
	// which the first of them began. waited is the total time of earlier periods with open
	// calls. failures holds the reasons for which calls failed.
	openCalls    int
	waitingSince time.Time
	waited       time.Duration
	failures     CallFailures
	// overloaded says that a call failed under overload for another reason than UpstreamFault.
	overloaded bool
	// completed is the number of calls that brought an answer.
	completed int
}

// CallFailures says for which reasons calls failed.
type CallFailures struct {
	// Overload says that work was shed, and Unreachable that no VM of a service could be
	// reached.
	Overload, Unreachable bool
	// UpstreamFault says that upstreams with free slots refused work, and that this is the only
	// reason of Overload.
	UpstreamFault bool
}

// BeginCall records that the upstream starts to wait for a call of the attempt.
func (in *Inbound) BeginCall(now time.Time) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.openCalls == 0 {
		in.waitingSince = now
	}
	in.openCalls++
}

// EndCall records that a call has ended, and why it failed, if it did.
func (in *Inbound) EndCall(now time.Time, cf CallFailures) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.openCalls--
	if in.openCalls == 0 {
		in.waited += now.Sub(in.waitingSince)
	}
	in.failures.UpstreamFault = in.failures.UpstreamFault || cf.UpstreamFault
	in.overloaded = in.overloaded || cf.Overload && !cf.UpstreamFault
	in.failures.Overload = in.failures.Overload || cf.Overload
	in.failures.Unreachable = in.failures.Unreachable || cf.Unreachable
}

// CompleteCall records that a call has brought a successful answer.
func (in *Inbound) CompleteCall() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.completed++
}

// Completed returns the number of calls that this attempt and those above it have completed.
func (in *Inbound) Completed() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.CallsDone + in.completed
}

// DownstreamWait returns the time during which the upstream waited for at least one call,
// and the reasons for which calls failed.
func (in *Inbound) DownstreamWait(now time.Time) (waited time.Duration, cf CallFailures) {
	in.mu.Lock()
	defer in.mu.Unlock()
	waited = in.waited
	if in.openCalls > 0 {
		waited += now.Sub(in.waitingSince)
	}
	cf = in.failures
	cf.UpstreamFault = cf.UpstreamFault && !in.overloaded
	return waited, cf
}
