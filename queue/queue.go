// Package queue provides bounded queues that join the goroutines of a
// process. A full ring refuses instead of blocking the sender.
package queue

import "context"

// Queue is a bounded first-in-first-out queue, safe for concurrent use by
// many senders and receivers.
type Queue[T any] struct {
	slots chan T
}

// New returns a ring that holds up to capacity values.
func New[T any](capacity int) *Queue[T] {
	return &Queue[T]{slots: make(chan T, capacity)}
}

// Offer adds v and reports whether there was room for it. It never blocks.
func (qu *Queue[T]) Offer(v T) bool {
	select {
	case qu.slots <- v:
		return true
	default:
		return false
	}
}

// Put adds v, and waits for room until ctx ends.
func (qu *Queue[T]) Put(ctx context.Context, v T) error {
	select {
	case qu.slots <- v:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Take removes the oldest value, and waits for one until ctx ends.
func (qu *Queue[T]) Take(ctx context.Context) (T, error) {
	select {
	case v := <-qu.slots:
		return v, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// Out returns the receiving end, for use in a select statement.
func (qu *Queue[T]) Out() <-chan T { return qu.slots }

// Len returns the number of values held.
func (qu *Queue[T]) Len() int { return len(qu.slots) }
