package buffer

import "sync"

// Scope keeps reservations until the data that they stand for is charged to another budget, or
// dropped. Without it, data that waits between two budgets would be in neither. The zero Scope is ready
// to use. It is safe for concurrent use.
type Scope struct {
	mu    sync.Mutex
	held  []*Reservation
	ended bool
}

// Hold keeps a reservation until End is called. After that, it releases the reservation at once.
func (sc *Scope) Hold(rs *Reservation) {
	sc.mu.Lock()
	ended := sc.ended
	if !ended {
		sc.held = append(sc.held, rs)
	}
	sc.mu.Unlock()
	if ended {
		rs.Release()
	}
}

// End releases all reservations.
func (sc *Scope) End() {
	sc.mu.Lock()
	held := sc.held
	sc.held, sc.ended = nil, true
	sc.mu.Unlock()
	for _, rs := range held {
		rs.Release()
	}
}
