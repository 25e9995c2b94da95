package retry

import (
	"time"

	"camphortrail/call"
)

// Budget is a number of retries.
type Budget uint32

// AccountID identifies the account of a root request, at the node to which the caller
// sent it, or that of an inbound attempt, at its guard.
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

// OpenRequest opens the account of a root request, or continues it when the caller sends
// the request again to the same node. The result is FirstSend, Charged or Refused.
type OpenRequest struct {
	Request call.RequestID
	// Total is the number of retries allowed over the whole call tree.
	Total Budget
	// Resend counts the earlier sends of the request by the caller, to any node.
	Resend uint32
	// Deadline is the time at which the request ends.
	Deadline time.Time
}

// OpenAttempt opens the account of an inbound attempt. The result is FirstSend. It is
// Refused, and the attempt must not run, if the attempt was opened before, its deadline
// has passed, or the ledger is full.
type OpenAttempt struct {
	Attempt call.AttemptID
	// Budget is what the attempt carried.
	Budget Budget
	// Deadline is the time at which the attempt ends.
	Deadline time.Time
}

// Call reports a call that an upstream makes while it runs an attempt. The result is
// FirstSend for a new call and Charged for a repeat. It is Refused for a repeat without a
// budget, and for every call of a closed account. A call of an unknown account is a first
// send, and cannot be retried.
type Call struct {
	Account AccountID
	Digest  Digest
}

// Retry asks to send another attempt of a call that failed. The result is Charged or
// Refused.
type Retry struct {
	Account AccountID
}

// Send moves a part of the account's budget to an attempt that is about to be sent.
// Result.Budget is what the attempt carries.
type Send struct {
	Account AccountID
	Attempt call.AttemptID
}

// Return credits the unused part of the budget, which comes back with the answer to an
// attempt. If the attempt is known not to have run, Unused is all that it carried. Only
// the first Return or Lost of an attempt counts, and none after Close. Result.Budget is
// what was credited.
type Return struct {
	Account AccountID
	Attempt call.AttemptID
	Unused  Budget
}

// Lost reports that the sender received no answer to an attempt which may have run. The
// budget that the attempt carried is given up and not credited to the account, because the
// attempt may have spent it or may still do so. A later Return of the attempt credits
// nothing. Result.Budget is zero.
type Lost struct {
	Account AccountID
	Attempt call.AttemptID
}

// Close ends the account. Result.Budget is the unused part, which the answer returns to
// the sender of the attempt. The account of a root request retains it for a resend by the
// caller.
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

// Decision says whether a send may take place.
type Decision uint8

// Decisions of a Ledger.
const (
	// Refused means that the send must not take place.
	Refused Decision = iota
	// FirstSend means that the send is not a retry.
	FirstSend
	// Charged means that the send is a retry, and was charged to the budget.
	Charged
	// NoDecision is the result of events that do not ask for a send.
	NoDecision
)

// Result is the answer of a Ledger to an event.
type Result struct {
	Decision Decision
	Budget   Budget
}
