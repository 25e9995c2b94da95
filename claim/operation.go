package claim

import (
	"time"

	"camphortrail/call"
)

// Key is an idempotency key, unique within its tenant.
type Key string

// Epoch is a fencing number. It increases with each grant in a table.
type Epoch uint64

// Digest identifies the content of a request.
type Digest string

// Operation is an input of a Table.
type Operation interface{ operation() }

// Claim asks for the right to execute the request with a key. It may be
// repeated by the same attempt, with the same result.
type Claim struct {
	Tenant  call.Tenant
	Key     Key
	Attempt call.AttemptID
	Digest  Digest
	// Retention is the time for which the answer is kept once it is there.
	Retention time.Duration
}

// Complete ends a claim and records the answer, which may be empty when none
// was received from an upstream that ran.
type Complete struct {
	Tenant  call.Tenant
	Key     Key
	Attempt call.AttemptID
	Epoch   Epoch
	Answer  []byte
}

// Release ends a claim whose request is proved not run, so that another
// attempt may claim the key.
type Release struct {
	Tenant  call.Tenant
	Key     Key
	Attempt call.AttemptID
	Epoch   Epoch
}

func (Claim) operation()    {}
func (Complete) operation() {}
func (Release) operation()  {}

// State is the outcome of an operation.
type State uint8

// The states.
const (
	// Invalid answers an operation that no table accepts.
	Invalid State = iota
	// Granted means that the claiming attempt holds the right to execute.
	Granted
	// Held means that another attempt holds it.
	Held
	// Finished means that the request ran, or may have run. Its answer is
	// there while it is kept.
	Finished
	// Mismatch means that the key belongs to another request.
	Mismatch
	// Fenced means that the operation comes from a claim that is no longer
	// in force.
	Fenced
	// Full means that the table has no room for another key.
	Full
	// Released means that the key is free again.
	Released
)

// Result is the outcome of an operation. Answer must not be changed.
type Result struct {
	State  State
	Epoch  Epoch
	Answer []byte
}
