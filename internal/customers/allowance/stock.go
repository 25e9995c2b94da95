package allowance

import (
	"slices"
	"time"

	"camphortrail/call"
)

const (
	// unansweredTime is the time after which a query of a root counts as unanswered.
	unansweredTime = 300 * time.Millisecond
	// maxRootGap is the time after which a root that was not asked whether it is one may have
	// been replaced, for instance while it was suspended.
	maxRootGap = 2 * time.Second
	// rootWindows is the number of windows for which a node has to be the root before it uses a
	// reserve: its predecessor, or the process before on the VM, may have used one just before.
	rootWindows = 2
	// reserveSlots is the number of equal parts of a window in which the use of a reserve is
	// counted. One more is kept, so that any window lies within those that are kept.
	reserveSlots = 9
	// repeatTime is the time for which a node repeats a demand of a child to a parent that has no
	// tokens yet. Children with waiting requests repeat theirs within it.
	repeatTime = 20 * time.Millisecond
	// maxUnmet bounds the children whose demand for a customer is remembered. Nodes have 16
	// children, and for a short time more when others are lost.
	maxUnmet = 64
	// maxAsked is the number of remembered queries that were answered. At one query in 5 ms,
	// that is more than a lifetime of tokens.
	maxAsked = 128
)

// Stock holds the tokens of a node for its children: the nodes that query it, and the Wallet of
// its own requests.
type Stock struct {
	bo Bounds
	// capOf returns the cap of a customer in the configuration of the node.
	capOf   func(call.Customer) (Cap, bool)
	domains int
	items   map[call.Customer]*item
	// wanting holds the items with a demand that may have to be passed on.
	wanting []*item
	swept   time.Time

	// asked holds the times of the latest queries that were answered, as a ring. An answer that
	// arrives twice must not be counted twice.
	asked     [maxAsked]time.Time
	nextAsked int
	// unanswered is the time of the first query after the latest answer, or zero.
	unanswered time.Time
	// root is true if the node is the root of its failure domain, rootSince the time since when,
	// and rootSeen the time at which it was told so last.
	root                bool
	rootSince, rootSeen time.Time
	// confirmed is true if a query was answered since then. A node that takes itself for the root
	// because it reaches nobody never is.
	confirmed bool
}

// item holds the tokens of one customer.
type item struct {
	customer call.Customer
	lots     lots
	// unmet holds the demands of children that were not met.
	unmet []unmet
	// wanting is true if the item is in the list of wanting ones.
	wanting bool
	// granted measures the tokens that were given to children.
	granted meter
	// retryAt is the time until which the parent is not asked, and nextAt the time at which
	// the leader expects more tokens.
	retryAt, nextAt time.Time
	// uncapped is the time at which the customer had no cap, or zero.
	uncapped time.Time
	used     time.Time
	reserve  reserve
}

// unmet is a demand of a child that was not met. The child repeats it while requests wait.
type unmet struct {
	// child is the name of the child, or ownWallet.
	child string
	n     uint32
	// at is the time of the demand, and asked that of the latest query for it, or zero.
	at, asked time.Time
}

// ownWallet is the child that stands for the wallet of the node.
const ownWallet = ""

// setUnmet replaces the demand of a child that was not met.
func (it *item) setUnmet(now time.Time, child string, n uint32) {
	i := slices.IndexFunc(it.unmet, func(un unmet) bool { return un.child == child })
	switch {
	case i >= 0 && n == 0:
		it.unmet = slices.Delete(it.unmet, i, i+1)
	case i >= 0:
		it.unmet[i].n, it.unmet[i].at = n, now
	case n > 0 && len(it.unmet) < maxUnmet:
		it.unmet = append(it.unmet, unmet{child: child, n: n, at: now})
	}
}

// dropOld drops the demands that no child repeated.
func (it *item) dropOld(now time.Time) {
	it.unmet = slices.DeleteFunc(it.unmet, func(un unmet) bool { return now.Sub(un.at) >= repeatTime })
}

// due reports whether the parent should be asked for a demand: it was not, or so long ago that
// the answer must have been lost or used by others.
func (un *unmet) due(now time.Time) bool {
	return un.asked.IsZero() || now.Sub(un.asked) >= queryInterval
}

// reserve counts the requests that a reserve let start, by slots of time.
type reserve struct {
	counts [reserveSlots + 1]uint32
	// slot is the number of the newest slot.
	slot int64
}

