package link

import "sync/atomic"

// freeQueueBytes is the part of the send queue of a link that needs no quota. Frames are written at
// once as a rule, so that the queue stays shorter.
const freeQueueBytes = 64 << 10

// Quota bounds the sum of the send queues of several links, whose peers may not read. It is safe
// for concurrent use. A nil Quota has no bound.
type Quota struct {
	limit int64
	used  atomic.Int64
}

// NewQuota returns a quota of limit bytes.
func NewQuota(limit int64) *Quota { return &Quota{limit: limit} }

// Used returns the bytes that are taken.
func (qt *Quota) Used() int64 { return qt.used.Load() }

// take takes bytes and reports whether the limit allows it.
func (qt *Quota) take(bytes int64) bool {
	if qt == nil {
		return true
	}
	if qt.used.Add(bytes) > qt.limit {
		qt.used.Add(-bytes)
		return false
	}
	return true
}

// give returns bytes that were taken.
func (qt *Quota) give(bytes int64) {
	if qt != nil && bytes > 0 {
		qt.used.Add(-bytes)
	}
}

// SetQuota makes the send queue beyond freeQueueBytes count against a quota. It must be called
// before the first Send.
func (lk *Link) SetQuota(qt *Quota) {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	lk.quota = qt
}

// queued returns the bytes of the queue, with those that are being written. lk.mu must be held.
func (lk *Link) queued() int { return len(lk.unsent) + lk.large.bytes + lk.writing }

// bounded returns the part of queued that counts against the bounds of the queue. lk.mu must be
// held.
func (lk *Link) bounded() int { return len(lk.unsent) + lk.large.bounded() + lk.writing }

// reserve takes the quota for length more bytes in the queue, or returns ErrFull. A single frame is
// always queued, as it may be longer than the quota, and small frames go between its pieces. lk.mu
// must be held.
func (lk *Link) reserve(length int) error {
	more := int64(max(0, lk.bounded()+length-freeQueueBytes)) - lk.quotaTaken
	if more <= 0 || lk.queued() == 0 {
		return nil
	}
	if !lk.quota.take(more) {
		return ErrFull
	}
	lk.quotaTaken += more
	return nil
}

// returnQuota returns what a shorter queue does not take any more. lk.mu must be held.
func (lk *Link) returnQuota() {
	if unused := lk.quotaTaken - int64(max(0, lk.bounded()-freeQueueBytes)); unused > 0 {
		lk.quota.give(unused)
		lk.quotaTaken -= unused
	}
}
