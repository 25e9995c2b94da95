package control

import (
	"sync"
	"time"

	"camphortrail/quorum"
	"camphortrail/schema"
)

// answer is what became of a proposal.
type answer interface{ answer() }

// decided answers a configuration that was committed.
type decided struct{ response *schema.ApplyResponse }

// claimed answers claims that were committed.
type claimed struct{ results []*schema.ClaimResult }

// rejection answers a proposal that was not committed as far as is known.
type rejection struct {
	err    error
	leader quorum.Replica
}

func (decided) answer()   {}
func (claimed) answer()   {}
func (rejection) answer() {}

// waiter is a request that waits for its proposal.
type waiter struct {
	began  time.Time
	answer chan answer
}

// waiters holds the requests that wait. The ring of proposals and the bound
// on uncommitted data limit their number.
type waiters struct {
	mu     sync.Mutex
	last   quorum.Proposal
	open   map[quorum.Proposal]waiter
	closed bool
}

func newWaiters() *waiters { return &waiters{open: make(map[quorum.Proposal]waiter)} }

func (wa *waiters) add() (quorum.Proposal, waiter) {
	wa.mu.Lock()
	defer wa.mu.Unlock()
	wa.last++
	wt := waiter{began: time.Now(), answer: make(chan answer, 1)}
	if wa.closed {
		wt.answer <- rejection{err: quorum.ErrNotLeader}
	} else {
		wa.open[wa.last] = wt
	}
	return wa.last, wt
}

func (wa *waiters) remove(pr quorum.Proposal) {
	wa.mu.Lock()
	defer wa.mu.Unlock()
	delete(wa.open, pr)
}

func (wa *waiters) answer(pr quorum.Proposal, an answer) {
	wa.mu.Lock()
	defer wa.mu.Unlock()
	if wt, ok := wa.open[pr]; ok {
		wt.answer <- an
		delete(wa.open, pr)
	}
}

// close answers everything that still waits and whatever comes.
func (wa *waiters) close() {
	wa.mu.Lock()
	defer wa.mu.Unlock()
	wa.closed = true
	for _, wt := range wa.open {
		wt.answer <- rejection{err: quorum.ErrOutcomeUnknown}
	}
	clear(wa.open)
}
