// Package retry bounds the retries of a request. A Ledger limits them to a fixed total
// over the whole call tree of a root request. A Ratio limits them to a percentage of the
// successes of a service.
//
// The total is divided, not copied: an attempt carries a part of its parent's budget down
// and returns the unused part. The sum of all that is held, carried and spent therefore
// never exceeds the total, even if messages are lost, duplicated or reordered.
package retry

import (
	"time"

	"camphortrail/call"
	"camphortrail/internal/state/expiry"
)

// Limits bounds a Ledger.
type Limits struct {
	// Accounts is the largest number of accounts. When it is reached, closed accounts of
	// attempts are removed early.
	Accounts int
	// Calls is the largest number of different calls, and of attempts in flight, in an
	// account. Calls beyond it count as repeats; attempts beyond it carry no budget.
	Calls int
	// Retention is the time for which an account is held after its deadline.
	Retention time.Duration
}

// DefaultLimits returns limits for one node.
func DefaultLimits() Limits {
	return Limits{Accounts: 1 << 17, Calls: 64, Retention: 30 * time.Second}
}

// Ledger holds the retry accounts of one node. It is not safe for concurrent use.
type Ledger struct {
	limits Limits
	// start is the time of the first Step.
	start time.Time
	// accounts holds the open accounts.
	accounts map[AccountID]*account
	expiry   expiry.Queue[*account]
	closed   map[AccountID]closedAccount
	// closedRequests and closedAttempts order the closed accounts by the time at which
	// they expire. An account that was opened and closed again has one item for each
	// time.
	closedRequests, closedAttempts expiry.KeyQueue[AccountID]
}

// New returns an empty ledger.
func New(lim Limits) *Ledger {
	return &Ledger{limits: lim, accounts: make(map[AccountID]*account), closed: make(map[AccountID]closedAccount)}
}

// Len returns the number of accounts, closed ones included.
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
		return lg.credit(ev.Account, ev.Attempt, ev.Unused)
	case Lost:
		return lg.credit(ev.Account, ev.Attempt, 0)
	case Close:
		return lg.closeAccount(ev.Account)
	}
	return Result{Decision: NoDecision}
}

// expire removes the accounts whose time has passed.
func (lg *Ledger) expire(now time.Time) {
	for {
		ac, ok := lg.expiry.PopBefore(now)
		if !ok {
			break
		}
		delete(lg.accounts, ac.id)
	}
	for _, queue := range [...]*expiry.KeyQueue[AccountID]{&lg.closedRequests, &lg.closedAttempts} {
		for {
			_, at, ok := queue.First()
			if !ok || now.Sub(lg.start) < at {
				break
			}
			lg.dropFirst(queue)
		}
	}
}

// dropFirst removes the closed account that expires first. It returns false if that
// account was opened again or its deadline was extended.
func (lg *Ledger) dropFirst(queue *expiry.KeyQueue[AccountID]) bool {
	id, at, _ := queue.First()
	queue.Pop()
	cl, ok := lg.closed[id]
	if !ok || cl.deadline+lg.limits.Retention > at {
		return false
	}
	delete(lg.closed, id)
	return true
}

// ensureCapacity removes closed accounts of attempts while the ledger is full, and
// reports whether it has capacity for one more. Accounts of requests are not removed
// early, since they bound the retries of a resend. Accounts of attempts can be: when an
// attempt arrives again, its guard refuses it as well (package withdrawal).
func (lg *Ledger) ensureCapacity() bool {
	for lg.Len() >= lg.limits.Accounts {
		if lg.closedAttempts.Len() == 0 {
			return false
		}
		lg.dropFirst(&lg.closedAttempts)
	}
	return true
}

// openAccount adds an account. It returns nil if the ledger is full.
func (lg *Ledger) openAccount(id AccountID, all Budget, deadline time.Time) *account {
	if !lg.ensureCapacity() {
		return nil
	}
	ac := &account{id: id, budget: all, deadline: deadline}
	lg.add(ac)
	return ac
}

// openAttempt opens the account of an attempt that was not seen before.
func (lg *Ledger) openAttempt(now time.Time, ev OpenAttempt) Result {
	id := AttemptAccount(ev.Attempt)
	if _, ended := lg.closed[id]; ended || lg.accounts[id] != nil || !now.Before(ev.Deadline) {
		return Result{Decision: Refused}
	}
	ac := lg.openAccount(id, ev.Budget, ev.Deadline)
	if ac == nil {
		return Result{Decision: Refused}
	}
	return Result{Decision: FirstSend, Budget: ac.budget}
}