// take takes up to n requests if less than most were taken in any window that contains now.
func (re *reserve) take(slot int64, n, most uint32) uint32 {
	for ; re.slot < slot; re.slot++ {
		if slot-re.slot > reserveSlots {
			re.counts, re.slot = [reserveSlots + 1]uint32{}, slot
			break
		}
		re.counts[(re.slot+1)%int64(len(re.counts))] = 0
	}
	var sum uint32
	for _, count := range re.counts {
		sum += count
	}
	if sum >= most {
		return 0
	}
	n = min(n, most-sum)
	re.counts[re.slot%int64(len(re.counts))] += n
	return n
}

// NewStock returns an empty stock. capOf returns the cap of a customer in the configuration in
// force at the node.
func NewStock(bo Bounds, capOf func(call.Customer) (Cap, bool)) *Stock {
	return &Stock{bo: bo, capOf: capOf, items: make(map[call.Customer]*item)}
}

// SetDomains sets the number of failure domains.
func (st *Stock) SetDomains(domains int) { st.domains = domains }

// SetRoot tells whether the node is the root of its failure domain. It must be called at least
// every second while it is.
func (st *Stock) SetRoot(now time.Time, root bool) {
	if root && (!st.root || now.Sub(st.rootSeen) > maxRootGap) {
		st.rootSince, st.confirmed = now, false
	}
	st.root, st.rootSeen = root, now
}

// item returns the item of a customer, or nil if there are too many.
func (st *Stock) item(now time.Time, name call.Customer) *item {
	it := st.items[name]
	if it == nil {
		if len(st.items) >= maxCustomers {
			return nil
		}
		it = &item{customer: name}
		st.items[name] = it
	}
	it.used = now
	it.lots.expire(now.Add(-st.bo.Lifetime()))
	return it
}

// Grant transfers tokens for the demands of a child and appends the answers to out. The child
// must get each answer at most once.
func (st *Stock) Grant(now time.Time, child string, demands []Demand, out []Grant) []Grant {
	for _, de := range demands {
		it := st.item(now, de.Customer)
		if it == nil {
			continue
		}
		had := len(out)
		out = st.grant(now, it, de, out)
		var granted uint32
		for _, gr := range out[had:] {
			granted += gr.Requests
		}
		if child != ownWallet {
			it.granted.add(now, float64(granted))
		}
		left := de.Requests - granted
		if now.Before(it.retryAt) || it.isUncapped(now, st.bo.Lifetime()) {
			left = 0 // children ask again later, if their requests still wait
		}
		it.setUnmet(now, child, left)
		if left > 0 || child != ownWallet && it.lots.held() <= it.granted.target(now)/2 {
			st.want(it)
		}
	}
	return out
}

// grant transfers tokens for one demand. Each time of issue has an answer of its own.
func (st *Stock) grant(now time.Time, it *item, de Demand, out []Grant) []Grant {
	if it.isUncapped(now, st.bo.Lifetime()) {
		return append(out, Grant{Customer: de.Customer, Age: max(0, now.Sub(it.uncapped)), Uncapped: true})
	}
	left := de.Requests
	it.lots.expire(now.Add(minRemaining - st.bo.Lifetime()))
	for left > 0 {
		issued, n := it.lots.take(left)
		if n == 0 {
			break
		}
		left -= n
		out = append(out, Grant{Customer: de.Customer, Requests: n, Age: max(0, now.Sub(issued))})
	}
	if n := st.takeReserve(now, it, left); n > 0 {
		left -= n
		out = append(out, Grant{Customer: de.Customer, Requests: n})
	}
	if left > 0 {
		// An entry without tokens tells when more is expected.
		out = append(out, Grant{Customer: de.Customer, RetryAfter: max(0, it.nextAt.Sub(now), it.retryAt.Sub(now))})
	}
	return out
}

// takeReserve takes requests from the reserve, if the node is a root without answers.
func (st *Stock) takeReserve(now time.Time, it *item, n uint32) uint32 {
	if n == 0 || !st.reserveUsable(now) {
		return 0
	}
	cp, ok := st.capOf(it.customer)
	if !ok {
		return 0
	}
	// Tokens of the reserve are spent within a lifetime, which widens the window.
	slot := (st.bo.Window + st.bo.Lifetime()) / reserveSlots
	return it.reserve.take(now.UnixNano()/int64(max(slot, 1)), n, st.bo.reserve(cp, st.domains))
}

// reserveUsable reports whether the node is a root whose queries were answered and no longer are.
func (st *Stock) reserveUsable(now time.Time) bool {
	return st.root && st.confirmed && now.Sub(st.rootSeen) <= maxRootGap &&
		now.Sub(st.rootSince) >= rootWindows*(st.bo.Window+st.bo.Lifetime()) &&
		!st.unanswered.IsZero() && now.Sub(st.unanswered) >= unansweredTime
}

