// Package expiry provides priority queues that order the entries of tables by the time at
// which they expire.
package expiry

import (
	"container/heap"
	"time"
)

// Item is the handle of an entry in a Queue, usually a field of the entry. The zero Item is in
// no queue. An Item must not be in two queues.
type Item[T any] struct {
	Value T

	at time.Time
	// position is the index in the heap plus one, or zero if the item is in no queue.
	position int
}

// Queue is a priority queue of items by time, implemented as a binary heap. The zero Queue is
// empty. It is not safe for concurrent use.
type Queue[T any] struct {
	items items[T]
}

// Len returns the number of items.
func (qu *Queue[T]) Len() int { return len(qu.items) }

// Set adds it to the queue with the time at, or changes its time if it is in the queue.
func (qu *Queue[T]) Set(it *Item[T], at time.Time) {
	it.at = at
	if it.position > 0 {
		heap.Fix(&qu.items, it.position-1)
		return
	}
	heap.Push(&qu.items, it)
}

// Remove removes it from the queue, if it is in the queue.
func (qu *Queue[T]) Remove(it *Item[T]) {
	if it.position > 0 {
		heap.Remove(&qu.items, it.position-1)
	}
}

// NextTime returns the earliest time in the queue, or false if the queue is empty.
func (qu *Queue[T]) NextTime() (time.Time, bool) {
	if len(qu.items) == 0 {
		return time.Time{}, false
	}
	return qu.items[0].at, true
}

// Pop removes the item with the earliest time and returns its value, or false if the queue is
// empty.
func (qu *Queue[T]) Pop() (T, bool) {
	if len(qu.items) == 0 {
		var zero T
		return zero, false
	}
	return heap.Pop(&qu.items).(*Item[T]).Value, true
}

// PopBefore is like Pop, but returns false if the earliest time is after now.
func (qu *Queue[T]) PopBefore(now time.Time) (T, bool) {
	if len(qu.items) == 0 || qu.items[0].at.After(now) {
		var zero T
		return zero, false
	}
	return qu.Pop()
}

// items implements heap.Interface.
type items[T any] []*Item[T]

func (its items[T]) Len() int           { return len(its) }
func (its items[T]) Less(i, j int) bool { return its[i].at.Before(its[j].at) }

func (its items[T]) Swap(i, j int) {
	its[i], its[j] = its[j], its[i]
	its[i].position, its[j].position = i+1, j+1
}

func (its *items[T]) Push(v any) {
	it := v.(*Item[T])
	*its = append(*its, it)
	it.position = len(*its)
}

func (its *items[T]) Pop() any {
	last := len(*its) - 1
	it := (*its)[last]
	(*its)[last] = nil
	*its = (*its)[:last]
	it.position = 0
	return it
}
