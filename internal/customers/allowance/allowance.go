// Package allowance keeps the requests of each customer within its usage cap over all nodes.
// The leader of the control replicas holds a token bucket for each customer (Bucket). Nodes
// fetch tokens on demand over the renewal tree: each node has a Wallet for its own requests and
// a Stock for its children, and fetches for both of them. A token lets one request start. It is
// transferred, never copied, and expires a lifetime after the leader issued it, wherever it is.
//
// What starts in any window is therefore at most what was issued within the window and one
// lifetime before it. See docs/design/usage-caps.md.
//
// The types of this package are state machines: the time, of a clock that continues during a
// suspension, is an argument. They are not safe for concurrent use.
package allowance

import (
	"math"
	"time"

	"camphortrail/call"
)

const (
	// maxLifetime is the time after which a token expires. It bounds what can be spent beyond
	// the rate, and what a lost node or link costs.
	maxLifetime = 400 * time.Millisecond
	// minLifetime is the least time after which a token expires. If it takes more than the
	// overage, buckets fill more slowly instead.
	minLifetime = 100 * time.Millisecond
	// lifetimePart is the part of the overage on the rate that the lifetime of tokens uses.
	lifetimePart = 0.8
	// minRemaining is the remaining lifetime below which tokens are not given to a child, which
	// could hardly spend them.
	minRemaining = 10 * time.Millisecond
	// maxRetryWait bounds the time for which a node does not ask for a customer whose cap is
	// reached, so that a raised cap is noticed.
	maxRetryWait = 250 * time.Millisecond
	// retryInterval divides time into intervals at whose ends a node asks again for customers
	// whose cap is reached, for all of them together.
	retryInterval = 20 * time.Millisecond
	// prefetchTime is the time for which expected requests get tokens in advance. With 150 ms a
	// node holds tokens only of customers with 7 requests per second and more there; of them
	// less than a tenth expire unused.
	prefetchTime = 150 * time.Millisecond
	// rateTime is the time constant of measured rates.
	rateTime = 2 * time.Second
	// idleTime is the time after which the state of an unused customer is dropped.
	idleTime = 15 * time.Second
	// maxCustomers bounds the customers of which a node keeps state, beyond any configuration.
	maxCustomers = 1 << 14
)

// Cap is the usage cap of a customer: the rate in requests per second, and the number of
// requests that may come at once beyond it.
type Cap struct{ Rate, Burst float64 }

// Bounds are the bounds of all usage caps: in any Window at most
// (Rate x Window + Burst) x (1 + Overage) + Slack requests of a customer start.
type Bounds struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// Most returns the number of requests that may start in any window.
func (bo Bounds) Most(cp Cap) float64 {
	return (cp.Rate*bo.Window.Seconds()+cp.Burst)*(1+bo.Overage) + bo.Slack
}

// Lifetime returns the time after which tokens expire.
func (bo Bounds) Lifetime() time.Duration {
	return max(minLifetime, min(maxLifetime, time.Duration(lifetimePart*bo.Overage*float64(bo.Window))))
}

// rate returns the rate at which a bucket fills, in tokens per second. It is less than that of
// the cap only if the overage is very small.
func (bo Bounds) rate(cp Cap) float64 {
	return cp.Rate * min(1, (1+bo.Overage)*bo.Window.Seconds()/(bo.Window+bo.Lifetime()).Seconds())
}

// share returns the part of the overage and the slack that the root of each failure domain has
// as its reserve, and that the leader adds to the burst.
func (bo Bounds) share(cp Cap, domains int) float64 {
	left := bo.Most(cp) - bo.rate(cp)*(bo.Window+bo.Lifetime()).Seconds() - cp.Burst
	return max(0, left/float64(max(domains, 1)+1))
}

// depth returns the number of tokens that a full bucket holds. It is at least 1, as otherwise
// no token could be issued.
func (bo Bounds) depth(cp Cap, domains int) float64 {
	return max(1, cp.Burst+bo.share(cp, domains))
}

