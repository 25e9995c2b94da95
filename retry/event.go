package retry

import (
	"time"

	"camphortrail/call"
)

// Budget is a number of retries.
type Budget uint32

// AccountID identifies an account: that of a root request at the node which
// the caller sent it to, or that of an inbound attempt at its guard.
type AccountID struct {
	root bool
	id   [16]byte
}

// RequestAccount returns the id of the account of a root request.
func RequestAccount(id call.RequestID) AccountID { return AccountID{root: true, id: id} }

// AttemptAccount returns the id of the account of an inbound attempt.
func AttemptAccount(id call.AttemptID) AccountID { return AccountID{id: id} }

// Event is an input of a Ledger.
type Event interface{ event() }

// OpenRequest opens the account of a root request, or continues it when the
// caller sends the request again to the same node. The result is FirstSend,
// Charged or Refused.
type OpenRequest struct {
	Request call.RequestID
	// Total is the number of retries allowed over the whole call tree.
	Total Budget
	// Resend is the number of sends of the request that the caller made
	// before this one, to any node.
	Resend uint32
	// Deadline ends the request.
	Deadline time.Time
}

// OpenAttempt opens the account of an inbound attempt. The result is
// FirstSend, or Refused when the attempt was opened before, is too late, or
// the ledger is full. The attempt must not run when it is refused.
type OpenAttempt struct {
	Attempt call.AttemptID
	// Budget came down with the attempt.
	Budget Budget
	// Deadline ends the attempt.
	Deadline time.Time
}

// Call reports a call that an upstream makes while it runs an attempt.
// The result is FirstSend; Charged for a repeat of an earlier call; or
// Refused for a repeat with nothing left, and for every call of an account
// that is closed. Calls of an unknown account are first sends without
// retries.
type Call struct {
	Account AccountID
	Digest  Digest
}

// Retry asks to send another attempt of a call that failed. The result is
// Charged or Refused.
type Retry struct {
	Account AccountID
}

// Send moves a part of the account's allowance to an attempt about to be
// sent. Result.Allowance is what the attempt carries.
type Send struct {
	Account AccountID
	Attempt call.AttemptID
}

// Return credits the part of the allowance that an answer brought back. When
// the attempt is proved not run, Unused is all that it carried. Only the
// first Return or Lost of an attempt counts, and none after Close.
// Result.Allowance is what was credited.
type Return struct {
	Account AccountID
	Attempt call.AttemptID
	Unused  Budget
}

// Lost gives up the allowance that an attempt carried.
type Lost struct {
	Account AccountID
	Attempt call.AttemptID
}

// Close ends the account. Result.Allowance is the unused part, which the
// answer takes back to the sender of the attempt. The account of a root
// request keeps it for a resend by the caller.
type Close struct {
	Account AccountID
}

// Tick removes expired accounts.
type Tick struct{}

func (OpenRequest) event() {}
func (OpenAttempt) event() {}
func (Call) event()        {}
func (Retry) event()       {}
func (Send) event()        {}
func (Return) event()      {}
func (Lost) event()        {}
func (Close) event()       {}
func (Tick) event()        {}

// Decision is the answer of a Ledger to an event.
type Decision uint8

// The decisions.
const (
	// Refused means that the send must not take place.
	Refused Decision = iota
	// FirstSend means that the send is not a retry.
	FirstSend
	// Charged means that the send is a retry and was paid for.
	Charged
	// NoDecision answers the events that ask for no send.
	NoDecision
)

// Result is the answer of a Ledger to an event.
type Result struct {
	Decision Decision
	Budget   Budget
}
