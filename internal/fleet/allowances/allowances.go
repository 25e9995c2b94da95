// Package allowances keeps the requests at a node within the usage caps of their customers. It
// carries the state machines of package allowance: requests wait in it for tokens, which the node
// fetches with its renewals. On a control replica it issues the tokens.
package allowances

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"camphortrail/call"
	"camphortrail/config"
	"camphortrail/internal/customers/allowance"
	"camphortrail/internal/state/boottime"
	"camphortrail/internal/traffic/entry"
	"camphortrail/schema"
)

const (
	// maxDemand bounds the number of requests in a demand.
	maxDemand = 1 << 20
	// unknownChild stands for the name of a child that does not tell it.
	unknownChild = "(unknown)"
	// maxNextWait bounds the part of a Retry-After until the leader has tokens again, and
	// maxSpread that over which the callers of refused requests are spread. minSpread keeps
	// callers apart that were refused at the same time.
	maxNextWait = 2 * time.Second
	maxSpread   = 2 * time.Second
	minSpread   = 100 * time.Millisecond
)

// Options configure the allowances of a node.
type Options struct {
	Bounds allowance.Bounds
	// AskNow makes the node query its parent at once. It must not block, nor call methods of
	// Allowances.
	AskNow func()
	// IsRoot reports whether the node is the root of its failure domain. It must be true on at
	// most one node of a failure domain, except for some seconds after a change: a node that
	// sees less than half of its failure domain is not the root. It is called for each query,
	// and must not block, nor call methods of Allowances.
	IsRoot  func() bool
	Metrics *metrics.Set
	Log     log.Interface
	// Seed is the seed of the random part of the times after which callers may retry.
	Seed uint64
	// Now returns the current time. If it is nil, that is boottime.Now.
	Now func() time.Time
}

// Allowances implements entry.Allowances and the allowances of package renewal. All times are
// those of boottime.Now. Its methods are safe for concurrent use.
type Allowances struct {
	opt    Options
	config atomic.Pointer[config.Compiled]

	mu   sync.Mutex
	node *allowance.Node
	rng  *rand.Rand
	// waiting is the number of requests that wait, and changed is closed when they should look
	// for tokens.
	waiting int
	changed chan struct{}
	// pace bounds the queries for waiting requests, and asking is true while one is due.
	pace   allowance.Pace
	asking bool
	usage  usage

	demands []allowance.Demand
	grants  []allowance.Grant
}

// New returns the allowances of a node that has no tokens and no configuration.
func New(opt Options) *Allowances {
	if opt.Now == nil {
		opt.Now = boottime.Now
	}
	al := &Allowances{
		opt: opt, rng: rand.New(rand.NewPCG(opt.Seed, ^opt.Seed)), changed: make(chan struct{}),
		usage: newUsage(opt.Log),
	}
	al.node = allowance.NewNode(opt.Bounds, al.capOf)
	al.registerMetrics(opt.Metrics)
	return al
}

// SetConfiguration puts the caps of a configuration into force.
func (al *Allowances) SetConfiguration(cd *config.Compiled) {
	al.config.Store(cd)
	al.mu.Lock()
	defer al.mu.Unlock()
	al.node.Stock.SetDomains(len(cd.FailureDomains))
}

// capOf returns the cap of a customer in the configuration in force.
func (al *Allowances) capOf(name call.Customer) (allowance.Cap, bool) {
	cd := al.config.Load()
	if cd == nil {
		return allowance.Cap{}, false
	}
	cu, ok := cd.Customer(name)
	if !ok || cu.Rate == 0 {
		return allowance.Cap{}, false
	}
	return allowance.Cap{Rate: cu.Rate, Burst: cu.Burst}, true
}

// Take implements entry.Allowances.
func (al *Allowances) Take(ctx context.Context, cu *config.Customer, wait time.Duration) entry.Allowance {
	al.mu.Lock()
	now := al.opt.Now()
	issued, ok, ask := al.node.Arrive(now, cu.Name)
	if ok {
		al.usage.take(cu.Name)
	} else {
		al.waiting++
	}
	askNow := ask && al.mayAsk(now)
	al.mu.Unlock()
	if askNow {
		al.opt.AskNow()
	}
	if ok {
		return entry.Allowance{Allowed: true, Issued: issued}
	}
	return al.waitForToken(ctx, cu.Name, now, wait)
}

