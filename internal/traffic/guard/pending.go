package guard

import (
	"sync"

	"camphortrail/internal/traffic/attempt"
	"camphortrail/internal/traffic/buffer"
	"camphortrail/internal/traffic/upstream"
)

// pendingAttempt is an attempt that waits for admission or runs.
type pendingAttempt struct {
	guard   *Guard
	attempt *attempt.Attempt
	// decided gets one decision.
	decided chan decision
	run     upstream.Run
	// memory is the memory of the answer while it is read.
	memory buffer.Reservation
	// sends is the number of times that the attempt was sent to the upstream. sendAgain is the
	// decision after its last refusal.
	sends     int
	sendAgain furtherDecision

	mu sync.Mutex
	// cancelled says that nobody waits for the answer any more. admitting is set while the
	// admission loop has to be told of that.
	cancelled, admitting bool
}

func newPendingAttempt(gd *Guard, at *attempt.Attempt) *pendingAttempt {
	pa := &pendingAttempt{
		guard: gd, attempt: at, decided: make(chan decision, 1), run: upstream.Run{Deadline: gd.runDeadline(at)},
	}
	pa.memory.Init(gd.memory, &pa.run)
	return pa
}

// cancel tells the admission loop, now or once it knows the attempt, that nobody waits for the
// answer any more. It does not wait for the loop. Later calls have no effect.
func (pa *pendingAttempt) cancel() {
	pa.mu.Lock()
	defer pa.mu.Unlock()
	if pa.admitting && !pa.cancelled {
		go pa.guard.cancel(pa.attempt.ID)
	}
	pa.cancelled = true
}

// isCancelled reports whether nobody waits for the answer any more.
func (pa *pendingAttempt) isCancelled() bool {
	pa.mu.Lock()
	defer pa.mu.Unlock()
	return pa.cancelled
}

// setAdmitting says whether the admission loop knows the attempt.
func (pa *pendingAttempt) setAdmitting(admitting bool) {
	pa.mu.Lock()
	defer pa.mu.Unlock()
	pa.admitting = admitting
	if admitting && pa.cancelled {
		go pa.guard.cancel(pa.attempt.ID)
	}
}
