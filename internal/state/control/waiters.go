package control

import (
	"sync"
	"time"

	"camphortrail/quorum"
	"camphortrail/schema"
)

// proposalResult is the result of a proposal.
type proposalResult interface{ proposalResult() }

// configurationResult is the result of a committed configuration.
type configurationResult struct{ response *schema.ApplyResponse }

// claimResults are the results of a committed batch of claim operations.
type claimResults struct{ results []*schema.ClaimResult }

// rejection is the result of a proposal that was not committed or, if err is
// quorum.ErrOutcomeUnknown, may or may not be committed.
type rejection struct {
	err    error
	leader quorum.Replica
}

func (configurationResult) proposalResult() {}
func (claimResults) proposalResult()        {}
func (rejection) proposalResult()           {}

// waiter is a request that waits for the result of its proposal.
type waiter struct {
	start  time.Time
	result chan proposalResult
}

// waiters holds the waiting requests by proposal. Their number is limited by the queue of
// proposals and the bound on uncommitted data.
type waiters struct {
	mu      sync.Mutex
	last    quorum.Proposal
	waiting map[quorum.Proposal]waiter
	closed  bool
}

func newWaiters() *waiters { return &waiters{waiting: make(map[quorum.Proposal]waiter)} }

// add adds a waiter under a new proposal number. After close, the waiter is rejected with
// quorum.ErrNotLeader.
func (wa *waiters) add() (quorum.Proposal, waiter) {
	wa.mu.Lock()
	defer wa.mu.Unlock()
	wa.last++
	wt := waiter{start: time.Now(), result: make(chan proposalResult, 1)}
	if wa.closed {
		wt.result <- rejection{err: quorum.ErrNotLeader}
	} else {
		wa.waiting[wa.last] = wt
	}
	return wa.last, wt
}

// remove removes a waiter whose request does not wait any more.
func (wa *waiters) remove(pr quorum.Proposal) {
	wa.mu.Lock()
	defer wa.mu.Unlock()
	delete(wa.waiting, pr)
}

// resolve passes a result to the waiter of the proposal, if there is one.
func (wa *waiters) resolve(pr quorum.Proposal, rs proposalResult) {
	wa.mu.Lock()
	defer wa.mu.Unlock()
	if wt, ok := wa.waiting[pr]; ok {
		wt.result <- rs
		delete(wa.waiting, pr)
	}
}

// close rejects all current waiters with quorum.ErrOutcomeUnknown, because their proposals
// may still be committed. add rejects every later waiter.
func (wa *waiters) close() {
	wa.mu.Lock()
	defer wa.mu.Unlock()
	wa.closed = true
	for _, wt := range wa.waiting {
		wt.result <- rejection{err: quorum.ErrOutcomeUnknown}
	}
	clear(wa.waiting)
}
