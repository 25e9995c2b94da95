package guard

import (
	"sync"
	"sync/atomic"

	"camphortrail/internal/traffic/attempt"
	"camphortrail/internal/traffic/buffer"
	"camphortrail/internal/traffic/header"
	"camphortrail/internal/traffic/upstream"
	"camphortrail/schema"
)

// pendingAttempt is an attempt that waits for admission or runs.
type pendingAttempt struct {
	guard   *Guard
	attempt *attempt.Attempt
	// decided gets one decision.
	decided chan decision
	run     upstream.Run
	// memory is the memory of the answer, until it is queued for its entry.
	memory buffer.Reservation
	// sends is the number of times that the attempt was sent to the upstream. sendAgain is the
	// decision after its last refusal.
	sends     int
	sendAgain furtherDecision
	// request is the memory of an attempt of another node, with its header. givenUp is set when it is
	// needed for smaller ones.
	request buffer.Reservation
	givenUp atomic.Bool
	// linkEnded is set when the attempt is cancelled since its link has ended and its entry did not ask for it.
	linkEnded atomic.Bool

	mu sync.Mutex
	// cancelled says that nobody waits for the answer any more. admitting is set while the
	// admission loop has to be told of that.
	cancelled, admitting bool
}

func newPendingAttempt(gd *Guard, at *attempt.Attempt) *pendingAttempt {
	pa := &pendingAttempt{
		guard: gd, attempt: at, decided: make(chan decision, 1),
	}
	if at != nil {
		pa.run.Deadline = gd.runDeadline(at)
	}
	pa.memory.Init(gd.memory, &pa.run)
	pa.request.Init(gd.clientMemory, (*attemptHolder)(pa))
	return pa
}

// attemptBytes is the memory of an attempt of another node with a short header: the stack of its
// goroutine, and what the guard knows of it.
const attemptBytes = 24 << 10

// attemptMemory returns the memory that an attempt in a frame takes.
func attemptMemory(msg *schema.Attempt) int64 {
	lines := header.BlockFields(msg.GetHeaderBlock()) + len(msg.GetHeader())
	return attemptBytes + buffer.HeadCost(len(msg.GetHeaderBlock())+len(msg.GetUri()), lines) + int64(len(msg.GetBody()))
}

// attemptHolder gives up an attempt when its memory is needed for smaller ones.
type attemptHolder pendingAttempt

// Abort implements buffer.Reader. The attempt was read already.
func (*attemptHolder) Abort() {}

// Cancel implements buffer.Canceller.
func (ah *attemptHolder) Cancel() {
	pa := (*pendingAttempt)(ah)
	pa.givenUp.Store(true)
	go pa.cancel()
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