// reserve returns the number of requests that the root of a failure domain may let start in any
// window while its own queries stay unanswered.
func (bo Bounds) reserve(cp Cap, domains int) uint32 {
	return uint32(min(math.Floor(bo.share(cp, domains)), math.MaxInt32))
}

// Demand is what a node needs for the requests of a customer.
type Demand struct {
	Customer call.Customer
	// Requests is the number of requests that wait or are expected soon, for which there is no
	// token.
	Requests uint32
}

// Grant transfers tokens of a customer.
type Grant struct {
	Customer call.Customer
	Requests uint32
	// Age is the time since the leader issued the tokens.
	Age time.Duration
	// RetryAfter is the time until the leader expects more, or 0 if it is unknown. It is set
	// only if the demand was not met.
	RetryAfter time.Duration
	// Uncapped is true if the customer has no usage cap in the newest configuration.
	Uncapped bool
}

// maxLots is the number of different times of issue that a node distinguishes for a customer.
const maxLots = 4

// lot is a number of tokens that were issued at the same time.
type lot struct {
	issued time.Time
	n      uint32
}

// lots holds tokens, the oldest first.
type lots struct {
	list [maxLots]lot
	len  int
}

// add adds tokens. If there are too many lots, it merges the two that are nearest in time, with
// the earlier time.
func (ls *lots) add(issued time.Time, n uint32) {
	if n == 0 {
		return
	}
	for i := range ls.len {
		if ls.list[i].issued.Equal(issued) {
			ls.list[i].n += n
			return
		}
	}
	if ls.len == maxLots {
		ls.mergeNearest()
	}
	i := ls.len
	for ; i > 0 && issued.Before(ls.list[i-1].issued); i-- {
		ls.list[i] = ls.list[i-1]
	}
	ls.list[i] = lot{issued, n}
	ls.len++
}

// mergeNearest merges the two lots that are nearest in time.
func (ls *lots) mergeNearest() {
	at := 1
	for i := 2; i < ls.len; i++ {
		if ls.gap(i) < ls.gap(at) {
			at = i
		}
	}
	ls.list[at-1].n += ls.list[at].n
	copy(ls.list[at:ls.len], ls.list[at+1:ls.len])
	ls.len--
}

// gap returns the time between lot i and the one before it.
func (ls *lots) gap(i int) time.Duration { return ls.list[i].issued.Sub(ls.list[i-1].issued) }

// expire drops the tokens that were issued at or before the given time.
func (ls *lots) expire(before time.Time) {
	drop := 0
	for drop < ls.len && !ls.list[drop].issued.After(before) {
		drop++
	}
	if drop > 0 {
		copy(ls.list[:], ls.list[drop:ls.len])
		ls.len -= drop
	}
}

// held returns the number of tokens.
func (ls *lots) held() (n uint32) {
	for i := range ls.len {
		n += ls.list[i].n
	}
	return n
}

// take takes up to n tokens of the oldest lot.
func (ls *lots) take(n uint32) (issued time.Time, taken uint32) {
	if ls.len == 0 || n == 0 {
		return time.Time{}, 0
	}
	first := &ls.list[0]
	issued, taken = first.issued, min(n, first.n)
	first.n -= taken
	if first.n == 0 {
		copy(ls.list[:], ls.list[1:ls.len])
		ls.len--
	}
	return issued, taken
}

// meter measures a rate as an exponential mean.
type meter struct {
	value float64
	at    time.Time
}

// add counts n events.
func (me *meter) add(now time.Time, n float64) {
	me.value = me.sum(now) + n
	me.at = now
}

// sum returns the number of events, each weighted by its age.
func (me *meter) sum(now time.Time) float64 {
	if me.value == 0 {
		return 0
	}
	return me.value * math.Exp(-max(0, now.Sub(me.at)).Seconds()/rateTime.Seconds())
}

// perSecond returns the rate.
func (me *meter) perSecond(now time.Time) float64 { return me.sum(now) / rateTime.Seconds() }

// target returns the number of tokens that are fetched in advance.
func (me *meter) target(now time.Time) uint32 {
	return uint32(me.perSecond(now) * prefetchTime.Seconds())
}
