package guard

import (
	"sync"
	"time"

	"camphortrail/call"
)

const (
	// firstQueryTime is the time within which an entry asks for the attempts of a link that has ended.
	firstQueryTime = time.Second
	// nextQueryTime is the time within which it asks again: the longest interval between two queries and
	// the time that one may take (packages withdrawal and peer).
	nextQueryTime = 3 * time.Second
)

// orphans holds the attempts whose links have ended and that have no answer yet. They go on as long as
// their entries ask for them, since a lost link says nothing about the entry: another connection may
// bring it the answer. It is safe for concurrent use.
type orphans struct {
	mu       sync.Mutex
	attempts map[call.AttemptID]*orphan
}

// orphan is an attempt whose link has ended. It is cancelled when the timer fires.
type orphan struct {
	attempt *pendingAttempt
	timer   *time.Timer
}

// add adds the attempts of a link that has ended.
func (or *orphans) add(attempts map[call.AttemptID]*pendingAttempt) {
	or.mu.Lock()
	defer or.mu.Unlock()
	if or.attempts == nil {
		or.attempts = make(map[call.AttemptID]*orphan)
	}
	for id, pa := range attempts {
		or.attempts[id] = &orphan{attempt: pa, timer: time.AfterFunc(firstQueryTime, func() { or.expire(id) })}
	}
}

// asked records that the entry of an attempt asked for it.
func (or *orphans) asked(id call.AttemptID) {
	or.mu.Lock()
	defer or.mu.Unlock()
	if on := or.attempts[id]; on != nil {
		on.timer.Reset(nextQueryTime)
	}
}

// expire cancels an attempt that its entry does not ask for.
func (or *orphans) expire(id call.AttemptID) {
	if pa := or.remove(id); pa != nil {
		pa.linkEnded.Store(true)
		pa.cancel()
	}
}

// cancel cancels an attempt at the request of its entry. It does nothing for an unknown id.
func (or *orphans) cancel(id call.AttemptID) {
	if pa := or.remove(id); pa != nil {
		pa.cancel()
	}
}

// remove removes an attempt, for example as it has its answer, and returns it, or nil if it is not there.
func (or *orphans) remove(id call.AttemptID) *pendingAttempt {
	or.mu.Lock()
	defer or.mu.Unlock()
	on := or.attempts[id]
	if on == nil {
		return nil
	}
	on.timer.Stop()
	delete(or.attempts, id)
	return on.attempt
}
