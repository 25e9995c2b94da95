package admission

import (
	"time"

	"camphortrail/call"
)

// Event is an input of a Controller: Announce, Drain, Resume, Arrive, Finish, Cancel or
// Tick.
type Event interface{ event() }

// Announce states the capacity of the upstream.
type Announce struct {
	// Slots is the number of calls that the upstream runs at once. Zero means that it
	// runs none any more; waiting attempts are then refused.
	Slots int
	// WarmUp is the duration of a cold start.
	WarmUp time.Duration
	// Restarted says that the upstream process has restarted, so that its warm-up begins
	// again. It is unset in a repeated announcement.
	Restarted bool
}

// Drain makes the controller refuse all new work. Waiting attempts are still started and
// running ones finish, so no work in flight is cut off. For an upstream that runs nothing
// any more, use Announce without slots, which also refuses the waiting attempts.
type Drain struct{}

// Resume ends the effect of Drain.
type Resume struct{}

// Arrive asks for admission of an attempt. It is ignored if the id already waits or runs.
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
	// DownstreamWait is the time for which the upstream waited for its own calls while it
	// ran this attempt, or zero if unknown.
	DownstreamWait time.Duration
}

// Cancel reports that no caller waits for the attempt any more. A waiting attempt is
// refused with reason Cancelled. A running one holds its slot until Finish, and is
// aborted if it is abortable.
type Cancel struct{ ID call.AttemptID }

// Tick reports only that time has passed. It is due at the time that NextWake returns.
type Tick struct{}

func (Announce) event() {}
func (Drain) event()    {}
func (Resume) event()   {}
func (Arrive) event()   {}
func (Finish) event()   {}
func (Cancel) event()   {}
func (Tick) event()     {}

// Action is an output of a Controller: *Start, *Refuse or *Abort. Actions point into
// storage that the next Step reuses.
type Action interface{ action() }

// Start lets the attempt run on the upstream.
type Start struct{ ID call.AttemptID }

// Refuse ends an attempt that did not run.
type Refuse struct {
	ID     call.AttemptID
	Reason Reason
	// RetryAfter is the jittered backoff proposed to the caller.
	RetryAfter time.Duration
}

// Abort asks to end a running attempt. Its Finish must still be reported.
type Abort struct{ ID call.AttemptID }

func (*Start) action()  {}
func (*Refuse) action() {}
func (*Abort) action()  {}

// Reason says why an attempt was refused.
type Reason uint8

// Reasons for a refusal.
const (
	// Overload means that there is more work than the upstream can run.
	Overload Reason = iota + 1
	// Deadline means that the attempt would miss its deadline even if no other attempt
	// waited.
	Deadline
	// Leaving means that the upstream drains and takes no new work.
	Leaving
	// Cancelled means that the attempt was cancelled while it waited.
	Cancelled
	// QueueFull means that MaxWaiting attempts already wait.
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

// NoCapacity reports whether the attempt was refused for lack of capacity.
func (rs Reason) NoCapacity() bool { return rs == Overload || rs == QueueFull }
