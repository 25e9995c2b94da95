package allowance

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"camphortrail/call"
	"camphortrail/internal/lab/virtualtime"
)

var epoch = time.Unix(1_000_000, 0)

// usual are the bounds that the platform sets by default.
var usual = Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// mechanisms that a test can switch off, to show that it needs them.
type mechanisms struct {
	noAge, fullBucket, copied, answeredTwice, noHoldOff, unconfirmed bool
}

// fleet simulates control replicas and the nodes of some failure domains in virtual time.
type fleet struct {
	sc   *virtualtime.Scheduler
	off  mechanisms
	pick func(n int) int

	// caps holds the caps that the leader knows, and history all that were in force, with the
	// time until which some node may have known them.
	caps    map[call.Customer]Cap
	history map[call.Customer][]pastCap

	buckets []*Bucket
	// leader is the index of the leader, or -1.
	leader int
	term   uint64

	fanOut  int
	domains []*domain
	// lossPercent and latePercent are the parts of messages that are lost, or that arrive up to
	// maxLate later. doublePercent is the part that arrives twice.
	lossPercent, latePercent, doublePercent int
	delay, maxLate                          time.Duration
	// wait is the time for which requests wait for a token.
	wait    time.Duration
	started map[call.Customer][]*start
	refused map[call.Customer]int
	// offered is the number of requests, and queries that of queries to parents.
	offered map[call.Customer]int
	queries int
	// measure, if set, is called with each query and its answer.
	measure func(root bool, demands []Demand, grants []Grant)
}

type pastCap struct {
	cap   Cap
	until time.Time
}

// domain is a failure domain. If cut is true, it does not reach the control replicas. Answers
// that nodes get before the time stalled arrive then.
type domain struct {
	nodes   []*simNode
	cut     bool
	stalled time.Time
}

type simNode struct {
	fl    *fleet
	dom   *domain
	name  string
	nd    *Node
	caps  map[call.Customer]Cap
	index int
	// life counts the processes on the VM. alive is false while none runs.
	life  int
	alive bool
	// isolated is true while the node reaches nobody, and suspended the time at which it
	// goes on after a suspension.
	isolated  bool
	suspended time.Time
	// root is true while the node takes itself for the root, which lags behind.
	root    bool
	pace    Pace
	asking  bool
	waiting []*simRequest
}

type simRequest struct {
	customer call.Customer
	until    time.Time
	tries    int
}

// start is a request that started. returned is true if it turned out not to have run.
type start struct {
	at       time.Time
	returned bool
}

func newFleet(domains, nodes, fanOut int, caps map[call.Customer]Cap, pick func(int) int, off mechanisms) *fleet {
	fl := &fleet{
		sc: virtualtime.New(epoch), off: off, pick: pick, caps: caps, fanOut: fanOut, wait: 50 * time.Millisecond,
		delay: 500 * time.Microsecond, maxLate: time.Second,
		history: make(map[call.Customer][]pastCap), started: make(map[call.Customer][]*start),
		refused: make(map[call.Customer]int), offered: make(map[call.Customer]int),
	}
	for range 3 {
		fl.buckets = append(fl.buckets, NewBucket(usual))
	}
	fl.term = 1
	for d := range domains {
		dom := new(domain)
		fl.domains = append(fl.domains, dom)
		for n := range nodes {
			sn := &simNode{fl: fl, dom: dom, name: fmt.Sprint(d, "-", n), index: n, caps: caps}
			dom.nodes = append(dom.nodes, sn)
			sn.boot()
		}
	}
	if !off.noHoldOff {
		fl.every(100*time.Millisecond, fl.updateRoots)
	}
	return fl
}

// every runs do now and in fixed intervals.
func (fl *fleet) every(interval time.Duration, do func()) {
	do()
	fl.sc.After(interval, func() { fl.every(interval, do) })
}

// chance draws with a probability in percent.
func (fl *fleet) chance(percent int) bool { return percent > 0 && fl.pick(100) < percent }

