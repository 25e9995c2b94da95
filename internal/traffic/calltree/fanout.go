package calltree

import (
	"cmp"
	"slices"
	"time"

	"camphortrail/call"
)

const (
	// minCalls is the mean number of calls per attempt from which a callee is listed. A
	// smaller mean may come from wrongly attributed calls of another class.
	minCalls = 0.05
	// maxSubtreeSamples is the number of answers up to which a mean is a plain average.
	// Each later answer has the weight 1/maxSubtreeSamples.
	maxSubtreeSamples = 32
	// fanOutLifetime is the time for which a computed fan-out is reused.
	fanOutLifetime = 50 * time.Millisecond
)

// fanOutEstimator estimates the calls that attempts make over their whole trees: their
// own calls from counts, and the calls of these from the fan-out that their answers
// report. The fan-out does not change with the load. How long a call occupies a slot does
// change, with each VM and its load, and is known only where the call runs.
type fanOutEstimator struct {
	counts   callCounts
	subtrees map[callee]*subtree
	// cached holds the last result by class.
	cached map[call.Class]cachedFanOut
}

// subtree is the mean number of calls in the trees of calls to a callee, themselves
// included, as their answers reported them.
type subtree struct {
	samples float64
	calls   map[callee]float64
}

// cachedFanOut is the fan-out of a class, and whether any of its attempts succeeded.
type cachedFanOut struct {
	list       []call.FanOut
	known      bool
	computedAt time.Time
}

func newFanOutEstimator() fanOutEstimator {
	return fanOutEstimator{counts: newCallCounts(), subtrees: make(map[callee]*subtree), cached: make(map[call.Class]cachedFanOut)}
}

// retain removes the classes for which retain returns false.
func (est *fanOutEstimator) retain(retain func(call.Class) bool) {
	est.counts.retain(retain)
	for ce := range est.subtrees {
		if !retain(ce.class) {
			delete(est.subtrees, ce)
		}
	}
	for class := range est.cached {
		if !retain(class) {
			delete(est.cached, class)
		}
	}
}

// add adds the fan-out that an answer reported.
func (st *subtree) add(list []call.FanOut) {
	st.samples = min(st.samples+1, maxSubtreeSamples)
	for _, cf := range list {
		ce := callee{cf.Service, cf.Class}
		st.calls[ce] += (cf.Calls - st.calls[ce]) / st.samples
	}
	if len(st.calls) == len(list) {
		return
	}
	for ce, calls := range st.calls {
		if !slices.ContainsFunc(list, func(cf call.FanOut) bool { return cf.Service == ce.service && cf.Class == ce.class }) {
			st.calls[ce] = calls - calls/st.samples
		}
	}
}

// addSubtree adds the fan-out that the answer to a call reported.
func (est *fanOutEstimator) addSubtree(ce callee, list []call.FanOut) {
	if len(list) == 0 {
		return
	}
	st := est.subtrees[ce]
	if st == nil {
		st = &subtree{calls: make(map[callee]float64)}
		est.subtrees[ce] = st
	}
	st.add(list)
}

// callsOf returns the calls that attempts of a class make over their trees, and whether
// any of them succeeded.
func (est *fanOutEstimator) callsOf(class call.Class) (map[callee]float64, bool) {
	list, known := est.counts.callsOf(class)
	all := make(map[callee]float64)
	for _, cec := range list {
		st := est.subtrees[cec.callee]
		if st == nil || cec.class == class {
			// Without this, the tree of a class that calls itself would grow with each
			// answer.
			all[cec.callee] += cec.calls
			continue
		}
		for ce, calls := range st.calls {
			all[ce] += cec.calls * calls
		}
	}
	return all, known
}

// EndedCall is a call of the upstream beside the node that has ended.
type EndedCall struct {
	Service call.Service
	Class   call.Class
	// FanOut is the fan-out of calls of the class, as the answer reports it.
	FanOut []call.FanOut
	// Ran says that the call was not refused.
	Ran bool
	// Connection identifies the connection on which the call came, or is empty.
	Connection string
}

// CallEnded records that a call has ended. The parent is nil if it is not known.
func (tr *Trees) CallEnded(now time.Time, parent *Inbound, cl EndedCall) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for _, cf := range cl.FanOut {
		if cf.Occupancy > 0 {
			tr.occupancies[cf.Service] = reading{occupancy: cf.Occupancy, at: now}
		}
	}
	ce := callee{cl.Service, cl.Class}
	tr.fanOuts.addSubtree(ce, cl.FanOut)
	if !cl.Ran || parent != nil && parent.abandoned {
		// A call whose attempt was abandoned while it ran is not counted.
		return
	}
	foundParent := parent != nil && !parent.ended
	tr.fanOuts.counts.addCall(now, ce, foundParent)
	ch := tr.chains[cl.Connection]
	if foundParent {
		parent.made = addCalls(parent.made, ce, 1)
	}
	switch {
	case ch == nil:
	case foundParent:
		ch.made = addCalls(ch.made, ce, 1)
	default:
		ch.unassigned = addCalls(ch.unassigned, ce, 1)
	}
}

