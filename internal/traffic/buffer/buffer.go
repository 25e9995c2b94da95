// Package buffer bounds the memory that is taken by data of other processes while it is read.
//
// The load pattern is a faulty process that sends without end, quickly or slowly, on as many
// connections as it is given. A bound for each message does not help: it must allow for the
// largest message, and the sum over all connections exceeds the memory of the VM. A Budget
// bounds the sum. When it is used up, the largest message is given up, which is the one that
// has been sent without end for longest, so that short ones are still read beside it.
//
// A second load pattern is clients that send many requests ahead and don't read the answers, or
// whose requests take far more memory than their bytes. So a Budget also counts whole requests
// and answers, by connection; see Ledger.
package buffer

import (
	"sync"
	"time"

	"github.com/pkg/errors"
)

// ErrNoMemory is returned when a message is given up because the budget is used up.
var ErrNoMemory = errors.New("buffer: no memory for the message")

// Reader is what reads a message.
type Reader interface {
	// Abort makes a read in progress fail. It does not wait, and may be called repeatedly.
	Abort()
}

// Canceller is a Reader that can also give up whole requests and answers.
type Canceller interface {
	// Cancel cancels the requests that run, or closes a connection whose other end does not
	// read. It does not wait.
	Cancel()
}

// maxWait bounds the time for which Grow and GrowKept wait for memory on its way back. Aborted
// reads return theirs at once, but a request that was cancelled may go on.
const maxWait = time.Second

