package expiry

import "time"

// KeyQueue orders keys by a time, the earliest first. Unlike a Queue it holds no pointers,
// if the keys hold none, so that many keys are no work for the collector; and a key
// cannot be moved or taken out before its turn. The zero KeyQueue is empty. It is not safe
// for concurrent use.
type KeyQueue[K any] struct{ heap []timedKey[K] }

type timedKey[K any] struct {
	at  time.Duration
	key K
}

// Len returns the number of keys.
func (ks *KeyQueue[K]) Len() int { return len(ks.heap) }

// First returns the key with the earliest time, and that.
func (ks *KeyQueue[K]) First() (key K, at time.Duration, ok bool) {
	if len(ks.heap) == 0 {
		return key, 0, false
	}
	return ks.heap[0].key, ks.heap[0].at, true
}

// Push adds a key.
func (ks *KeyQueue[K]) Push(key K, at time.Duration) {
	ks.heap = append(ks.heap, timedKey[K]{at, key})
	place := len(ks.heap) - 1
	for place > 0 {
		up := (place - 1) / 2
		if ks.heap[up].at <= at {
			break
		}
		ks.heap[place] = ks.heap[up]
		place = up
	}
	ks.heap[place] = timedKey[K]{at, key}
}

// Pop takes the key with the earliest time out.
func (ks *KeyQueue[K]) Pop() {
	end := len(ks.heap) - 1
	if end < 0 {
		return
	}
	last := ks.heap[end]
	ks.heap = ks.heap[:end]
	if end == 0 {
		return
	}
	place := 0
	for {
		down := 2*place + 1
		if down >= end {
			break
		}
		if down+1 < end && ks.heap[down+1].at < ks.heap[down].at {
			down++
		}
		if ks.heap[down].at >= last.at {
			break
		}
		ks.heap[place] = ks.heap[down]
		place = down
	}
	ks.heap[place] = last
}
