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
	// Accounts is the largest number of accounts. Closed ones of attempts make room
	// for others before their time.
	Accounts int
	// Calls is the largest number of different calls and of attempts in
	// flight that an account remembers. Calls beyond it count as repeats.
	Calls int
	// Retention is the time for which an account is remembered after its
	// deadline.
	Retention time.Duration
}

// DefaultLimits returns limits for one node.
func DefaultLimits() Limits {
	return Limits{Accounts: 1 << 17, Calls: 64, Retention: 30 * time.Second}
}

// Ledger holds the retry accounts of one node. It is not safe for concurrent
// use.
type Ledger struct {
	lim Limits
	// start is the time of the first step.
	start time.Time
	// accounts holds the open ones.
	accounts map[AccountID]*account
	expiry   expiry.Queue[*account]
	closed   map[AccountID]closed
	// requests and attempts order the closed accounts by the time at which they are
	// forgotten. An account that was opened again meanwhile is there once more.
	requests, attempts expiry.KeyQueue[AccountID]
}

// New returns an empty ledger.
func New(lim Limits) *Ledger {
	return &Ledger{lim: lim, accounts: make(map[AccountID]*account), closed: make(map[AccountID]closed)}
}

// Len returns the number of accounts held, closed ones included.
func (lg *Ledger) Len() int { return len(lg.accounts) + len(lg.closed) }

// Step applies ev at the time now.
func (lg *Ledger) Step(now time.Time, ev Event) Result {
	if lg.start.IsZero() {
		lg.start = now
	}
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
		return lg.shut(ev.Account)
	}
	return Result{Decision: NoDecision}
}

func (lg *Ledger) expire(now time.Time) {
	for {
		ac, ok := lg.expiry.PopBefore(now)
		if !ok {
			break
		}
		delete(lg.accounts, ac.id)
	}
	for _, ks := range [...]*expiry.KeyQueue[AccountID]{&lg.requests, &lg.attempts} {
		for {
			_, at, ok := ks.First()
			if !ok || now.Sub(lg.start) < at {
				break
			}
			lg.forget(ks)
		}
	}
}

// forget drops the closed account that is due first, and reports whether it did.
func (lg *Ledger) forget(ks *expiry.KeyQueue[AccountID]) bool {
	id, at, _ := ks.First()
	ks.Pop()
	cl, ok := lg.closed[id]
	if !ok || cl.deadline+lg.lim.Retention > at {
		return false
	}
	delete(lg.closed, id)
	return true
}

// makeRoom forgets a closed account if the ledger is full, and reports whether there is
// room. What is known of a request bounds its retries, and is not forgotten early; a
// second opening of an attempt is refused by its guard too (package withdrawal).
func (lg *Ledger) makeRoom() bool {
	for lg.Len() >= lg.lim.Accounts {
		if lg.attempts.Len() == 0 {
			return false
		}
		lg.forget(&lg.attempts)
	}
	return true
}

// open adds an account. It returns nil when the ledger is full.
func (lg *Ledger) open(id AccountID, all Budget, deadline time.Time) *account {
	if !lg.makeRoom() {
		return nil
	}
	ac := &account{id: id, left: all, deadline: deadline}
	lg.add(ac)
	return ac
}

func (lg *Ledger) openAttempt(now time.Time, ev OpenAttempt) Result {
	id := AttemptAccount(ev.Attempt)
	if _, ended := lg.closed[id]; ended || lg.accounts[id] != nil || !now.Before(ev.Deadline) {
		return Result{Decision: Refused}
	}
	ac := lg.open(id, ev.Budget, ev.Deadline)
	if ac == nil {
		return Result{Decision: Refused}
	}
	return Result{Decision: FirstSend, Budget: ac.left}
}

func (lg *Ledger) openRequest(now time.Time, ev OpenRequest) Result {
	id := RequestAccount(ev.Request)
	if !now.Before(ev.Deadline) {
		return Result{Decision: Refused}
	}
	if _, ended := lg.closed[id]; ended || lg.accounts[id] != nil {
		res := lg.reopen(lg.revive(id), ev)
		if ended && res.Decision == Refused {
			lg.shut(id)
		}
		return res
	}
	share, ok := SendBudget(ev.Total, ev.Resend)
	if !ok {
		return Result{Decision: Refused}
	}
	ac := lg.open(id, share, ev.Deadline)
	if ac == nil {
		return Result{Decision: Refused}
	}
	ac.resends = ev.Resend
	if ev.Resend > 0 {
		return Result{Decision: Charged, Budget: ac.left}
	}
	return Result{Decision: FirstSend, Budget: ac.left}
}

// revive returns the account of a root request that is known, and makes it anew from
// what is left if it was closed.
func (lg *Ledger) revive(id AccountID) *account {
	cl, ended := lg.closed[id]
	if !ended {
		return lg.accounts[id]
	}
	delete(lg.closed, id)
	ac := &account{id: id, left: cl.left, resends: cl.resends, deadline: lg.start.Add(cl.deadline)}
	lg.add(ac)
	return ac
}

// add takes an open account in.
func (lg *Ledger) add(ac *account) {
	lg.accounts[ac.id] = ac
	ac.item.Value = ac
	lg.expiry.Set(&ac.item, ac.deadline.Add(lg.lim.Retention))
}

// reopen continues the account of a request that the caller sends again. The
// share of a resend with a new number is added, and has paid for the resend;
// any other resend is paid from what the account holds.
func (lg *Ledger) reopen(ac *account, ev OpenRequest) Result {
	share, ok := SendBudget(ev.Total, ev.Resend)
	switch {
	case ev.Resend > ac.resends && ok:
		ac.resends = ev.Resend
		ac.left += share
	case !ac.spend():
		return Result{Decision: Refused}
	}
	if ev.Deadline.After(ac.deadline) {
		ac.deadline = ev.Deadline
		lg.expiry.Set(&ac.item, ev.Deadline.Add(lg.lim.Retention))
	}
	return Result{Decision: Charged, Budget: ac.left}
}

// orphanLife is the time for which the calls of an unknown account are
// remembered.
const orphanLife = 10 * time.Second

func (lg *Ledger) call(now time.Time, ev Call) Result {
	ac := lg.accounts[ev.Account]
	if _, ended := lg.closed[ev.Account]; ac == nil && !ended {
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
		return Result{Decision: NoDecision}
	}
	return Result{Decision: NoDecision, Budget: ac.send(ev.Attempt, lg.lim.Calls)}
}

func (lg *Ledger) settle(id AccountID, at call.AttemptID, unused Budget) Result {
	ac := lg.accounts[id]
	if ac == nil {
		return Result{Decision: NoDecision}
	}
	return Result{Decision: NoDecision, Budget: ac.settle(at, unused)}
}

// shut closes an account and forfeits what is in flight. An attempt's account hands
// over what is left; a root request's keeps it.
func (lg *Ledger) shut(id AccountID) Result {
	ac := lg.accounts[id]
	if ac == nil {
		return Result{Decision: NoDecision}
	}
	delete(lg.accounts, id)
	lg.expiry.Remove(&ac.item)
	cl := closed{left: ac.left, resends: ac.resends, deadline: ac.deadline.Sub(lg.start)}
	ks := &lg.requests
	if !id.root {
		cl.left, ks = 0, &lg.attempts
	}
	lg.closed[id] = cl
	ks.Push(id, cl.deadline+lg.lim.Retention)
	return Result{Decision: NoDecision, Budget: ac.left}
}

func charge(ac *account) Result {
	if !ac.spend() {
		return Result{Decision: Refused}
	}
	return Result{Decision: Charged, Budget: ac.left}
}
