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
	bo     Bounds
	purses map[call.Customer]*purse
	// wanting holds the purses that may lack tokens.
	wanting []*purse
	swept   time.Time
}

// purse holds the tokens of one customer.
type purse struct {
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
	return &Wallet{bo: bo, purses: make(map[call.Customer]*purse)}
}

// purse returns the purse of a customer, without expired tokens, or nil if there are too many.
func (wa *Wallet) purse(now time.Time, name call.Customer) *purse {
	pu := wa.purses[name]
	if pu == nil {
		if len(wa.purses) >= maxCustomers {
			return nil
		}
		pu = &purse{customer: name}
		wa.purses[name] = pu
	}
	pu.used = now
	pu.lots.expire(now.Add(-wa.bo.Lifetime()))
	return pu
}

// Arrive counts a request of a customer and takes a token for it.
func (wa *Wallet) Arrive(now time.Time, name call.Customer) (issued time.Time, ok bool) {
	if pu := wa.purse(now, name); pu != nil {
		pu.asked.add(now, 1)
	}
	return wa.Take(now, name)
}

// Take takes a token for a request that was counted. issued is a time at which, or before
// which, it was issued.
func (wa *Wallet) Take(now time.Time, name call.Customer) (issued time.Time, ok bool) {
	pu := wa.purse(now, name)
	if pu == nil {
		return time.Time{}, false
	}
	if !pu.uncapped.IsZero() && now.Sub(pu.uncapped) < wa.bo.Lifetime() {
		return pu.uncapped, true
	}
	issued, n := pu.lots.take(1)
	if n == 0 {
		wa.want(pu)
		return time.Time{}, false
	}
	pu.taken.add(now, 1)
	if pu.lots.held() <= pu.asked.target(now)/2 {
		wa.want(pu)
	}
	return issued, true
}

// Return gives back the token of a request that did not run. issued is what Take returned.
func (wa *Wallet) Return(now time.Time, name call.Customer, issued time.Time) {
	if now.Sub(issued) >= wa.bo.Lifetime() {
		return
	}
	if pu := wa.purse(now, name); pu != nil && pu.uncapped.IsZero() {
		pu.lots.add(issued, 1)
	}
}

// Wait counts a request that waits for a token, and StopWaiting one that does so no longer.
func (wa *Wallet) Wait(now time.Time, name call.Customer) {
	if pu := wa.purse(now, name); pu != nil {
		pu.waiting++
		wa.want(pu)
	}
}

// StopWaiting counts a request that waits no longer, with or without a token.
func (wa *Wallet) StopWaiting(now time.Time, name call.Customer) {
	if pu := wa.purse(now, name); pu != nil && pu.waiting > 0 {
		pu.waiting--
	}
}

// Refuse counts a refused request.
func (wa *Wallet) Refuse(now time.Time, name call.Customer) {
	if pu := wa.purse(now, name); pu != nil {
		pu.refused.add(now, 1)
	}
}

// Hopeless reports whether a request that waits until a time is not expected to get a token: the
// leader has none before. A token that comes too late would expire on its way.
func (wa *Wallet) Hopeless(name call.Customer, until time.Time) bool {
	pu := wa.purses[name]
	return pu != nil && pu.nextAt.Add(travelTime).After(until)
}

// NextAt returns the time at which the leader expects more tokens, or zero if it is unknown.
func (wa *Wallet) NextAt(name call.Customer) time.Time {
	if pu := wa.purses[name]; pu != nil {
		return pu.nextAt
	}
	return time.Time{}
}

// Backlog returns the time in which the node gets tokens for as many requests as it refused
// lately, at most the given time. The callers of these requests come again.
func (wa *Wallet) Backlog(now time.Time, name call.Customer, most time.Duration) time.Duration {
	pu := wa.purses[name]
	if pu == nil {
		return 0
	}
	refused, taken := pu.refused.perSecond(now), pu.taken.perSecond(now)
	if refused >= taken*most.Seconds() {
		return most
	}
	return time.Duration(refused / taken * float64(time.Second))
}

// Held returns the number of tokens of a customer, and the time since the latest were received.
// It is for logs.
func (wa *Wallet) Held(now time.Time, name call.Customer) (n uint32, age time.Duration) {
	pu := wa.purses[name]
	if pu == nil || pu.received.IsZero() {
		return 0, 0
	}
	pu.lots.expire(now.Add(-wa.bo.Lifetime()))
	return pu.lots.held(), now.Sub(pu.received)
}

// want adds a purse to those that may lack tokens.
func (wa *Wallet) want(pu *purse) {
	if !pu.wanting {
		pu.wanting = true
		wa.wanting = append(wa.wanting, pu)
	}
}

// Demands appends what the wallet lacks to out.
func (wa *Wallet) Demands(now time.Time, out []Demand) []Demand {
	kept := wa.wanting[:0]
	for _, pu := range wa.wanting {
		pu.lots.expire(now.Add(-wa.bo.Lifetime()))
		want, held := pu.waiting+pu.asked.target(now), pu.lots.held()
		if want > held {
			out = append(out, Demand{Customer: pu.customer, Requests: want - held})
		}
		if pu.waiting > 0 {
			kept = append(kept, pu)
		} else {
			pu.wanting = false
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
		pu := wa.purse(now, gr.Customer)
		if pu == nil {
			continue
		}
		switch {
		case gr.Uncapped:
			pu.uncapped = issued
		case gr.Requests > 0:
			pu.uncapped, pu.nextAt, pu.received = time.Time{}, time.Time{}, issued
			pu.lots.add(issued, gr.Requests)
		}
		if gr.RetryAfter > 0 {
			pu.nextAt = now.Add(gr.RetryAfter)
		}
	}
}

// sweep drops the state of customers that were not used for long.
func (wa *Wallet) sweep(now time.Time) {
	if now.Sub(wa.swept) < idleTime {
		return
	}
	wa.swept = now
	for name, pu := range wa.purses {
		if !pu.wanting && now.Sub(pu.used) > idleTime {
			delete(wa.purses, name)
		}
	}
}
