package withdrawal

import (
	"time"

	"camphortrail/call"
)

// ConnID identifies one connection of an entry.
type ConnID uint64

// Signal is an input of a FailureDetector.
type Signal interface{ signal() }

// Sent reports that an attempt was sent on a connection.
type Sent struct {
	Conn    ConnID
	Attempt call.AttemptID
	VM      call.VM
	// At is the time of sending. The zero time stands for the time of the step.
	At time.Time
	// Expected is the usual time from sending to the answer. Zero stands for the moving
	// average of the answers of the VM.
	Expected time.Duration
	Deadline time.Time
}

// Acked reports that the guard acknowledged the arrival of an attempt.
type Acked struct {
	Attempt call.AttemptID
}

// Settled reports that an attempt needs no further watching: its answer arrived, its state
// is final, or its request ended.
type Settled struct {
	Attempt call.AttemptID
	// Answered is set if the answer arrived on the connection of the attempt.
	Answered bool
}

// Failed reports that sending an attempt or reading its answer failed. The connection
// becomes suspect; its other attempts remain pending.
type Failed struct {
	Attempt call.AttemptID
}

// ConnClosed reports that a connection was closed.
type ConnClosed struct {
	Conn ConnID
}

// ConnDoubted reports that the VM of a connection may be gone, for a reason other than what the
// detector sees. The connection becomes suspect; its attempts remain pending.
type ConnDoubted struct {
	Conn ConnID
}

// TimePassed is a timer event. The caller sends it at the time that NextWake returns.
type TimePassed struct{}

func (Sent) signal()        {}
func (Acked) signal()       {}
func (Settled) signal()     {}
func (Failed) signal()      {}
func (ConnClosed) signal()  {}
func (ConnDoubted) signal() {}
func (TimePassed) signal()  {}

// Action is an output of a FailureDetector, for the caller to perform.
type Action interface{ action() }

// MarkSuspect requests that no new attempt be sent on a connection.
type MarkSuspect struct {
	Conn ConnID
}

// Query requests to query the state of an attempt, on a new connection to its VM.
type Query struct {
	Attempt call.AttemptID
	VM      call.VM
	// Withdraw is set if the query must withdraw the attempt when it has not started.
	// Otherwise the attempt stays in the queue.
	Withdraw bool
}

// CloseConn requests to close a suspect connection that has no pending attempts left. The
// detector has already forgotten the connection and needs no ConnClosed.
type CloseConn struct {
	Conn ConnID
}

func (MarkSuspect) action() {}
func (Query) action()       {}
func (CloseConn) action()   {}

// FailureDetectorLimits bounds a FailureDetector. Attempts beyond Attempts are not
// watched. VMs bounds the number of VMs whose timing is remembered.
type FailureDetectorLimits struct {
	VMs      int
	Attempts int
}

// DefaultFailureDetectorLimits returns the limits of one entry.
func DefaultFailureDetectorLimits() FailureDetectorLimits {
	return FailureDetectorLimits{VMs: 1 << 12, Attempts: 1 << 16}
}