// Budget bounds the total size of the reservations that are held. It is safe for concurrent
// use.
type Budget struct {
	mu     sync.Mutex
	ledger *Ledger
	// released is signalled when memory is returned.
	released *sync.Cond
	// waiting is the size of the answers that wait in GrowKept. They are in memory already.
	waiting int64
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget {
	bb := &Budget{ledger: NewLedger(limit)}
	bb.released = sync.NewCond(&bb.mu)
	return bb
}

// Used returns the total size of the reservations in bytes.
func (bb *Budget) Used() int64 {
	bb.mu.Lock()
	defer bb.mu.Unlock()
	return bb.ledger.Used()
}

// Reservation is the memory of one connection or message. Its zero value is not usable; call
// Init.
type Reservation struct {
	budget *Budget
	reader Reader
	// holder and closed are guarded by the lock of the budget.
	holder Holder
	closed bool
}

// Init prepares a reservation of no bytes for a message that the reader reads.
func (rs *Reservation) Init(bb *Budget, rd Reader) {
	rs.budget, rs.reader, rs.holder.owner = bb, rd, rs
}

// Grow adds bytes to what is being read. If the budget does not suffice, it evicts the largest
// reservations and waits until they are released. It returns ErrNoMemory if this reservation
// would be the largest one, or was evicted. Reservations of equal size are not evicted for one
// another.
func (rs *Reservation) Grow(bytes int64) error {
	bb := rs.budget
	bb.mu.Lock()
	defer bb.mu.Unlock()
	if !rs.charge(Reading, bytes) {
		bb.ledger.Abort(&rs.holder)
		return ErrNoMemory
	}
	return nil
}

// GrowKept adds bytes to what is kept, as Grow does, and returns ErrNoMemory if there is no memory
// for it. What was kept before is not affected. As the bytes are in memory already, only as many of
// them wait as the reserve has.
func (rs *Reservation) GrowKept(bytes int64) error {
	bb := rs.budget
	bb.mu.Lock()
	defer bb.mu.Unlock()
	if !rs.charge(Kept, bytes) {
		return ErrNoMemory
	}
	return nil
}

// TryGrowKept is GrowKept without a wait. Memory on its way back serves later calls.
func (rs *Reservation) TryGrowKept(bytes int64) error {
	bb := rs.budget
	bb.mu.Lock()
	defer bb.mu.Unlock()
	dec, vi := bb.ledger.Charge(&rs.holder, Kept, bytes)
	bb.notify(vi)
	if dec != Granted {
		return ErrNoMemory
	}
	return nil
}

// charge charges bytes. The lock is held.
func (rs *Reservation) charge(part Part, bytes int64) bool {
	bb := rs.budget
	dec, vi := bb.ledger.Charge(&rs.holder, part, bytes)
	if dec != Wait {
		return dec == Granted
	}
	if part == Kept {
		if bb.waiting+bytes > bb.ledger.reserve {
			bb.notify(vi)
			return false
		}
		bb.waiting += bytes
		defer func() { bb.waiting -= bytes }()
	}
	return rs.chargeLater(vi, part, bytes)
}

// notify tells a victim, if there is one, to give up memory. The lock is held.
func (bb *Budget) notify(vi Victim) {
	if vi.Holder == nil {
		return
	}
	vi.Holder.owner.evicted(vi)
	// Others may wait that are evicted now.
	bb.released.Broadcast()
}

// chargeLater charges bytes once memory that is on its way back has been returned. It is apart from
// charge, so that a charge without a wait allocates nothing. The lock is held.
func (rs *Reservation) chargeLater(vi Victim, part Part, bytes int64) bool {
	bb := rs.budget
	expired := false
	timer := time.AfterFunc(maxWait, func() {
		bb.mu.Lock()
		defer bb.mu.Unlock()
		expired = true
		bb.released.Broadcast()
	})
	defer timer.Stop()
	for {
		bb.notify(vi)
		if expired {
			return false
		}
		bb.released.Wait()
		var dec Decision
		if dec, vi = bb.ledger.Charge(&rs.holder, part, bytes); dec != Wait {
			return dec == Granted
		}
	}
}

// evicted tells the reader to give up memory. The lock of the budget is held.
func (rs *Reservation) evicted(vi Victim) {
	if vi.Abort {
		rs.reader.Abort()
	}
	if ca, ok := rs.reader.(Canceller); ok && vi.Cancel {
		ca.Cancel()
	}
}

// Evicted reports whether the message that is being read must be given up.
func (rs *Reservation) Evicted() bool {
	rs.budget.mu.Lock()
	defer rs.budget.mu.Unlock()
	return rs.holder.aborted
}

// Release returns what is being read to the budget. Later calls have no effect.
func (rs *Reservation) Release() {
	bb := rs.budget
	bb.mu.Lock()
	defer bb.mu.Unlock()
	if rs.holder.reading == 0 {
		return
	}
	bb.ledger.ReleaseReading(&rs.holder)
	bb.released.Broadcast()
}

// Keep keeps up to bytes of what was read, returns the rest to the budget, and returns how much is
// kept.
func (rs *Reservation) Keep(bytes int64) int64 {
	bb := rs.budget
	bb.mu.Lock()
	defer bb.mu.Unlock()
	kept := bb.ledger.Keep(&rs.holder, bytes)
	bb.released.Broadcast()
	return kept
}

// Drop returns bytes of what is kept to the budget.
func (rs *Reservation) Drop(bytes int64) {
	if bytes == 0 {
		return
	}
	bb := rs.budget
	bb.mu.Lock()
	defer bb.mu.Unlock()
	bb.ledger.Release(&rs.holder, Kept, bytes)
	bb.released.Broadcast()
}

// Held returns the size of the reservation in bytes.
func (rs *Reservation) Held() int64 {
	rs.budget.mu.Lock()
	defer rs.budget.mu.Unlock()
	return rs.holder.total()
}

// SetStalled says whether the other end has stopped reading its answers.
func (rs *Reservation) SetStalled(stalled bool) {
	rs.budget.mu.Lock()
	defer rs.budget.mu.Unlock()
	rs.budget.ledger.SetStalled(&rs.holder, stalled)
}

// AwaitShare waits until the connection keeps no more than its share of the budget, so that
// another request may be read. It returns false after Close.
func (rs *Reservation) AwaitShare() bool {
	bb := rs.budget
	bb.mu.Lock()
	defer bb.mu.Unlock()
	for !rs.closed && !bb.ledger.MayRead(&rs.holder) {
		bb.released.Wait()
	}
	return !rs.closed
}

// Close ends the waits of AwaitShare. What is reserved stays so until it is returned.
func (rs *Reservation) Close() {
	rs.budget.mu.Lock()
	defer rs.budget.mu.Unlock()
	rs.closed = true
	rs.budget.released.Broadcast()
}