// isUncapped reports whether the customer had no cap within a lifetime.
func (it *item) isUncapped(now time.Time, lifetime time.Duration) bool {
	return !it.uncapped.IsZero() && now.Sub(it.uncapped) < lifetime
}

// want adds an item to those with a demand.
func (st *Stock) want(it *item) {
	if !it.wanting {
		it.wanting = true
		st.wanting = append(st.wanting, it)
	}
}

// Wants reports whether the parent should be queried now. Unmet demands of the wallet count only if
// own is true: its waiting requests decide when to ask again.
func (st *Stock) Wants(now time.Time, own bool) bool {
	for _, it := range st.wanting {
		if st.need(now, it, own) > 0 && !now.Before(it.retryAt) {
			return true
		}
	}
	return false
}

// need returns the number of tokens that an item lacks, for the wallet only if own is true.
func (st *Stock) need(now time.Time, it *item, own bool) uint32 {
	want, held := it.granted.target(now), it.lots.held()
	for i := range it.unmet {
		if un := &it.unmet[i]; un.due(now) && (own || un.child != ownWallet) {
			want += un.n
		}
	}
	return want - min(want, held)
}

// Demands appends what the node asks its parent for to out. It must be called for each query.
func (st *Stock) Demands(now time.Time, out []Demand) []Demand {
	if st.unanswered.IsZero() {
		st.unanswered = now
	}
	kept := st.wanting[:0]
	for _, it := range st.wanting {
		it.lots.expire(now.Add(-st.bo.Lifetime()))
		it.dropOld(now)
		if need := st.need(now, it, true); need > 0 && !now.Before(it.retryAt) {
			out = append(out, Demand{Customer: it.customer, Requests: need})
			for i := range it.unmet {
				if un := &it.unmet[i]; un.due(now) {
					un.asked = now
				}
			}
		}
		if it.wanting = len(it.unmet) > 0; it.wanting {
			kept = append(kept, it)
		}
	}
	clear(st.wanting[len(kept):])
	st.wanting = kept
	st.sweep(now)
	return out
}

// Receive adds the tokens of the answer to the query that was sent at asked. It reports whether
// the answer was used: one that arrives twice, or too late, is not.
func (st *Stock) Receive(asked, now time.Time, grants []Grant) bool {
	if asked.After(now) || st.wasAnswered(asked) {
		return false
	}
	st.asked[st.nextAsked] = asked
	st.nextAsked = (st.nextAsked + 1) % maxAsked
	st.unanswered = time.Time{}
	if !asked.Before(st.rootSince) {
		st.confirmed = true
	}
	lifetime := st.bo.Lifetime()
	for _, gr := range grants {
		issued := asked.Add(-max(0, gr.Age))
		if now.Sub(issued) >= lifetime {
			continue
		}
		it := st.item(now, gr.Customer)
		if it == nil {
			continue
		}
		switch {
		case gr.Uncapped:
			it.uncapped = issued
		default:
			it.uncapped = time.Time{}
			it.lots.add(issued, gr.Requests)
		}
		if gr.Requests > 0 {
			it.nextAt, it.retryAt = time.Time{}, time.Time{}
		}
		switch {
		case gr.RetryAfter > 0:
			it.nextAt = now.Add(gr.RetryAfter)
			it.retryAt = now.Add(min(gr.RetryAfter, maxRetryWait)).Add(retryInterval - 2*time.Millisecond).Truncate(retryInterval)
			it.unmet = it.unmet[:0]
		case gr.Requests == 0 && !gr.Uncapped:
			// The parent has none yet, and asks for them.
			for i := range it.unmet {
				it.unmet[i].asked = time.Time{}
			}
		}
	}
	return true
}

// wasAnswered reports whether an answer to the query at asked was received, or may have been.
func (st *Stock) wasAnswered(asked time.Time) bool {
	for _, at := range st.asked {
		if at.Equal(asked) {
			return true
		}
	}
	return !st.asked[st.nextAsked].IsZero() && asked.Before(st.asked[st.nextAsked])
}

// sweep drops the state of customers that were not used for long.
func (st *Stock) sweep(now time.Time) {
	if now.Sub(st.swept) < idleTime {
		return
	}
	st.swept = now
	for name, it := range st.items {
		if !it.wanting && now.Sub(it.used) > idleTime {
			delete(st.items, name)
		}
	}
}
