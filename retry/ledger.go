// Package retry bounds the retries of a request. A Ledger keeps them within
// one fixed total over the whole call tree of a root request; a Ratio keeps
// them within a percentage of the successes of a service.
//
// The total is escrowed, not copied: an attempt carries a part of its
// parent's allowance down and brings the unused part back. The sum of all
// that is held, carried and spent therefore never exceeds the total, however
// messages are lost, doubled or reordered.
package retry

import (
	"time"

	"camphortrail/call"
	"camphortrail/internal/state/expiry"
)

// Limits bounds a Ledger.
type Limits struct {
	// Accounts is the largest number of accounts, closed ones included.
	Accounts int
	// Calls is the largest number of different calls and of attempts in
	// flight that an account remembers. Calls beyond it count as repeats.
	Calls int
	// Linger is the time for which an account is remembered after its
	// deadline.
	Linger time.Duration
}

// DefaultLimits returns limits for one node.
func DefaultLimits() Limits {
	return Limits{Accounts: 1 << 17, Calls: 64, Linger: 30 * time.Second}
}

// Ledger holds the retry accounts of one node. It is not safe for concurrent
// use.
type Ledger struct {
	lim      Limits
	accounts map[AccountID]*account
	expiry   expiry.Queue[*account]
}

// New returns an empty ledger.
func New(lim Limits) *Ledger {
	return &Ledger{lim: lim, accounts: make(map[AccountID]*account)}
}

// Len returns the number of accounts held, closed ones included.
func (lg *Ledger) Len() int { return len(lg.accounts) }

// Step applies ev at the time now.
func (lg *Ledger) Step(now time.Time, ev Event) Result {
	lg.expire(now)
	switch ev := ev.(type) {
	case OpenRequest:
		return lg.openRequest(now, ev)
	case OpenAttempt:
		return lg.openAttempt(now, ev)
	case Call:
		return lg.call(now, ev)
	case Retry:
		return lg.retry(now, ev.Account)
	case Send:
		return lg.send(now, ev)
	case Return:
		return lg.settle(ev.Account, ev.Attempt, ev.Unused)
	case Lost:
		return lg.settle(ev.Account, ev.Attempt, 0)
	case Close:
		return lg.close(ev.Account)
	}
	return Result{Decision: Noted}
}

func (lg *Ledger) expire(now time.Time) {
	for {
		ac, ok := lg.expiry.PopBefore(now)
		if !ok {
			return
		}
		delete(lg.accounts, ac.id)
	}
}

// open adds an account. It returns nil when the ledger is full.
func (lg *Ledger) open(id AccountID, all Allowance, deadline time.Time) *account {
	if len(lg.accounts) >= lg.lim.Accounts {
		return nil
	}
	ac := &account{id: id, left: all, deadline: deadline}
	lg.accounts[id] = ac
	ac.item.Value = ac
	lg.expiry.Set(&ac.item, deadline.Add(lg.lim.Linger))
	return ac
}

func (lg *Ledger) openAttempt(now time.Time, ev OpenAttempt) Result {
	id := OfAttempt(ev.Attempt)
	if lg.accounts[id] != nil || !now.Before(ev.Deadline) {
		return Result{Decision: Refused}
	}
	ac := lg.open(id, ev.Allowance, ev.Deadline)
	if ac == nil {
		return Result{Decision: Refused}
	}
	return Result{Decision: FirstSend, Allowance: ac.left}
}

func (lg *Ledger) openRequest(now time.Time, ev OpenRequest) Result {
	id := OfRequest(ev.Request)
	if !now.Before(ev.Deadline) {
		return Result{Decision: Refused}
	}
	if ac := lg.accounts[id]; ac != nil {
		return lg.reopen(ac, ev)
	}
	share, ok := Share(ev.Total, ev.Resend)
	if !ok {
		return Result{Decision: Refused}
	}
	ac := lg.open(id, share, ev.Deadline)
	if ac == nil {
		return Result{Decision: Refused}
	}
	ac.resends = ev.Resend
	if ev.Resend > 0 {
		return Result{Decision: Charged, Allowance: ac.left}
	}
	return Result{Decision: FirstSend, Allowance: ac.left}
}

// reopen continues the account of a request that the caller sends again. The
// share of a resend with a new number is added, and has paid for the resend;
// any other resend is paid from what the account holds.
func (lg *Ledger) reopen(ac *account, ev OpenRequest) Result {
	share, ok := Share(ev.Total, ev.Resend)
	switch {
	case ev.Resend > ac.resends && ok:
		ac.resends = ev.Resend
		ac.left += share
	case !ac.spend():
		return Result{Decision: Refused}
	}
	ac.closed = false
	if ev.Deadline.After(ac.deadline) {
		ac.deadline = ev.Deadline
		lg.expiry.Set(&ac.item, ev.Deadline.Add(lg.lim.Linger))
	}
	return Result{Decision: Charged, Allowance: ac.left}
}

// orphanLife is the time for which the calls of an unknown account are
// remembered.
const orphanLife = 10 * time.Second

func (lg *Ledger) call(now time.Time, ev Call) Result {
	ac := lg.accounts[ev.Account]
	if ac == nil {
		ac = lg.open(ev.Account, 0, now.Add(orphanLife))
	}
	if ac == nil || !ac.usable(now) {
		return Result{Decision: Refused}
	}
	if ac.first(ev.Digest, lg.lim.Calls) {
		return Result{Decision: FirstSend}
	}
	return charge(ac)
}

func (lg *Ledger) retry(now time.Time, id AccountID) Result {
	ac := lg.accounts[id]
	if ac == nil || !ac.usable(now) {
		return Result{Decision: Refused}
	}
	return charge(ac)
}

func (lg *Ledger) send(now time.Time, ev Send) Result {
	ac := lg.accounts[ev.Account]
	if ac == nil || !ac.usable(now) {
		return Result{Decision: Noted}
	}
	return Result{Decision: Noted, Allowance: ac.send(ev.Attempt, lg.lim.Calls)}
}

func (lg *Ledger) settle(id AccountID, at call.AttemptID, unused Allowance) Result {
	ac := lg.accounts[id]
	if ac == nil || ac.closed {
		return Result{Decision: Noted}
	}
	return Result{Decision: Noted, Allowance: ac.settle(at, unused)}
}

func (lg *Ledger) close(id AccountID) Result {
	ac := lg.accounts[id]
	if ac == nil || ac.closed {
		return Result{Decision: Noted}
	}
	return Result{Decision: Noted, Allowance: ac.close()}
}

func charge(ac *account) Result {
	if !ac.spend() {
		return Result{Decision: Refused}
	}
	return Result{Decision: Charged, Allowance: ac.left}
}
