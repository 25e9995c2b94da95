package withdrawal

import (
	"time"

	"camphortrail/call"
)

// State is what a guard knows of an attempt.
type State uint8

// The states. Their numbers up to Finished are those of
// schema.AttemptState.
const (
	// Unknown means that the guard cannot tell: the attempt may have run.
	Unknown State = iota
	// Fenced means that the attempt never arrived, and is refused from now
	// on.
	Fenced
	// Dequeued means that the attempt was refused or taken out of the queue
	// before it began.
	Dequeued
	// Running means that the attempt began and has not ended.
	Running
	// Finished means that the attempt ended; its answer is there while it
	// is kept.
	Finished
	// Queued means that the attempt waits at the guard.
	Queued
	// Unseen means that the attempt has not arrived, and may yet do so.
	Unseen
)

// NotRun reports whether the attempt is proved not run, now and later.
func (st State) NotRun() bool { return st == Fenced || st == Dequeued }

// Event is an input of a Registry whose answers have the type A.
type Event[A any] interface{ event(A) }

// Arrive reports an attempt that arrived. The decision is Accepted, or the
// attempt must not be queued or run.
type Arrive[A any] struct {
	Attempt call.AttemptID
	// Stamp is the latest stamp that the sender had from this guard when it
	// sent the attempt.
	Stamp Stamp
}

// Start asks to begin to run an accepted attempt. The attempt must run only
// if the decision is Accepted.
type Start[A any] struct {
	Attempt call.AttemptID
}

// Refuse reports that an accepted attempt is refused before it begins. The
// decision is Accepted unless it began.
type Refuse[A any] struct {
	Attempt call.AttemptID
}

// Finish records the whole answer of an attempt that began.
type Finish[A any] struct {
	Attempt call.AttemptID
	Answer  A
	// Bytes is the size that the answer counts for.
	Bytes int
}

// Abort reports that an attempt that began ended without a whole answer. It
// may have taken effect.
type Abort[A any] struct {
	Attempt call.AttemptID
}

// Withdraw asks for the state of an attempt, and prevents it from beginning
// when it has not. When Result.State is Dequeued, the attempt has to be
// taken out of the queue, if it is there.
type Withdraw[A any] struct {
	Attempt call.AttemptID
	// Stamp is the one that the attempt was sent with.
	Stamp Stamp
}

// Inspect asks for the state of an attempt and changes nothing.
type Inspect[A any] struct {
	Attempt call.AttemptID
	// Stamp is the one that the attempt was sent with.
	Stamp Stamp
}

// Tick removes what has expired.
type Tick[A any] struct{}

func (Arrive[A]) event(A)   {}
func (Start[A]) event(A)    {}
func (Refuse[A]) event(A)   {}
func (Finish[A]) event(A)   {}
func (Abort[A]) event(A)    {}
func (Withdraw[A]) event(A) {}
func (Inspect[A]) event(A)  {}
func (Tick[A]) event(A)     {}

// Decision is the answer of a Registry to a report about an attempt.
type Decision uint8

// The decisions.
const (
	// Rejected means that the report does not fit the attempt's state.
	Rejected Decision = iota
	// Accepted means that the attempt may go on.
	Accepted
	// Duplicate means that the attempt arrived before. Result.State is its
	// state.
	Duplicate
	// Withdrawn means that the attempt was fenced before it arrived.
	Withdrawn
	// Stale means that the attempt does not begin, now or later. The sender
	// has to learn the guard's current stamp from this refusal, and may then
	// send the request again as another attempt.
	Stale
	// Full means that the registry has no room for another attempt.
	Full
)

// Result is the answer of a Registry to an event.
type Result[A any] struct {
	Decision Decision
	State    State
	// Answer is set when Kept is, with the State Finished.
	Answer    A
	HasAnswer bool
}

// Limits bounds a Registry.
type Limits struct {
	// Attempts is the largest number of attempts and fences.
	Attempts int
	// AnswerBytes is the largest sum of the sizes of kept answers.
	AnswerBytes int
	// AnswerRetention is the time for which an answer is kept.
	AnswerRetention time.Duration
	// StampLifetime is the age from which a stamp is stale. It must exceed the
	// longest deadline, and is the time for which attempts are remembered.
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