// waitForToken waits for a token of a request that came at begun and was counted as a waiting one.
func (al *Allowances) waitForToken(ctx context.Context, name call.Customer, begun time.Time, wait time.Duration) entry.Allowance {
	until := begun.Add(wait)
	for tries := 0; ; tries++ {
		answer, changed, ended := al.retake(ctx, name, until, tries > 0)
		if ended {
			return answer
		}
		timer := time.NewTimer(max(0, min(allowance.AskAgain(wait, tries), until.Sub(al.opt.Now()))))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// retake takes a token for a waiting request, if there is one now. ended is true if the request
// waits no longer. Otherwise changed is closed when there may be one, and the parent is queried
// if mayAsk is true.
func (al *Allowances) retake(ctx context.Context, name call.Customer, until time.Time, mayAsk bool) (answer entry.Allowance, changed <-chan struct{}, ended bool) {
	al.mu.Lock()
	now := al.opt.Now()
	issued, ok, ask := al.node.Retake(now, name)
	switch {
	case ok:
		al.waiting--
		al.usage.take(name)
		answer, ended = entry.Allowance{Allowed: true, Issued: issued}, true
	case !now.Before(until) || ctx.Err() != nil || al.node.Wallet.ExpectsNone(name, until):
		al.waiting--
		al.node.Wallet.StopWaiting(now, name)
		answer, ended = al.refuse(now, name), true
	}
	askNow := !ended && mayAsk && ask && al.mayAsk(now)
	changed = al.changed
	al.mu.Unlock()
	if askNow {
		al.opt.AskNow()
	}
	return answer, changed, ended
}

// refuse counts a refusal and returns it.
func (al *Allowances) refuse(now time.Time, name call.Customer) entry.Allowance {
	wa := al.node.Wallet
	wa.Refuse(now, name)
	al.usage.refuse(now, name)
	var next time.Duration
	if at := wa.NextAt(name); !at.IsZero() {
		next = max(0, min(at.Sub(now), maxNextWait))
	}
	spread := max(minSpread, wa.Backlog(now, name, maxSpread))
	held, age := wa.Held(now, name)
	return entry.Allowance{
		RetryAfter: next + minSpread/2 + time.Duration(al.rng.Float64()*float64(spread)), Held: held, Age: age,
	}
}

// mayAsk reports whether the parent may be queried now. If it was queried just before, another
// query is arranged for the time when it may be.
func (al *Allowances) mayAsk(now time.Time) bool {
	if al.asking {
		return false
	}
	wait := al.pace.Next(now)
	al.asking = true
	if wait == 0 {
		return true
	}
	time.AfterFunc(wait, al.opt.AskNow)
	return false
}

// Return implements entry.Allowances.
func (al *Allowances) Return(cu *config.Customer, an entry.Allowance) {
	al.mu.Lock()
	defer al.mu.Unlock()
	al.usage.giveBack(cu.Name)
	al.node.Wallet.Return(al.opt.Now(), cu.Name, an.Issued)
	al.wake()
}

// wake lets the waiting requests look for tokens.
func (al *Allowances) wake() {
	if al.waiting > 0 {
		close(al.changed)
		al.changed = make(chan struct{})
	}
}

// Demands returns what the node asks its parent for. It must be called once for each query, also
// if the query needs no tokens.
func (al *Allowances) Demands(now time.Time) []*schema.CustomerDemand {
	root := al.opt.IsRoot()
	al.mu.Lock()
	defer al.mu.Unlock()
	al.node.Stock.SetRoot(now, root)
	al.usage.logCeased(now)
	al.pace.Sent(now)
	al.asking = false
	al.demands = al.node.Demands(now, al.demands[:0])
	if len(al.demands) == 0 {
		return nil
	}
	list := make([]*schema.CustomerDemand, 0, len(al.demands))
	for _, de := range al.demands {
		list = append(list, &schema.CustomerDemand{Customer: string(de.Customer), Requests: de.Requests})
	}
	return list
}

// Receive takes the allowances of the answer to the query that was sent at asked. Each query needs
// a time of its own, which must not be later than the query: it tells answers that arrive twice.
// Receive must be called for each answer, also for one without allowances: a root whose queries
// stay unanswered uses its reserve.
func (al *Allowances) Receive(asked, now time.Time, list []*schema.CustomerAllowance) {
	al.mu.Lock()
	al.grants = al.grants[:0]
	for _, ca := range list {
		al.grants = append(al.grants, allowance.Grant{
			Customer: call.Customer(ca.GetCustomer()), Requests: ca.GetRequests(), Age: microseconds(ca.GetAgeUs()),
			RetryAfter: microseconds(ca.GetRetryAfterUs()), Uncapped: ca.GetUncapped(),
		})
	}
	ask := al.node.Receive(asked, now, al.grants)
	al.wake()
	askNow := ask && al.mayAsk(now)
	al.mu.Unlock()
	if askNow {
		al.opt.AskNow()
	}
}

// Grant answers the demands of a child. If they are not met, the node queries its own parent, and
// the child asks again. The child must get the answer at most once.
func (al *Allowances) Grant(now time.Time, child string, list []*schema.CustomerDemand) []*schema.CustomerAllowance {
	if len(list) == 0 {
		return nil
	}
	if child == "" {
		child = unknownChild
	}
	al.mu.Lock()
	al.demands = readDemands(al.demands[:0], list)
	grants, ask := al.node.Grant(now, child, al.demands, al.grants[:0])
	al.grants = grants
	answer := writeGrants(grants)
	askNow := ask && al.mayAsk(now)
	al.mu.Unlock()
	if askNow {
		al.opt.AskNow()
	}
	return answer
}

// readDemands appends the demands of a message to out.
func readDemands(out []allowance.Demand, list []*schema.CustomerDemand) []allowance.Demand {
	for _, cd := range list {
		out = append(out, allowance.Demand{Customer: call.Customer(cd.GetCustomer()), Requests: min(cd.GetRequests(), maxDemand)})
	}
	return out
}

// writeGrants returns the message of grants.
func writeGrants(grants []allowance.Grant) []*schema.CustomerAllowance {
	list := make([]*schema.CustomerAllowance, 0, len(grants))
	for _, gr := range grants {
		list = append(list, &schema.CustomerAllowance{
			Customer: string(gr.Customer), Requests: gr.Requests, AgeUs: roundUp(gr.Age), RetryAfterUs: roundUp(gr.RetryAfter),
			Uncapped: gr.Uncapped,
		})
	}
	return list
}

// roundUp returns a time in microseconds. It rounds up, as tokens must not become younger.
func roundUp(length time.Duration) uint64 {
	return uint64(max(0, length+time.Microsecond-1) / time.Microsecond)
}

// microseconds returns a length of time in microseconds, at most the longest that can be told.
func microseconds(us uint64) time.Duration {
	return time.Duration(min(us, math.MaxInt64/uint64(2*time.Microsecond))) * time.Microsecond
}
