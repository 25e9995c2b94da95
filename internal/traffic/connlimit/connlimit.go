// Package connlimit bounds the connections of an http.Server. Other processes may open connections
// and leave them, or send heads of requests that take far more memory than their bytes.
package connlimit

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// DefaultMax is the number of connections of an address for reports or operators. Each upstream
// and operator uses a few.
const DefaultMax = 64

// idleTimeout is the time after which an idle connection is closed.
const idleTimeout = time.Minute

// limiter knows the connections of a server.
type limiter struct {
	most int

	mu sync.Mutex
	// since holds the time at which a connection was opened or its last request answered.
	since map[net.Conn]time.Time
}

// Limit bounds the connections of a server, which must not serve yet. A new connection above the
// bound closes the one whose last request was answered earliest, or that was opened earliest if it
// has sent none. Requests to these servers are short, and are sent again if they fail.
func Limit(sv *http.Server, most int) {
	lm := &limiter{most: most, since: make(map[net.Conn]time.Time)}
	sv.IdleTimeout = idleTimeout
	sv.ConnState = lm.changed
}

// changed records the state of a connection. A connection is active from the first byte of a head,
// which may never be whole, so that this state does not protect it.
func (lm *limiter) changed(nc net.Conn, state http.ConnState) {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	switch state {
	case http.StateNew:
		lm.since[nc] = time.Now()
		lm.closeExcess()
	case http.StateIdle:
		lm.since[nc] = time.Now()
	case http.StateActive:
	case http.StateHijacked, http.StateClosed:
		delete(lm.since, nc)
	}
}

// closeExcess closes the connection that has been open or idle for longest while there are too
// many. The lock is held.
func (lm *limiter) closeExcess() {
	for len(lm.since) > lm.most {
		var longest net.Conn
		var oldest time.Time
		for nc, since := range lm.since {
			if longest == nil || since.Before(oldest) {
				longest, oldest = nc, since
			}
		}
		delete(lm.since, longest)
		_ = longest.Close()
	}
}
