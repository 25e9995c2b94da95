// Package inflight counts work in flight, so that a stop can wait for it.
package inflight

import (
	"context"
	"sync/atomic"
	"time"
)

const checkInterval = 5 * time.Millisecond

// Counter counts work in flight. It is safe for concurrent use; the zero value
// counts nothing yet.
type Counter struct{ n atomic.Int64 }

// Enter counts one more.
func (ct *Counter) Enter() { ct.n.Add(1) }

// Exit counts one less.
func (ct *Counter) Exit() { ct.n.Add(-1) }

// Len returns the number in flight.
func (ct *Counter) Len() int { return int(ct.n.Load()) }

// Wait waits until nothing is in flight, or until ctx ends.
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
