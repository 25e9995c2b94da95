package withdrawal

import (
	"time"

	"camphortrail/call"
)

// State is what a guard knows about an attempt.
type State uint8

// The states of an attempt. Their numbers up to Finished are those of
// schema.AttemptState.
const (
	// Unknown means that the guard cannot determine the state: the attempt may have run.
	Unknown State = iota
	// Fenced means that the attempt was withdrawn before it arrived. The guard refuses
	// it if it arrives later.
	Fenced
	// Dequeued means that the attempt was refused or removed from the queue before it
	// started to run.
	Dequeued
	// Running means that the attempt has started and not ended.
	Running
	// Finished means that the attempt ran and ended. Its answer is available as long as
	// the registry stores it.
	Finished
	// Queued means that the attempt is in the queue of the guard.
	Queued
	// Unseen means that the attempt has not arrived yet and may still arrive.
	Unseen
)

// NotRun reports whether the attempt provably has not run and never will.
func (st State) NotRun() bool { return st == Fenced || st == Dequeued }

// Event is an input of a Registry whose answers have the type A.
type Event[A any] interface{ event(A) }

// Arrive reports that an attempt arrived. Unless the decision is Accepted, the guard must
// neither queue nor run it.
type Arrive[A any] struct {
	Attempt call.AttemptID
	// Stamp is the latest stamp of this guard that the sender knew when it sent the
	// attempt.
	Stamp Stamp
}

// Start requests to start a queued attempt. The guard must run the attempt only if the
// decision is Accepted.
type Start[A any] struct {
	Attempt call.AttemptID
}

// Refuse reports that a queued attempt is refused. The decision is Rejected if the
// attempt is not in the queue any more.
type Refuse[A any] struct {
	Attempt call.AttemptID
}

// Finish records the complete answer of a running attempt.
type Finish[A any] struct {
	Attempt call.AttemptID
	Answer  A
	// Bytes is the size of the answer, counted against Limits.AnswerBytes.
	Bytes int
}

// Abort reports that a running attempt ended without a complete answer. It may have
// taken effect.
type Abort[A any] struct {
	Attempt call.AttemptID
}

// Withdraw requests the state of an attempt and, if the attempt has not started, prevents
// it from starting. If Result.State is Dequeued, the guard must remove the attempt from its
// queue.
type Withdraw[A any] struct {
	Attempt call.AttemptID
	// Stamp is the one that the attempt was sent with.
	Stamp Stamp
}

// Inspect requests the state of an attempt without changing it.
type Inspect[A any] struct {
	Attempt call.AttemptID
	// Stamp is the one that the attempt was sent with.
	Stamp Stamp
}

// Tick removes the attempts and answers that have expired. Every other event does so too.
type Tick[A any] struct{}

func (Arrive[A]) event(A)   {}
func (Start[A]) event(A)    {}
func (Refuse[A]) event(A)   {}
func (Finish[A]) event(A)   {}
func (Abort[A]) event(A)    {}
func (Withdraw[A]) event(A) {}
func (Inspect[A]) event(A)  {}
func (Tick[A]) event(A)     {}

// Decision says whether a Registry accepts an event.
type Decision uint8

// The decisions of a Registry.
const (
	// Rejected means that the event is not valid in the attempt's state.
	Rejected Decision = iota
	// Accepted means that the event was applied and the attempt may proceed.
	Accepted
	// Duplicate means that the attempt has arrived before. Result.State is its current
	// state.
	Duplicate
	// Withdrawn means that the attempt was withdrawn before it arrived.
	Withdrawn
	// Stale means that the attempt's stamp is too old or of another incarnation, so the
	// guard may have forgotten an earlier copy of the attempt. The attempt never starts.
	// The sender takes the guard's current stamp from the refusal and may then send the
	// request as another attempt.
	Stale
	// Full means that the registry holds Limits.Attempts and can evict none of them.
	Full
)

// Result is the result of an event.
type Result[A any] struct {
	Decision Decision
	State    State
	// Answer is the stored answer of a finished attempt. It is set if HasAnswer is true.
	Answer    A
	HasAnswer bool
}

// Limits bounds a Registry.
type Limits struct {
	// Attempts is the maximum number of attempts, including fenced ones.
	Attempts int
	// AnswerBytes is the maximum total size of stored answers.
	AnswerBytes int
	// AnswerRetention is the time for which an answer is stored.
	AnswerRetention time.Duration
	// StampLifetime is the age at which a stamp becomes stale and the attempts that carry it
	// are forgotten. It must exceed the longest deadline.
	StampLifetime time.Duration
}

// DefaultLimits returns the limits of a guard.
func DefaultLimits() Limits {
	return Limits{
		Attempts:        1 << 17,
		AnswerBytes:     8 << 20,
		AnswerRetention: 30 * time.Second,
		StampLifetime:   2 * time.Minute,
	}
}
