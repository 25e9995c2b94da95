// Package buffer bounds the memory that is taken by data of other processes while it is read.
//
// The load pattern is a faulty process that sends without end, quickly or slowly, on as many
// connections as it is given. A bound for each message does not help: it must allow for the
// largest message, and the sum over all connections exceeds the memory of the VM. A Budget
// bounds the sum. When it is used up, the largest message is given up, which is the one that
// has been sent without end for longest, so that short ones are still read beside it.
package buffer

import (
	"sync"

	"github.com/pkg/errors"
)

// ErrNoMemory is returned when a message is given up because the budget is used up.
var ErrNoMemory = errors.New("buffer: no memory for the message")

// Reader is what reads a message.
type Reader interface {
	// Abort makes a read in progress fail. It does not wait, and may be called repeatedly.
	Abort()
}

// Budget bounds the total size of the reservations that are held. It is safe for concurrent
// use.
type Budget struct {
	limit int64

	mu   sync.Mutex
	used int64
	// evicted is the part of used that belongs to evicted reservations.
	evicted int64
	holders map[*Reservation]struct{}
	// released is signalled when a reservation ends.
	released *sync.Cond
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget {
	bb := &Budget{limit: limit, holders: make(map[*Reservation]struct{})}
	bb.released = sync.NewCond(&bb.mu)
	return bb
}

// Used returns the total size of the reservations in bytes.
func (bb *Budget) Used() int64 {
	bb.mu.Lock()
	defer bb.mu.Unlock()
	return bb.used
}

// Reservation is the memory of one message. Its zero value is not usable; call Init.
type Reservation struct {
	budget *Budget
	reader Reader
	// size and isEvicted are guarded by the lock of the budget.
	size      int64
	isEvicted bool
}

// Init prepares a reservation of no bytes for a message that the reader reads.
func (rs *Reservation) Init(bb *Budget, rd Reader) { rs.budget, rs.reader = bb, rd }

// Grow adds bytes to the reservation. If the budget does not suffice, it evicts the largest
// reservations and waits until they are released. It returns ErrNoMemory if this reservation
// would be the largest one, or was evicted. Reservations of equal size are not evicted for one
// another.
func (rs *Reservation) Grow(bytes int64) error {
	bb := rs.budget
	bb.mu.Lock()
	defer bb.mu.Unlock()
	for !rs.isEvicted && bb.used+bytes > bb.limit {
		if bb.used-bb.evicted+bytes > bb.limit && !bb.evictLarger(rs.size+bytes) {
			bb.evict(rs)
			break
		}
		bb.released.Wait()
	}
	if rs.isEvicted {
		return ErrNoMemory
	}
	if rs.size == 0 {
		bb.holders[rs] = struct{}{}
	}
	rs.size += bytes
	bb.used += bytes
	return nil
}

// evictLarger evicts the largest reservation if it is larger than size, and reports whether it
// did. The lock is held.
func (bb *Budget) evictLarger(size int64) bool {
	var largest *Reservation
	for rs := range bb.holders {
		if !rs.isEvicted && rs.size > size {
			largest, size = rs, rs.size
		}
	}
	if largest == nil {
		return false
	}
	bb.evict(largest)
	largest.reader.Abort()
	// Others may wait that are evicted now.
	bb.released.Broadcast()
	return true
}

// evict marks a reservation as evicted. The lock is held.
func (bb *Budget) evict(rs *Reservation) {
	rs.isEvicted = true
	bb.evicted += rs.size
}

// Evicted reports whether the message must be given up.
func (rs *Reservation) Evicted() bool {
	rs.budget.mu.Lock()
	defer rs.budget.mu.Unlock()
	return rs.isEvicted
}

// Release returns the whole reservation to the budget. Later calls have no effect.
func (rs *Reservation) Release() {
	bb := rs.budget
	bb.mu.Lock()
	defer bb.mu.Unlock()
	if rs.size == 0 {
		return
	}
	bb.used -= rs.size
	if rs.isEvicted {
		bb.evicted -= rs.size
	}
	delete(bb.holders, rs)
	rs.size = 0
	bb.released.Broadcast()
}
