package expiry

import "time"

// KeyQueue is a priority queue of keys by time, the earliest first. Unlike a Queue it contains
// no pointers if the keys contain none, so that the garbage collector need not scan it; but a
// key cannot be moved, or removed before it is the first. The zero KeyQueue is empty. It is not
// safe for concurrent use.
type KeyQueue[K any] struct{ heap []timedKey[K] }

// timedKey is a key with its time.
type timedKey[K any] struct {
	at  time.Duration
	key K
}

// Len returns the number of keys.
func (kq *KeyQueue[K]) Len() int { return len(kq.heap) }

// First returns the key with the earliest time and that time, or false if the queue is empty.
func (kq *KeyQueue[K]) First() (key K, at time.Duration, ok bool) {
	if len(kq.heap) == 0 {
		return key, 0, false
	}
	return kq.heap[0].key, kq.heap[0].at, true
}

// Push adds a key with the time at.
func (kq *KeyQueue[K]) Push(key K, at time.Duration) {
	kq.heap = append(kq.heap, timedKey[K]{at, key})
	i := len(kq.heap) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if kq.heap[parent].at <= at {
			break
		}
		kq.heap[i] = kq.heap[parent]
		i = parent
	}
	kq.heap[i] = timedKey[K]{at, key}
}

// Pop removes the key with the earliest time, if there is one.
func (kq *KeyQueue[K]) Pop() {
	end := len(kq.heap) - 1
	if end < 0 {
		return
	}
	last := kq.heap[end]
	kq.heap = kq.heap[:end]
	if end == 0 {
		return
	}
	i := 0
	for {
		child := 2*i + 1
		if child >= end {
			break
		}
		if child+1 < end && kq.heap[child+1].at < kq.heap[child].at {
			child++
		}
		if kq.heap[child].at >= last.at {
			break
		}
		kq.heap[i] = kq.heap[child]
		i = child
	}
	kq.heap[i] = last
}
