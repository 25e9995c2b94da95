package admission

import (
	"time"

	"camphortrail/call"
)

// Event is an input of a Machine: Announce, Leave, Resume, Arrive, Finish,
// Cancel or Tick.
type Event interface{ event() }

// Announce states what the upstream can run.
type Announce struct {
	// Slots is the number of calls that the upstream runs at once.
	Slots int
	// WarmUp is the duration of a cold start.
	WarmUp time.Duration
	// Restarted says that the upstream began anew, so that its warm-up
	// starts again. A repeated announcement leaves it unset.
	Restarted bool
}

// Drain makes the machine refuse all new work. What waits already is still
// started, and so nothing in flight is cut off. An upstream that runs nothing
// more is told by Announce without slots, which refuses what waits.
type Drain struct{}

// Resume ends the effect of Leave.
type Resume struct{}

// Arrive asks for admission of an attempt. An id that already waits or runs
// is ignored.
type Arrive struct {
	ID         call.AttemptID
	Importance call.Importance
	Cohort     call.Cohort
	Depth      call.Depth
	// Deadline is the time at which the caller gives up; zero means never.
	Deadline time.Time
	// Abortable says that Cancel may abort the attempt while it runs.
	Abortable bool
}

// Finish reports the end of an attempt that was started.
type Finish struct {
	ID call.AttemptID
	// OK is false for failed and aborted attempts.
	OK bool
	// DownstreamWait is the time in which the upstream waited for calls of its
	// own for this attempt, or zero if unknown.
	DownstreamWait time.Duration
}

// Cancel says that nobody waits for the attempt any more. A waiting attempt
// is refused with reason Cancelled. A running one holds its slot until
// Finish, and is aborted if it is abortable.
type Cancel struct{ ID call.AttemptID }

// Tick lets time pass. It is due at the time that NextWake returns.
type Tick struct{}

func (Announce) event() {}
func (Drain) event()    {}
func (Resume) event()   {}
func (Arrive) event()   {}
func (Finish) event()   {}
func (Cancel) event()   {}
func (Tick) event()     {}

// Action is an output of a Machine: *Start, *Refuse or *Abort. Actions are
// pointers into storage that the next Step reuses.
type Action interface{ action() }

// Start lets the attempt run on the upstream.
type Start struct{ ID call.AttemptID }

// Refuse ends an attempt that did not run.
type Refuse struct {
	ID     call.AttemptID
	Reason Reason
	// RetryAfter is the jittered time after which a resend is worth while.
	RetryAfter time.Duration
}

// Abort asks to end a running attempt, whose Finish is still due.
type Abort struct{ ID call.AttemptID }

func (*Start) action()  {}
func (*Refuse) action() {}
func (*Abort) action()  {}

// Reason says why an attempt was refused.
type Reason uint8

// The reasons.
const (
	// Overload means that there is more work than the upstream can run.
	Overload Reason = iota + 1
	// Deadline means that the attempt could not end before its deadline
	// even if nothing else waited.
	Deadline
	// Leaving means that the upstream takes no new work.
	Leaving
	// Cancelled means that the attempt was cancelled while it waited.
	Cancelled
	// QueueFull means that the table of waiting attempts is full.
	QueueFull
	// NoUpstream means that no upstream has announced itself.
	NoUpstream
)

// String returns the reason as it is written in headers and logs.
func (rs Reason) String() string {
	switch rs {
	case Overload:
		return "overload"
	case Deadline:
		return "deadline"
	case Leaving:
		return "leaving"
	case Cancelled:
		return "cancelled"
	case QueueFull:
		return "full"
	case NoUpstream:
		return "no-upstream"
	default:
		return "unknown"
	}
}

// NoCapacity reports whether the reason is a lack of capacity.
func (rs Reason) NoCapacity() bool { return rs == Overload || rs == QueueFull }