// boot starts a process on the VM, with empty state.
func (sn *simNode) boot() {
	sn.life++
	sn.alive, sn.root, sn.asking, sn.waiting = true, false, false, nil
	sn.nd = NewNode(usual, func(name call.Customer) (Cap, bool) {
		cp, ok := sn.caps[name]
		return cp, ok
	})
	sn.nd.Stock.SetDomains(len(sn.fl.domains))
	life := sn.life
	var renew func()
	renew = func() {
		if sn.life != life || !sn.alive {
			return
		}
		sn.run(sn.query)
		sn.fl.sc.After(250*time.Millisecond, renew)
	}
	sn.fl.sc.After(time.Duration(sn.fl.pick(250))*time.Millisecond, renew)
}

// run runs do in the process of the node: at once, or at the end of a suspension.
func (sn *simNode) run(do func()) {
	now, life := sn.fl.sc.Now(), sn.life
	if !sn.alive {
		return
	}
	if now.Before(sn.suspended) {
		sn.fl.sc.After(sn.suspended.Sub(now), func() {
			if sn.life == life {
				sn.run(do)
			}
		})
		return
	}
	sn.setRoot()
	do()
}

// setRoot tells the stock of the node whether the node takes itself for the root.
func (sn *simNode) setRoot() {
	sn.nd.Stock.SetRoot(sn.fl.sc.Now(), sn.root)
	if sn.fl.off.noHoldOff {
		sn.nd.Stock.rootSince, sn.nd.Stock.confirmed = epoch, true
	}
	if sn.fl.off.unconfirmed {
		sn.nd.Stock.confirmed = true
	}
}

// updateRoots tells nodes whether they are the root: the first node that is present, and each node
// that reaches nobody. Nodes learn it up to 3 s late.
func (fl *fleet) updateRoots() {
	for _, dom := range fl.domains {
		first := true
		for _, sn := range dom.nodes {
			present := sn.alive && !sn.isolated && !fl.sc.Now().Before(sn.suspended)
			root := present && first || sn.isolated
			first = first && !present
			if root == sn.root {
				continue
			}
			life := sn.life
			fl.sc.After(time.Duration(fl.pick(3000))*time.Millisecond, func() {
				if sn.life == life {
					sn.root = root
				}
			})
		}
	}
}

// parent returns the parent of a node, or nil for the control replicas.
func (sn *simNode) parent() *simNode {
	if sn.fl.measure != nil {
		// No node fails, and a search through all of them would take most of the time.
		if sn.index == 0 {
			return nil
		}
		return sn.dom.nodes[(sn.index-1)/sn.fl.fanOut]
	}
	var present []*simNode
	at := -1
	for _, other := range sn.dom.nodes {
		if other == sn {
			at = len(present)
		}
		if other.alive || other == sn {
			present = append(present, other)
		}
	}
	if at <= 0 || sn.fl.lossPercent > 0 && sn.fl.chance(5) {
		return nil
	}
	return present[(at-1)/sn.fl.fanOut]
}

// ask queries the parent soon, at most once in 5 ms.
func (sn *simNode) ask() {
	if sn.asking {
		return
	}
	sn.asking = true
	life := sn.life
	wait := sn.pace.Next(sn.fl.sc.Now())
	sn.fl.sc.After(wait, func() {
		if sn.life == life {
			sn.run(func() {
				sn.asking = false
				sn.query()
			})
		}
	})
}

// query sends a query to the parent.
func (sn *simNode) query() {
	fl := sn.fl
	fl.queries++
	asked, life := fl.sc.Now(), sn.life
	sn.pace.Sent(asked)
	demands := sn.nd.Demands(asked, nil)
	parent := sn.parent()
	answer := func(grants []Grant) {
		if fl.measure != nil {
			fl.measure(parent == nil, demands, grants)
		}
		fl.send(sn, nil, func() {
			fl.sc.After(max(0, sn.dom.stalled.Sub(fl.sc.Now())), func() {
				if sn.life == life && sn.alive {
					sn.run(func() { sn.receive(asked, grants) })
				}
			})
		})
	}
	if parent == nil {
		fl.send(sn, nil, func() { fl.control(demands, answer) })
		return
	}
	fl.send(sn, parent, func() {
		parent.run(func() {
			grants, ask := parent.nd.Grant(fl.sc.Now(), sn.name, demands, nil)
			if fl.off.copied {
				for _, gr := range grants {
					parent.nd.Stock.items[gr.Customer].lots.add(fl.sc.Now().Add(-gr.Age), gr.Requests)
				}
			}
			if ask {
				parent.ask()
			}
			if !parent.isolated {
				answer(grants)
			}
		})
	})
}

