package retry

import (
	"slices"
	"time"

	"camphortrail/call"
	"camphortrail/internal/state/expiry"
)

// account holds the remaining retry budget of one root request or inbound attempt.
type account struct {
	id       AccountID
	budget   Budget
	deadline time.Time
	// resends is the highest number of a resend seen so far.
	resends uint32
	// calls holds the calls made so far, and inFlight the attempts without an answer.
	calls    []Digest
	inFlight []inFlightAttempt
	item     expiry.Item[*account]
}

// inFlightAttempt is the budget that an attempt in flight carries.
type inFlightAttempt struct {
	attempt call.AttemptID
	budget  Budget
}

// usable reports whether the deadline of the account has not passed.
func (ac *account) usable(now time.Time) bool { return now.Before(ac.deadline) }

// closedAccount is the remainder of an account that was closed. It holds no pointers, so
// that the garbage collector need not follow the many of them.
type closedAccount struct {
	budget  Budget
	resends uint32
	// deadline is that of the account, counted from the start of the ledger.
	deadline time.Duration
}

// spend takes one retry from the budget and reports whether there was one.
func (ac *account) spend() bool {
	if ac.budget == 0 {
		return false
	}
	ac.budget--
	return true
}

// recordCall records a call and reports whether it is new. A call beyond the limit cannot
// be recorded and counts as a repeat.
func (ac *account) recordCall(dg Digest, limit int) bool {
	if len(ac.calls) >= limit || slices.Contains(ac.calls, dg) {
		return false
	}
	ac.calls = append(ac.calls, dg)
	return true
}

// allocate moves half of the budget to an attempt. If the budget is odd, a root request
// retains the larger half, since its own retry makes up for any loss further down. An
// inbound attempt passes the larger half on, since a retry next to the failure repeats
// the least work.
func (ac *account) allocate(at call.AttemptID, limit int) Budget {
	carry := ac.budget / 2
	if !ac.id.root {
		carry = ac.budget - carry
	}
	if carry == 0 || len(ac.inFlight) >= limit || ac.find(at) >= 0 {
		return 0
	}
	ac.budget -= carry
	ac.inFlight = append(ac.inFlight, inFlightAttempt{at, carry})
	return carry
}

// credit returns the unused part of an attempt's budget to the account, and reports how
// much that is. An attempt is credited only once.
func (ac *account) credit(at call.AttemptID, unused Budget) Budget {
	i := ac.find(at)
	if i < 0 {
		return 0
	}
	credited := min(unused, ac.inFlight[i].budget)
	ac.inFlight = slices.Delete(ac.inFlight, i, i+1)
	ac.budget += credited
	return credited
}

// find returns the index of the attempt in inFlight, or -1.
func (ac *account) find(at call.AttemptID) int {
	return slices.IndexFunc(ac.inFlight, func(fl inFlightAttempt) bool { return fl.attempt == at })
}
