package calltree

import (
	"cmp"
	"slices"
	"time"

	"camphortrail/call"
)

const (
	// minCalls is the mean number of calls from which they count: fewer may be those of
	// attempts of another kind.
	minCalls = 0.05
	// subtreeSamples bounds the number of answers whose mean is taken.
	subtreeSamples = 32
	// needsLife is the time for which needs are told without a new look.
	needsLife = 50 * time.Millisecond
)

// needs learns the calls that attempts make over their whole trees: those that they
// make themselves, by counts, and what the answers to those tell of theirs. Calls are
// the same whatever the load is, while the time for which a call takes a slot changes
// with each VM and its load, and is known where the call runs.
type needs struct {
	counts   counts
	subtrees map[callee]*subtree
	// told holds the latest result by kind.
	told map[call.Class]told
}

// subtree is the mean of the calls that calls of a kind make in turn, themselves
// included, by what their answers told.
type subtree struct {
	samples float64
	calls   map[callee]float64
}

type told struct {
	list  []call.FanOut
	known bool
	at    time.Time
}

func newNeeds() needs {
	return needs{counts: newCounts(), subtrees: make(map[callee]*subtree), told: make(map[call.Class]told)}
}

func (ns *needs) keep(keep func(call.Class) bool) {
	ns.counts.keep(keep)
	for ce := range ns.subtrees {
		if !keep(ce.class) {
			delete(ns.subtrees, ce)
		}
	}
	for class := range ns.told {
		if !keep(class) {
			delete(ns.told, class)
		}
	}
}

// add takes in what an answer told.
func (st *subtree) add(list []call.FanOut) {
	st.samples = min(st.samples+1, subtreeSamples)
	for _, nd := range list {
		ce := callee{nd.Service, nd.Class}
		st.calls[ce] += (nd.Calls - st.calls[ce]) / st.samples
	}
	if len(st.calls) == len(list) {
		return
	}
	for ce, calls := range st.calls {
		if !slices.ContainsFunc(list, func(nd call.FanOut) bool { return nd.Service == ce.service && nd.Class == ce.class }) {
			st.calls[ce] = calls - calls/st.samples
		}
	}
}

// learnSubtree takes in what an answer to a call told.
func (ns *needs) learnSubtree(ce callee, list []call.FanOut) {
	if len(list) == 0 {
		return
	}
	st := ns.subtrees[ce]
	if st == nil {
		st = &subtree{calls: make(map[callee]float64)}
		ns.subtrees[ce] = st
	}
	st.add(list)
}

// of returns the calls that attempts of a kind make over their trees.
func (ns *needs) of(class call.Class) (map[callee]float64, bool) {
	list, known := ns.counts.of(class)
	all := make(map[callee]float64)
	for _, md := range list {
		st := ns.subtrees[md.callee]
		if st == nil || md.class == class {
			// The tree of a kind that calls itself would grow with each answer.
			all[md.callee] += md.calls
			continue
		}
		for ce, calls := range st.calls {
			all[ce] += md.calls * calls
		}
	}
	return all, known
}

// EndedCall is a call of the upstream beside the node that has ended.
type EndedCall struct {
	Service call.Service
	Class   call.Class
	// FanOut is what calls of the kind make in turn, by the answer.
	FanOut []call.FanOut
	// Ran says that it was not refused.
	Ran bool
	// Connection is the one on which it came, or empty.
	Connection string
}

// CallEnded notes that a call has ended, whose parent may be unknown.
func (tr *Trees) CallEnded(now time.Time, parent *Inbound, cl EndedCall) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for _, nd := range cl.FanOut {
		if nd.Occupancy > 0 {
			tr.busy[nd.Service] = reading{occupancy: nd.Occupancy, at: now}
		}
	}
	ce := callee{cl.Service, cl.Class}
	tr.needs.learnSubtree(ce, cl.FanOut)
	if !cl.Ran || parent != nil && parent.gaveUp {
		// An attempt that was given up while the call ran is counted without it.
		return
	}
	found := parent != nil && !parent.ended
	tr.needs.counts.call(now, ce, found)
	ch := tr.chains[cl.Connection]
	if found {
		parent.made = add(parent.made, ce, 1)
	}
	switch {
	case ch == nil:
	case found:
		ch.made = add(ch.made, ce, 1)
	default:
		ch.lost = add(ch.lost, ce, 1)
	}
}

// add counts calls of a kind.
func add(list []made, ce callee, calls float64) []made {
	at := slices.IndexFunc(list, func(md made) bool { return md.callee == ce })
	if at < 0 {
		return append(list, made{ce, calls})
	}
	list[at].calls += calls
	return list
}

// move counts the calls of a chain for an attempt that ends, in place of the one that
// they were given to, if any.
func (ns *needs) move(now time.Time, ch *chain, in *Inbound) {
	for _, md := range ch.lost {
		ns.counts.find(now, md)
		in.made = add(in.made, md.callee, md.calls)
	}
	ch.lost = nil
	if ch.parent == nil || ch.parent == in || ch.parent.ended {
		return
	}
	for _, md := range ch.made {
		ch.parent.made = add(ch.parent.made, md.callee, -md.calls)
		in.made = add(in.made, md.callee, md.calls)
	}
	ch.made = nil
}

// AttemptEnded takes in that an attempt has ended, and whether it came through.
func (tr *Trees) AttemptEnded(now time.Time, in *Inbound, through bool) {
	if in.Class == "" {
		return
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	in.ended, in.gaveUp = true, !through
	if through {
		tr.needs.counts.end(now, in.Class, in.made)
	}
}

// FanOut returns the calls that attempts of the kind make of each service, the own one
// with the given occupancy first, or nil as long as none came through.
func (tr *Trees) FanOut(now time.Time, kind call.Class, own call.Service, oc call.Occupancy) []call.FanOut {
	if kind == "" {
		return nil
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tl, asked := tr.needs.told[kind]
	if !asked || now.Sub(tl.at) >= needsLife {
		tl = tr.look(now, kind)
		tr.needs.told[kind] = tl
	}
	if !tl.known {
		return nil
	}
	list := make([]call.FanOut, 1, 1+len(tl.list))
	list[0] = call.FanOut{Service: own, Class: kind, Calls: 1, Occupancy: oc}
	return append(list, tl.list...)
}

// look returns the calls that attempts of a kind make.
func (tr *Trees) look(now time.Time, kind call.Class) told {
	all, known := tr.needs.of(kind)
	var list []call.FanOut
	for ce, calls := range all {
		if calls < minCalls {
			continue
		}
		nd := call.FanOut{Service: ce.service, Class: ce.class, Calls: calls}
		if rd := tr.busy[ce.service]; now.Sub(rd.at) < readingLife {
			nd.Occupancy = rd.occupancy
		}
		list = append(list, nd)
	}
	slices.SortFunc(list, func(a, b call.FanOut) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Class, b.Class))
	})
	return told{list: list, known: known, at: now}
}
