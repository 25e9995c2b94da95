package retry

import (
	"slices"
	"time"

	"camphortrail/call"
	"camphortrail/internal/state/expiry"
)

// account is what one root request or inbound attempt may still spend.
type account struct {
	id       AccountID
	left     Budget
	deadline time.Time
	// resends is the highest number of a resend seen.
	resends uint32
	calls   []Digest
	sends   []escrow
	item    expiry.Item[*account]
}

// escrow is the allowance that an attempt in flight carries.
type escrow struct {
	attempt   call.AttemptID
	allowance Budget
}

func (ac *account) usable(now time.Time) bool { return now.Before(ac.deadline) }

// closed is what is left of an account that was closed. There are many, and they hold
// no pointers for the collector to follow.
type closed struct {
	left    Budget
	resends uint32
	// deadline is that of the account, counted from the start of the ledger.
	deadline time.Duration
}

func (ac *account) spend() bool {
	if ac.left == 0 {
		return false
	}
	ac.left--
	return true
}

// first reports whether the call is new, and remembers it. A call that
// cannot be remembered counts as a repeat.
func (ac *account) first(dg Digest, limit int) bool {
	if len(ac.calls) >= limit || slices.Contains(ac.calls, dg) {
		return false
	}
	ac.calls = append(ac.calls, dg)
	return true
}

// send moves half of the allowance to the attempt. A root request keeps the
// odd one, since its retry makes up for any loss below it. An attempt passes
// the odd one on, since a retry next to a failure repeats the least work.
func (ac *account) send(at call.AttemptID, limit int) Budget {
	carry := ac.left / 2
	if !ac.id.root {
		carry = ac.left - carry
	}
	if carry == 0 || len(ac.sends) >= limit || ac.find(at) >= 0 {
		return 0
	}
	ac.left -= carry
	ac.sends = append(ac.sends, escrow{at, carry})
	return carry
}

func (ac *account) settle(at call.AttemptID, unused Budget) Budget {
	i := ac.find(at)
	if i < 0 {
		return 0
	}
	credit := min(unused, ac.sends[i].allowance)
	ac.sends = slices.Delete(ac.sends, i, i+1)
	ac.left += credit
	return credit
}

func (ac *account) find(at call.AttemptID) int {
	return slices.IndexFunc(ac.sends, func(es escrow) bool { return es.attempt == at })
}