// receive takes an answer, which may complete waiting requests.
func (sn *simNode) receive(asked time.Time, grants []Grant) {
	now := sn.fl.sc.Now()
	if sn.fl.off.noAge {
		grants = slices.Clone(grants)
		for i := range grants {
			grants[i].Age = 0
		}
		sn.nd.Stock.asked = [maxAsked]time.Time{}
		asked = now
		for _, it := range sn.nd.Stock.items {
			it.lots.refresh(now)
		}
		for _, ba := range sn.nd.Wallet.balances {
			ba.lots.refresh(now)
		}
	}
	if sn.fl.off.answeredTwice {
		sn.nd.Stock.asked = [maxAsked]time.Time{}
	}
	if sn.nd.Receive(asked, now, grants) {
		sn.ask()
	}
	sn.serveWaiting()
}

// refresh makes all tokens new.
func (ls *lots) refresh(now time.Time) {
	if n := ls.held(); n > 0 {
		*ls = lots{}
		ls.add(now, n)
	}
}

// serveWaiting starts the waiting requests for which there are tokens.
func (sn *simNode) serveWaiting() {
	now := sn.fl.sc.Now()
	sn.waiting = slices.DeleteFunc(sn.waiting, func(rq *simRequest) bool {
		issued, ok := sn.nd.Wallet.Take(now, rq.customer)
		if ok {
			sn.nd.Wallet.StopWaiting(now, rq.customer)
			sn.start(rq.customer, issued)
		}
		return ok
	})
}

// send delivers a message of or to a node.
func (fl *fleet) send(sn, other *simNode, do func()) {
	if sn.isolated || other != nil && other.isolated || other == nil && sn.dom.cut && fl.toControl(sn) || fl.chance(fl.lossPercent) {
		return
	}
	times := 1
	if fl.chance(fl.doublePercent) {
		times = 2
	}
	for range times {
		delay := fl.delay
		if fl.chance(fl.latePercent) {
			delay += time.Duration(fl.pick(int(fl.maxLate/time.Millisecond))) * time.Millisecond
		}
		fl.sc.After(delay, do)
	}
}

// toControl reports whether messages of the node without another node go to control: those of
// the first node that is present.
func (fl *fleet) toControl(sn *simNode) bool {
	for _, other := range sn.dom.nodes {
		if other.alive {
			return other == sn
		}
	}
	return true
}

// control answers a query at the leader.
func (fl *fleet) control(demands []Demand, answer func([]Grant)) {
	if fl.leader < 0 {
		return
	}
	bu, now := fl.buckets[fl.leader], fl.sc.Now()
	if fl.off.fullBucket && bu.term != fl.term {
		bu.Lead(now.Add(-time.Hour), fl.term)
	}
	bu.Lead(now, fl.term)
	bu.Configure(now, len(fl.domains), fl.caps)
	answer(bu.Grant(now, demands, nil))
}

// setCap changes the cap of a customer. Nodes learn it up to 2 s later.
func (fl *fleet) setCap(name call.Customer, cp Cap) {
	caps := make(map[call.Customer]Cap)
	for other, known := range fl.caps {
		caps[other] = known
	}
	caps[name] = cp
	fl.history[name] = append(fl.history[name], pastCap{fl.caps[name], fl.sc.Now().Add(2 * time.Second)})
	fl.caps = caps
	for _, dom := range fl.domains {
		for _, sn := range dom.nodes {
			life := sn.life
			fl.sc.After(time.Duration(fl.pick(2000))*time.Millisecond, func() {
				if sn.life == life {
					sn.caps = caps
				}
			})
		}
	}
}

