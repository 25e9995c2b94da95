package withdrawal

import (
	"time"

	"camphortrail/call"
)

// ConnID identifies one connection of an entry.
type ConnID uint64

// Signal is an input of a Suspicion.
type Signal interface{ signal() }

// Sent reports an attempt sent on a connection.
type Sent struct {
	Conn    ConnID
	Attempt call.AttemptID
	VM      call.VM
	// At is when it was sent. Zero stands for the time of the step.
	At time.Time
	// Expected is the usual time until the answer. Zero stands for the mean
	// of the latest answers of the VM.
	Expected time.Duration
	Deadline time.Time
}

// Acked reports the guard's acknowledgement of an attempt.
type Acked struct {
	Attempt call.AttemptID
}

// Settled reports that nothing more is to be found out about an attempt: its
// answer came, its state is final, or its request ended.
type Settled struct {
	Attempt call.AttemptID
	// Answered says that the answer came on the attempt's own connection.
	Answered bool
}

// Failed reports that sending an attempt, or reading its answer, failed. The
// connection becomes suspect; its other attempts go on.
type Failed struct {
	Attempt call.AttemptID
}

// ConnClosed reports that a connection was closed.
type ConnClosed struct {
	Conn ConnID
}

// TimePassed reports that time has passed. It is due at NextWake.
type TimePassed struct{}

func (Sent) signal()       {}
func (Acked) signal()      {}
func (Settled) signal()    {}
func (Failed) signal()     {}
func (ConnClosed) signal() {}
func (TimePassed) signal() {}

// Action is an output of a Suspicion.
type Action interface{ action() }

// MarkSuspect tells that a connection must take no new work.
type MarkSuspect struct {
	Conn ConnID
}

// Query asks for the state of an attempt, on a new connection to the VM.
type Query struct {
	Attempt call.AttemptID
	VM      call.VM
	// Withdraw is set when an attempt that has not begun is to be
	// withdrawn. Otherwise it may go on waiting.
	Withdraw bool
}

// CloseConn closes a suspect connection that holds no more attempts. The
// connection is forgotten, and needs no Gone.
type CloseConn struct {
	Conn ConnID
}

func (MarkSuspect) action() {}
func (Query) action()       {}
func (CloseConn) action()   {}

// FailureDetectorLimits bounds a Suspicion. Attempts beyond them are not watched.
type FailureDetectorLimits struct {
	VMs      int
	Attempts int
}

// DefaultFailureDetectorLimits returns the limits of one entry.
func DefaultFailureDetectorLimits() FailureDetectorLimits {
	return FailureDetectorLimits{VMs: 1 << 12, Attempts: 1 << 16}
}
