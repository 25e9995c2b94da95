package claim

import (
	"time"

	"camphortrail/call"
)

// Key is an idempotency key, unique within its tenant.
type Key string

// Epoch is a fencing token. It increases with each claim that a table grants.
type Epoch uint64

// Digest identifies the content of a request, so that a key that is reused for another
// request is detected.
type Digest string

// Operation is an input of a Table: a Claim, Complete or Release.
type Operation interface{ operation() }

// Claim requests the right to execute the request with an idempotency key. The same
// attempt may repeat it and gets the same result.
type Claim struct {
	Tenant  call.Deployment
	Key     Key
	Attempt call.AttemptID
	Digest  Digest
	// Retention is how long the answer is stored after the request has finished.
	Retention time.Duration
}

// Complete ends a claim and records the answer. The answer is empty if the upstream ran
// the request but no answer was received.
type Complete struct {
	Tenant  call.Deployment
	Key     Key
	Attempt call.AttemptID
	Epoch   Epoch
	Answer  []byte
}

// Release ends a claim whose request provably did not run, so that another attempt may
// claim the key.
type Release struct {
	Tenant  call.Deployment
	Key     Key
	Attempt call.AttemptID
	Epoch   Epoch
}

func (Claim) operation()    {}
func (Complete) operation() {}
func (Release) operation()  {}

// State says how a table decided an operation.
type State uint8

// The states of a Result.
const (
	// Invalid means that the operation is of an unknown type or that tenant, key and
	// digest exceed Limits.KeyBytes.
	Invalid State = iota
	// Granted means that the claiming attempt holds the right to execute.
	Granted
	// Held means that another attempt holds the right to execute.
	Held
	// Finished means that the request ran or may have run. Result.Answer is set as long
	// as the answer is stored.
	Finished
	// Mismatch means that the key was claimed for a request with another digest.
	Mismatch
	// Fenced means that the attempt does not hold the key: its claim was released,
	// superseded or forgotten.
	Fenced
	// Full means that the table or the tenant has reached its limit.
	Full
	// Released means that the claim was released and the key can be claimed again.
	Released
)

// Result is the outcome of an operation. Epoch, where set, is that of the key's latest
// claim. The caller must not modify Answer.
type Result struct {
	State  State
	Epoch  Epoch
	Answer []byte
}
