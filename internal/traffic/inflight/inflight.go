// Package inflight counts work in flight, so that a shutdown can wait for it.
package inflight

import (
	"context"
	"sync/atomic"
	"time"
)

// checkInterval is the interval at which Wait reads the counter.
const checkInterval = 5 * time.Millisecond

// Counter counts work in flight. It is safe for concurrent use; the zero value is ready
// to use.
type Counter struct{ n atomic.Int64 }

// Enter adds one to the work in flight.
func (ct *Counter) Enter() { ct.n.Add(1) }

// Exit subtracts one from the work in flight.
func (ct *Counter) Exit() { ct.n.Add(-1) }

// Len returns the amount of work in flight.
func (ct *Counter) Len() int { return int(ct.n.Load()) }

// Wait waits until nothing is in flight, or until ctx ends, and then returns its error.
func (ct *Counter) Wait(ctx context.Context) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for ct.n.Load() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}