// request is a request of a customer at a node.
func (sn *simNode) request(name call.Customer) {
	fl := sn.fl
	if !sn.alive || fl.sc.Now().Before(sn.suspended) {
		return
	}
	fl.offered[name]++
	now, life := fl.sc.Now(), sn.life
	sn.setRoot()
	issued, ok, ask := sn.nd.Arrive(now, name)
	if ask {
		sn.ask()
	}
	if ok {
		sn.start(name, issued)
		return
	}
	if sn.nd.Wallet.ExpectsNone(name, now.Add(fl.wait)) {
		sn.nd.Wallet.StopWaiting(now, name)
		sn.nd.Wallet.Refuse(now, name)
		fl.refused[name]++
		return
	}
	rq := &simRequest{customer: name, until: now.Add(fl.wait)}
	sn.waiting = append(sn.waiting, rq)
	var again func()
	again = func() {
		if sn.life != life || !slices.Contains(sn.waiting, rq) {
			return
		}
		sn.run(func() {
			now := fl.sc.Now()
			sn.nd.transfer(now)
			sn.serveWaiting()
			if !slices.Contains(sn.waiting, rq) {
				return
			}
			if !now.Before(rq.until) || sn.nd.Wallet.ExpectsNone(name, rq.until) {
				sn.nd.Wallet.StopWaiting(now, name)
				sn.nd.Wallet.Refuse(now, name)
				sn.waiting = slices.DeleteFunc(sn.waiting, func(other *simRequest) bool { return other == rq })
				fl.refused[name]++
				return
			}
			if sn.nd.Stock.Wants(now, true) {
				sn.ask()
			}
			rq.tries++
			fl.sc.After(AskAgain(fl.wait, rq.tries), again)
		})
	}
	fl.sc.After(AskAgain(fl.wait, 0), again)
}

// start records a started request. Some turn out not to have run.
func (sn *simNode) start(name call.Customer, issued time.Time) {
	fl := sn.fl
	sr := &start{at: fl.sc.Now()}
	fl.started[name] = append(fl.started[name], sr)
	if fl.lossPercent == 0 || !fl.chance(10) {
		return
	}
	life := sn.life
	fl.sc.After(time.Duration(fl.pick(600))*time.Millisecond, func() {
		if sn.life != life {
			return
		}
		sn.run(func() {
			sr.returned = true
			sn.nd.Wallet.Return(fl.sc.Now(), name, issued)
		})
	})
}

// excess returns a description of the first window in which more requests of a customer started
// than its cap allows, or "".
func (fl *fleet) excess() string {
	for name, list := range fl.started {
		list = slices.DeleteFunc(slices.Clone(list), func(sr *start) bool { return sr.returned })
		first := 0
		for i, sr := range list {
			for !list[first].at.After(sr.at.Add(-usual.Window)) {
				first++
			}
			if got, want := float64(i-first+1), fl.most(name, list[first].at); got > want {
				return fmt.Sprintf("%s: %v starts in the window that ends %v, want %v", name, got, sr.at.Sub(epoch), want)
			}
		}
	}
	return ""
}

// most returns the most requests of a customer that may start in a window that begins at a time.
func (fl *fleet) most(name call.Customer, begin time.Time) float64 {
	most := usual.Most(fl.caps[name])
	for _, past := range fl.history[name] {
		if past.until.After(begin) {
			most = max(most, usual.Most(past.cap))
		}
	}
	return most
}

// offer lets requests of a customer arrive at nodes that where draws, at a rate that may change
// with time, until the end.
func (fl *fleet) offer(name call.Customer, exp func() float64, rate func(now time.Time) float64, where func() *simNode) {
	var next func()
	next = func() {
		if perSecond := rate(fl.sc.Now()); perSecond > 0 {
			fl.sc.After(time.Duration(exp()/perSecond*float64(time.Second)), func() {
				where().request(name)
				next()
			})
		}
	}
	next()
}

// customerName names the customer with an index.
func customerName(i int) call.Customer { return call.Customer("customer-" + strconv.Itoa(i)) }
