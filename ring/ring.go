// Package ring provides bounded queues that join the goroutines of a
// process. A full ring refuses instead of blocking the sender.
package ring

import "context"

// Ring is a bounded first-in-first-out queue, safe for concurrent use by
// many senders and receivers.
type Ring[T any] struct {
	slots chan T
}

// New returns a ring that holds up to capacity values.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{slots: make(chan T, capacity)}
}

// Offer adds v and reports whether there was room for it. It never blocks.
func (rg *Ring[T]) Offer(v T) bool {
	select {
	case rg.slots <- v:
		return true
	default:
		return false
	}
}

// Put adds v, and waits for room until ctx ends.
func (rg *Ring[T]) Put(ctx context.Context, v T) error {
	select {
	case rg.slots <- v:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Take removes the oldest value, and waits for one until ctx ends.
func (rg *Ring[T]) Take(ctx context.Context) (T, error) {
	select {
	case v := <-rg.slots:
		return v, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// Out returns the receiving end, for use in a select statement.
func (rg *Ring[T]) Out() <-chan T { return rg.slots }

// Len returns the number of values held.
func (rg *Ring[T]) Len() int { return len(rg.slots) }