// addCalls adds calls to the count of a callee.
func addCalls(list []calleeCount, ce callee, calls float64) []calleeCount {
	at := slices.IndexFunc(list, func(cec calleeCount) bool { return cec.callee == ce })
	if at < 0 {
		return append(list, calleeCount{ce, calls})
	}
	list[at].calls += calls
	return list
}

// reassign attributes the calls of a chain to an attempt that ends, instead of to the
// chain's parent, if any.
func (est *fanOutEstimator) reassign(now time.Time, ch *chain, in *Inbound) {
	for _, cec := range ch.unassigned {
		est.counts.addParent(now, cec)
		in.made = addCalls(in.made, cec.callee, cec.calls)
	}
	ch.unassigned = nil
	if ch.parent == nil || ch.parent == in || ch.parent.ended {
		return
	}
	for _, cec := range ch.made {
		ch.parent.made = addCalls(ch.parent.made, cec.callee, -cec.calls)
		in.made = addCalls(in.made, cec.callee, cec.calls)
	}
	ch.made = nil
}

// AttemptEnded records that an attempt has ended, and whether it succeeded.
func (tr *Trees) AttemptEnded(now time.Time, in *Inbound, succeeded bool) {
	if in.Class == "" {
		return
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	in.ended, in.abandoned = true, !succeeded
	switch {
	case !succeeded:
		tr.fanOuts.counts.addAbandoned(now, in.Class)
	case !tr.othersUnknown(in.Class):
		tr.fanOuts.counts.addAttempt(now, in.Class, in.made)
	}
}

// othersUnknown reports whether attempts of another class make calls of which none has ended yet, as
// at a start: their calls are attributed to the attempts that end sooner. After minOriginSamples
// attempts this no longer matters, as the others may never succeed. The lock is held.
func (tr *Trees) othersUnknown(class call.Class) bool {
	if tr.pattern(class).ended >= minOriginSamples {
		return false
	}
	for _, in := range tr.inbound {
		if in.hasCalled && in.Class != "" && in.Class != class && tr.fanOuts.counts.classes[in.Class] == nil {
			return true
		}
	}
	return false
}

// FanOut returns the calls that attempts of a class make of each service, starting with
// their own service, which has the given occupancy. It returns nil as long as no attempt
// of the class has succeeded.
func (tr *Trees) FanOut(now time.Time, class call.Class, own call.Service, oc call.Occupancy) []call.FanOut {
	if class == "" {
		return nil
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	cfo := tr.fanOutOf(now, class)
	if !cfo.known {
		return nil
	}
	list := make([]call.FanOut, 1, 1+len(cfo.list))
	list[0] = call.FanOut{Service: own, Class: class, Calls: 1, Occupancy: oc}
	return append(list, cfo.list...)
}

// fanOutOf returns the calls that attempts of a class make, computed lately. The lock is held.
func (tr *Trees) fanOutOf(now time.Time, class call.Class) cachedFanOut {
	cfo, asked := tr.fanOuts.cached[class]
	if !asked || now.Sub(cfo.computedAt) >= fanOutLifetime {
		cfo = tr.computeFanOut(now, class)
		tr.fanOuts.cached[class] = cfo
	}
	return cfo
}

// calls reports whether attempts of the class call a service.
func (cfo *cachedFanOut) calls(svc call.Service) bool {
	return slices.ContainsFunc(cfo.list, func(cf call.FanOut) bool { return cf.Service == svc })
}

// computeFanOut returns the calls that attempts of a class make. The lock is held.
func (tr *Trees) computeFanOut(now time.Time, class call.Class) cachedFanOut {
	all, known := tr.fanOuts.callsOf(class)
	var list []call.FanOut
	for ce, calls := range all {
		if calls < minCalls {
			continue
		}
		cf := call.FanOut{Service: ce.service, Class: ce.class, Calls: calls}
		if rd := tr.occupancies[ce.service]; now.Sub(rd.at) < readingLifetime {
			cf.Occupancy = rd.occupancy
		}
		list = append(list, cf)
	}
	slices.SortFunc(list, func(a, b call.FanOut) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Class, b.Class))
	})
	return cachedFanOut{list: list, known: known, computedAt: now}
}
