package control

import (
	"sync"
	"time"

	"camphortrail/quorum"
	"camphortrail/schema"
)

// proposalResult is what became of a proposal.
type proposalResult interface{ answer() }

// configurationResult answers a configuration that was committed.
type configurationResult struct{ response *schema.ApplyResponse }

// claimResults answers claims that were committed.
type claimResults struct{ results []*schema.ClaimResult }

// rejection answers a proposal that was not committed as far as is known.
type rejection struct {
	err    error
	leader quorum.Replica
}

func (configurationResult) answer() {}
func (claimResults) answer()        {}
func (rejection) answer()           {}

// waiter is a request that waits for its proposal.
type waiter struct {
	began  time.Time
	result chan proposalResult
}

// waiters holds the requests that wait. The ring of proposals and the bound
// on uncommitted data limit their number.
type waiters struct {
	mu      sync.Mutex
	last    quorum.Proposal
	waiting map[quorum.Proposal]waiter
	closed  bool
}

func newWaiters() *waiters { return &waiters{waiting: make(map[quorum.Proposal]waiter)} }

func (wa *waiters) add() (quorum.Proposal, waiter) {
	wa.mu.Lock()
	defer wa.mu.Unlock()
	wa.last++
	wt := waiter{began: time.Now(), result: make(chan proposalResult, 1)}
	if wa.closed {
		wt.result <- rejection{err: quorum.ErrNotLeader}
	} else {
		wa.waiting[wa.last] = wt
	}
	return wa.last, wt
}

func (wa *waiters) remove(pr quorum.Proposal) {
	wa.mu.Lock()
	defer wa.mu.Unlock()
	delete(wa.waiting, pr)
}

func (wa *waiters) resolve(pr quorum.Proposal, an proposalResult) {
	wa.mu.Lock()
	defer wa.mu.Unlock()
	if wt, ok := wa.waiting[pr]; ok {
		wt.result <- an
		delete(wa.waiting, pr)
	}
}

// close answers everything that still waits and whatever comes.
func (wa *waiters) close() {
	wa.mu.Lock()
	defer wa.mu.Unlock()
	wa.closed = true
	for _, wt := range wa.waiting {
		wt.result <- rejection{err: quorum.ErrOutcomeUnknown}
	}
	clear(wa.waiting)
}
