package upstream

import (
	"context"
	"sync"
	"time"
)

// Run bounds an exchange with an upstream. The exchange ends at the deadline, or when Abort is
// called. A Run is for one exchange. It replaces a context, whose timers and goroutines would
// be a large part of the cost of a short exchange.
type Run struct {
	// Deadline is the time at which the exchange ends.
	Deadline time.Time

	mu      sync.Mutex
	conn    *conn
	aborted bool
}

// Abort ends the exchange, or prevents it from starting. It may be called concurrently with
// Client.Do, and repeatedly.
func (rn *Run) Abort() {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	rn.aborted = true
	if rn.conn != nil {
		rn.conn.interrupt()
	}
}

// Ended reports whether the exchange was aborted or its deadline has passed.
func (rn *Run) Ended() bool {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	return rn.aborted || !time.Now().Before(rn.Deadline)
}

// attach makes Abort interrupt a connection. It returns false if the run is aborted already.
func (rn *Run) attach(cn *conn) bool {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	rn.conn = cn
	return !rn.aborted
}

// detach ends the effect of Abort on the connection. It returns false if the connection was
// interrupted.
func (rn *Run) detach() bool {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	rn.conn = nil
	return !rn.aborted
}

// dialContext returns a context for dialing, which ends at the deadline.
func (rn *Run) dialContext() (context.Context, context.CancelFunc) {
	return context.WithDeadline(context.Background(), rn.Deadline)
}