// openRequest opens the account of a root request, or continues a known one.
func (lg *Ledger) openRequest(now time.Time, ev OpenRequest) Result {
	id := RequestAccount(ev.Request)
	if !now.Before(ev.Deadline) {
		return Result{Decision: Refused}
	}
	if _, ended := lg.closed[id]; ended || lg.accounts[id] != nil {
		res := lg.continueRequest(lg.reactivate(id), ev)
		if ended && res.Decision == Refused {
			lg.closeAccount(id)
		}
		return res
	}
	share, ok := SendBudget(ev.Total, ev.Resend)
	if !ok {
		return Result{Decision: Refused}
	}
	ac := lg.openAccount(id, share, ev.Deadline)
	if ac == nil {
		return Result{Decision: Refused}
	}
	ac.resends = ev.Resend
	if ev.Resend > 0 {
		return Result{Decision: Charged, Budget: ac.budget}
	}
	return Result{Decision: FirstSend, Budget: ac.budget}
}

// reactivate returns the known account of a root request. If it was closed, it is opened
// again with the remaining budget.
func (lg *Ledger) reactivate(id AccountID) *account {
	cl, ended := lg.closed[id]
	if !ended {
		return lg.accounts[id]
	}
	delete(lg.closed, id)
	ac := &account{id: id, budget: cl.budget, resends: cl.resends, deadline: lg.start.Add(cl.deadline)}
	lg.add(ac)
	return ac
}

// add inserts an open account.
func (lg *Ledger) add(ac *account) {
	lg.accounts[ac.id] = ac
	ac.item.Value = ac
	lg.expiry.Set(&ac.item, ac.deadline.Add(lg.limits.Retention))
}

// continueRequest continues the account of a request that the caller sends again. A
// resend with a new number adds its own part of the total, from which the resend itself
// is already deducted. Any other resend is charged to the account.
func (lg *Ledger) continueRequest(ac *account, ev OpenRequest) Result {
	share, ok := SendBudget(ev.Total, ev.Resend)
	switch {
	case ev.Resend > ac.resends && ok:
		ac.resends = ev.Resend
		ac.budget += share
	case !ac.spend():
		return Result{Decision: Refused}
	}
	if ev.Deadline.After(ac.deadline) {
		ac.deadline = ev.Deadline
		lg.expiry.Set(&ac.item, ev.Deadline.Add(lg.limits.Retention))
	}
	return Result{Decision: Charged, Budget: ac.budget}
}

// unknownAccountLifetime is the time for which the calls of an unknown account are
// recorded.
const unknownAccountLifetime = 10 * time.Second

func (lg *Ledger) call(now time.Time, ev Call) Result {
	ac := lg.accounts[ev.Account]
	if _, ended := lg.closed[ev.Account]; ac == nil && !ended {
		ac = lg.openAccount(ev.Account, 0, now.Add(unknownAccountLifetime))
	}
	if ac == nil || !ac.usable(now) {
		return Result{Decision: Refused}
	}
	if ac.recordCall(ev.Digest, lg.limits.Calls) {
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
	return Result{Decision: NoDecision, Budget: ac.allocate(ev.Attempt, lg.limits.Calls)}
}

// credit credits the unused part of an attempt's budget to an account.
func (lg *Ledger) credit(id AccountID, at call.AttemptID, unused Budget) Result {
	ac := lg.accounts[id]
	if ac == nil {
		return Result{Decision: NoDecision}
	}
	return Result{Decision: NoDecision, Budget: ac.credit(at, unused)}
}

// closeAccount closes an account, gives up the budget in flight and returns the remaining
// budget. Only the account of a root request retains that budget, for a resend.
func (lg *Ledger) closeAccount(id AccountID) Result {
	ac := lg.accounts[id]
	if ac == nil {
		return Result{Decision: NoDecision}
	}
	delete(lg.accounts, id)
	lg.expiry.Remove(&ac.item)
	cl := closedAccount{budget: ac.budget, resends: ac.resends, deadline: ac.deadline.Sub(lg.start)}
	queue := &lg.closedRequests
	if !id.root {
		cl.budget, queue = 0, &lg.closedAttempts
	}
	lg.closed[id] = cl
	queue.Push(id, cl.deadline+lg.limits.Retention)
	return Result{Decision: NoDecision, Budget: ac.budget}
}

// charge spends one retry of the account, or refuses the send.
func charge(ac *account) Result {
	if !ac.spend() {
		return Result{Decision: Refused}
	}
	return Result{Decision: Charged, Budget: ac.budget}
}
