// Package queue provides bounded queues between the goroutines of a process. When a queue
// is full, Offer rejects a value instead of blocking the sender.
package queue

import "context"

// Queue is a bounded first-in-first-out queue, safe for concurrent use by many senders
// and receivers.
type Queue[T any] struct {
	values chan T
}

// New returns a queue that holds up to capacity values.
func New[T any](capacity int) *Queue[T] {
	return &Queue[T]{values: make(chan T, capacity)}
}

// Offer adds v and reports whether the queue had capacity for it. It never blocks.
func (qu *Queue[T]) Offer(v T) bool {
	select {
	case qu.values <- v:
		return true
	default:
		return false
	}
}

// Put adds v. If the queue stays full until ctx ends, it returns the error of ctx.
func (qu *Queue[T]) Put(ctx context.Context, v T) error {
	select {
	case qu.values <- v:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Take removes the oldest value. If the queue stays empty until ctx ends, it returns the
// error of ctx.
func (qu *Queue[T]) Take(ctx context.Context) (T, error) {
	select {
	case v := <-qu.values:
		return v, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// Out returns the receiving end of the queue, for use in a select statement.
func (qu *Queue[T]) Out() <-chan T { return qu.values }

// Len returns the number of values in the queue.
func (qu *Queue[T]) Len() int { return len(qu.values) }
