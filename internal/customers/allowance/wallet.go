package allowance

import (
	"time"

	"camphortrail/call"
)

// travelTime is the time in which a token that a node asks for usually comes from the leader, if
// the nodes on the way have none.
const travelTime = 25 * time.Millisecond

// Wallet holds the tokens for the requests of callers at a node.
type Wallet struct {
	bo       Bounds
	balances map[call.Customer]*balance
	// wanting holds the balances that may lack tokens.
	wanting []*balance
	swept   time.Time
}

// balance holds the tokens of one customer.
type balance struct {
	customer call.Customer
	lots     lots
	// waiting is the number of requests that wait for a token.
	waiting uint32
	wanting bool
	// asked, taken and refused measure the requests that came, and those that found a token
	// and that did not.
	asked, taken, refused meter
	// nextAt is the time at which the leader expects more tokens, if the latest demand was not
	// met, and received that of the latest tokens.
	nextAt, received time.Time
	uncapped         time.Time
	used             time.Time
}

// NewWallet returns an empty wallet.
func NewWallet(bo Bounds) *Wallet {
	return &Wallet{bo: bo, balances: make(map[call.Customer]*balance)}
}

// balance returns the balance of a customer, without expired tokens, or nil if there are too many.
func (wa *Wallet) balance(now time.Time, name call.Customer) *balance {
	ba := wa.balances[name]
	if ba == nil {
		if len(wa.balances) >= maxCustomers {
			return nil
		}
		ba = &balance{customer: name}
		wa.balances[name] = ba
	}
	ba.used = now
	ba.lots.expire(now.Add(-wa.bo.Lifetime()))
	return ba
}

// Arrive counts a request of a customer and takes a token for it.
func (wa *Wallet) Arrive(now time.Time, name call.Customer) (issued time.Time, ok bool) {
	if ba := wa.balance(now, name); ba != nil {
		ba.asked.add(now, 1)
	}
	return wa.Take(now, name)
}

// Take takes a token for a request that was counted. issued is a time at which, or before
// which, it was issued.
func (wa *Wallet) Take(now time.Time, name call.Customer) (issued time.Time, ok bool) {
	ba := wa.balance(now, name)
	if ba == nil {
		return time.Time{}, false
	}
	if !ba.uncapped.IsZero() && now.Sub(ba.uncapped) < wa.bo.Lifetime() {
		return ba.uncapped, true
	}
	issued, n := ba.lots.take(1)
	if n == 0 {
		wa.want(ba)
		return time.Time{}, false
	}
	ba.taken.add(now, 1)
	if ba.lots.held() <= ba.asked.target(now)/2 {
		wa.want(ba)
	}
	return issued, true
}

// Return gives back the token of a request that did not run. issued is what Take returned.
func (wa *Wallet) Return(now time.Time, name call.Customer, issued time.Time) {
	if now.Sub(issued) >= wa.bo.Lifetime() {
		return
	}
	if ba := wa.balance(now, name); ba != nil && ba.uncapped.IsZero() {
		ba.lots.add(issued, 1)
	}
}

// Wait counts a request that waits for a token, and StopWaiting one that does so no longer.
func (wa *Wallet) Wait(now time.Time, name call.Customer) {
	if ba := wa.balance(now, name); ba != nil {
		ba.waiting++
		wa.want(ba)
	}
}

// StopWaiting counts a request that waits no longer, with or without a token.
func (wa *Wallet) StopWaiting(now time.Time, name call.Customer) {
	if ba := wa.balance(now, name); ba != nil && ba.waiting > 0 {
		ba.waiting--
	}
}

// Refuse counts a refused request.
func (wa *Wallet) Refuse(now time.Time, name call.Customer) {
	if ba := wa.balance(now, name); ba != nil {
		ba.refused.add(now, 1)
	}
}

// ExpectsNone reports whether a request that waits until a time is not expected to get a token: the
// leader has none before. A token that comes too late would expire on its way.
func (wa *Wallet) ExpectsNone(name call.Customer, until time.Time) bool {
	ba := wa.balances[name]
	return ba != nil && ba.nextAt.Add(travelTime).After(until)
}

// NextAt returns the time at which the leader expects more tokens, or zero if it is unknown.
func (wa *Wallet) NextAt(name call.Customer) time.Time {
	if ba := wa.balances[name]; ba != nil {
		return ba.nextAt
	}
	return time.Time{}
}

// Backlog returns the time in which the node gets tokens for as many requests as it refused
// lately, at most the given time. The callers of these requests come again.
func (wa *Wallet) Backlog(now time.Time, name call.Customer, most time.Duration) time.Duration {
	ba := wa.balances[name]
	if ba == nil {
		return 0
	}
	refused, taken := ba.refused.perSecond(now), ba.taken.perSecond(now)
	if refused >= taken*most.Seconds() {
		return most
	}
	return time.Duration(refused / taken * float64(time.Second))
}

// Held returns the number of tokens of a customer, and the time since the latest were received.
// It is for logs.
func (wa *Wallet) Held(now time.Time, name call.Customer) (n uint32, age time.Duration) {
	ba := wa.balances[name]
	if ba == nil || ba.received.IsZero() {
		return 0, 0
	}
	ba.lots.expire(now.Add(-wa.bo.Lifetime()))
	return ba.lots.held(), now.Sub(ba.received)
}

// want adds a balance to those that may lack tokens.
func (wa *Wallet) want(ba *balance) {
	if !ba.wanting {
		ba.wanting = true
		wa.wanting = append(wa.wanting, ba)
	}
}

// Demands appends what the wallet lacks to out.
func (wa *Wallet) Demands(now time.Time, out []Demand) []Demand {
	kept := wa.wanting[:0]
	for _, ba := range wa.wanting {
		ba.lots.expire(now.Add(-wa.bo.Lifetime()))
		want, held := ba.waiting+ba.asked.target(now), ba.lots.held()
		if want > held {
			out = append(out, Demand{Customer: ba.customer, Requests: want - held})
		}
		if ba.waiting > 0 {
			kept = append(kept, ba)
		} else {
			ba.wanting = false
		}
	}
	clear(wa.wanting[len(kept):])
	wa.wanting = kept
	wa.sweep(now)
	return out
}

// Receive adds the tokens of an answer to the query that was sent at asked.
func (wa *Wallet) Receive(asked, now time.Time, grants []Grant) {
	for _, gr := range grants {
		issued := asked.Add(-max(0, gr.Age))
		if now.Sub(issued) >= wa.bo.Lifetime() {
			continue
		}
		ba := wa.balance(now, gr.Customer)
		if ba == nil {
			continue
		}
		switch {
		case gr.Uncapped:
			ba.uncapped = issued
		case gr.Requests > 0:
			ba.uncapped, ba.nextAt, ba.received = time.Time{}, time.Time{}, issued
			ba.lots.add(issued, gr.Requests)
		}
		if gr.RetryAfter > 0 {
			ba.nextAt = now.Add(gr.RetryAfter)
		}
	}
}

// sweep drops the state of customers that were not used for long.
func (wa *Wallet) sweep(now time.Time) {
	if now.Sub(wa.swept) < idleTime {
		return
	}
	wa.swept = now
	for name, ba := range wa.balances {
		if !ba.wanting && now.Sub(ba.used) > idleTime {
			delete(wa.balances, name)
		}
	}
}
