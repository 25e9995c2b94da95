// Package freshness decides whether a node may trust the keys of customers, and which node it
// queries for the proof. A key is valid only while the node can prove that its configuration is
// recent, since a withdrawn key must not be accepted where the node may not have heard of it.
//
// All times are of the boot clock (package boottime), which goes on while the VM is suspended.
package freshness

import (
	"math/rand/v2"
	"slices"
	"time"

	"camphortrail/call"
)

const (
	// Margin is the part of the bound on revocation that is left for the lease of the leader and
	// for differences between the rates of clocks.
	Margin = 500 * time.Millisecond
	// MinQueryInterval bounds the queries that are sent ahead of their time: AskNow has an effect
	// at most once in this interval.
	MinQueryInterval = 5 * time.Millisecond
	// ActiveInterval is the time between two queries of a node that serves requests with keys.
	ActiveInterval = 250 * time.Millisecond
	// IdleInterval is the time between two queries of a node that serves none.
	IdleInterval = time.Second
	// AnswerTimeout is the time without an answer after which a node queries another one.
	AnswerTimeout = 300 * time.Millisecond

	// activeTime is the time for which a node counts as active after a request with a key, or
	// after a query of an active child.
	activeTime = 2 * time.Second
	// avoidTime is the time for which a node that did not answer is not queried again. The
	// membership removes a lost node in about this time.
	avoidTime = 5 * time.Second
	// firstDelay and maxDelay bound the random time before the next query after failures. They
	// keep nodes that lost the same parent from querying another one at the same moment.
	firstDelay = 50 * time.Millisecond
	maxDelay   = time.Second
	// maxRootDelay is maxDelay for a root, on which its whole failure domain depends.
	maxRootDelay = 200 * time.Millisecond
	// startInterval is the time between two queries that are answered without a proof, in the first
	// startTime. Without it the first proof takes up to IdleInterval for each level of the tree when
	// all nodes start at the same time.
	startInterval = 100 * time.Millisecond
	startTime     = 3 * time.Second
	// missingTime is the time for which a node knows from a proof of a revision that it does not
	// have before it asks for it. The rollout brings a revision to most nodes within that time.
	missingTime = time.Second
	// maxStall is how much later than AnswerTimeout a missing answer may be noticed. Beyond that
	// the node itself was suspended, and the queried node is not at fault.
	maxStall = 200 * time.Millisecond
	// queryLifetime is the time for which a late answer is still accepted.
	queryLifetime = 2 * time.Second
	// maxUnanswered bounds the queries that are kept until their answers arrive. It is
	// queryLifetime / MinQueryInterval.
	maxUnanswered = 400
	// intervalJitter is the largest part of an interval by which a query is sent early.
	intervalJitter = 0.1
	// maxAge bounds the age of a proof if there is no bound on revocation.
	maxAge = time.Hour
)

// Control stands for the control replicas as the receiver of a query.
const Control call.VM = ""

// Settings configure a Machine.
type Settings struct {
	// Name is the VM of the node.
	Name call.VM
	// Bound is the time after which a withdrawn key is no longer accepted. 0 means that there is
	// no bound, and all keys are trusted.
	Bound time.Duration
	// FirstNumber is the number of the first query. It should differ between runs of a node, so
	// that answers to an earlier run do not match.
	FirstNumber uint64
}

// Query is a query that a node sends.
type Query struct {
	Number uint64
	// To is the node that is queried, or Control.
	To   call.VM
	Sent time.Time
	// Active says that the node or one that queries it serves requests with keys.
	Active bool
}

// Answer answers a query.
type Answer struct {
	// Proved says whether there is a proof: Revision was the newest one Age before the answer was
	// sent.
	Proved   bool
	Revision uint64
	Age      time.Duration
}

// Machine holds the proofs of one node. It is not safe for concurrent use.
type Machine struct {
	set Settings
	rng *rand.Rand

	revision  uint64
	customers bool
	// since is the time at which customers became true.
	since time.Time
	nodes []call.VM
	// most is the largest number of nodes so far.
	most   int
	proofs proofs

	nextNumber uint64
	// unanswered holds the queries without an answer, oldest first.
	unanswered []Query
	// target is the receiver of the last query, and silentSince the time of the first query to it
	// since its last answer, or zero if it has answered all.
	target      call.VM
	silentSince time.Time
	// failures is the number of receivers in a row that did not answer.
	failures int
	// avoided holds the nodes that did not answer, and until when they are avoided.
	avoided map[call.VM]time.Time
	// due is the time of the next query, and lastSent that of the last one. controlDue is the time
	// from which a node near the root may query control because the proofs of the root are old.
	due, lastSent, controlDue time.Time
	askNow                    bool
	// missing is the highest revision in a proof that is above the one in force, or 0, and
	// missingSince the time from which Missing may report it.
	missing      uint64
	missingSince time.Time
	// usedUntil and childUntil are the times until which the node counts as active.
	usedUntil, childUntil time.Time
}

// New returns a machine without proofs.
func New(set Settings, rng *rand.Rand) *Machine {
	return &Machine{
		set: set, rng: rng, nextNumber: set.FirstNumber, nodes: []call.VM{set.Name}, avoided: make(map[call.VM]time.Time),
	}
}

// limit is the age from which a proof is too old.
func (ma *Machine) limit() time.Duration {
	if ma.set.Bound == 0 {
		return maxAge
	}
	return max(ma.set.Bound-Margin, 0)
}

// SetConfiguration notes the revision in force, and whether its configuration names customers.
// Without customers no queries are sent.
func (ma *Machine) SetConfiguration(now time.Time, revision uint64, customers bool) {
	ma.revision = revision
	if ma.missing <= revision {
		ma.missing = 0
	}
	if customers && !ma.customers {
		ma.since, ma.due = now, now
	}
	ma.customers = customers
}

// Add adds a node of the failure domain. A node that is known already stays.
func (ma *Machine) Add(vm call.VM) {
	if i, ok := slices.BinarySearchFunc(ma.nodes, vm, compareNodes); !ok {
		ma.nodes = slices.Insert(ma.nodes, i, vm)
		ma.most = max(ma.most, len(ma.nodes))
	}
}

// Remove removes a node that has left the membership. The node itself always stays.
func (ma *Machine) Remove(vm call.VM) {
	if i, ok := slices.BinarySearchFunc(ma.nodes, vm, compareNodes); ok && vm != ma.set.Name {
		ma.nodes = slices.Delete(ma.nodes, i, i+1)
		delete(ma.avoided, vm)
		if vm == ma.target {
			ma.silentSince, ma.due = time.Time{}, time.Time{}
		}
	}
}

// IsRoot reports whether the node is the root of its failure domain. A node that sees less than half
// of the nodes that it has seen is not, as the others may have another root.
func (ma *Machine) IsRoot() bool { return ma.nodes[0] == ma.set.Name && 2*len(ma.nodes) > ma.most }

// Fresh reports whether the keys of the configuration with the given revision may be trusted.
func (ma *Machine) Fresh(now time.Time, revision uint64) bool {
	if ma.set.Bound == 0 {
		return true
	}
	pf, ok := ma.proofs.usable(revision)
	return ok && now.Sub(pf.At) < ma.limit()
}

// ProofAge returns the age of the newest proof for the revision in force, if there is any.
func (ma *Machine) ProofAge(now time.Time) (age time.Duration, ok bool) {
	pf, ok := ma.proofs.usable(ma.revision)
	return now.Sub(pf.At), ok
}

// Customers reports whether the configuration in force names customers.
func (ma *Machine) Customers() bool { return ma.customers }

// Revision returns the revision in force.
func (ma *Machine) Revision() uint64 { return ma.revision }

// Used notes that the node serves a request with a key. It reports whether the node was idle, so
// that its next query may be due earlier.
func (ma *Machine) Used(now time.Time) (wasIdle bool) {
	wasIdle = !ma.active(now)
	ma.usedUntil = now.Add(activeTime)
	ma.advance(ActiveInterval)
	return wasIdle
}

// AskNow makes the next query due at once, or MinQueryInterval after the last one.
func (ma *Machine) AskNow() { ma.askNow = true }

// active reports whether the node, or one that queries it, serves requests with keys.
func (ma *Machine) active(now time.Time) bool {
	return now.Before(ma.usedUntil) || now.Before(ma.childUntil)
}

// advance makes the next query due an interval after the last one at the latest. After a failure the
// delay stays.
func (ma *Machine) advance(interval time.Duration) {
	if at := ma.lastSent.Add(interval); ma.failures == 0 && at.Before(ma.due) {
		ma.due = at
	}
}

// Next returns the query to send now, if one is due. If a query has had no answer for
// AnswerTimeout, it selects another receiver before. failed is the node that did not answer, or
// empty.
func (ma *Machine) Next(now time.Time) (qu Query, send bool, failed call.VM) {
	ma.unanswered = slices.DeleteFunc(ma.unanswered, func(qu Query) bool { return now.Sub(qu.Sent) > queryLifetime })
	if !ma.customers {
		ma.silentSince, ma.failures, ma.askNow = time.Time{}, 0, false
		return Query{}, false, ""
	}
	if silence := now.Sub(ma.silentSince); !ma.silentSince.IsZero() && silence >= AnswerTimeout {
		if silence > AnswerTimeout+maxStall {
			ma.silentSince, ma.due = time.Time{}, now
		} else {
			failed = ma.target
			ma.fail(now)
		}
	}
	if now.Before(ma.nextDue()) {
		return Query{}, false, failed
	}
	return ma.newQuery(now), true, failed
}

// nextDue returns the time at which the next query is due.
func (ma *Machine) nextDue() time.Time {
	if at := ma.lastSent.Add(MinQueryInterval); ma.askNow && ma.failures == 0 && at.Before(ma.due) {
		return at
	}
	return ma.due
}

// newQuery selects the receiver of a query, and notes it as sent.
func (ma *Machine) newQuery(now time.Time) Query {
	to := ma.receiver(now)
	if to != ma.target {
		ma.target, ma.silentSince = to, time.Time{}
	}
	if ma.silentSince.IsZero() {
		ma.silentSince = now
	}
	qu := Query{Number: ma.nextNumber, To: to, Sent: now, Active: ma.active(now)}
	ma.nextNumber++
	if len(ma.unanswered) == maxUnanswered {
		ma.unanswered = slices.Delete(ma.unanswered, 0, 1)
	}
	ma.unanswered = append(ma.unanswered, qu)
	interval := IdleInterval
	if qu.Active || ma.isBehind(now) {
		interval = ActiveInterval
	}
	ma.lastSent, ma.askNow = now, false
	ma.due = now.Add(time.Duration(float64(interval) * (1 - intervalJitter*ma.rng.Float64())))
	return qu
}

// receiver returns the receiver of the next query. It is the parent in the tree of the nodes that
// are not avoided, or control if there is none. After two failures in a row control and other
// nodes are queried in turns. If queries are answered but the proofs are old, the root may be cut
// off from control, while other nodes of its failure domain are not. Only the children of the root
// query control for this reason, so that the load of control does not grow with the number of nodes.
func (ma *Machine) receiver(now time.Time) call.VM {
	parent, position := Parent(ma.nodes, ma.set.Name, func(vm call.VM) bool { return now.Before(ma.avoided[vm]) })
	switch {
	case ma.failures > 0 && ma.failures%2 == 0:
		return Control
	case position > 0 && position <= FanOut && ma.isBehind(now) && !now.Before(ma.controlDue):
		ma.controlDue = now.Add(ma.delay(maxDelay))
		return Control
	}
	return parent
}

// isBehind reports whether the newest proof is older than half of the limit.
func (ma *Machine) isBehind(now time.Time) bool {
	if ma.set.Bound == 0 {
		return false
	}
	last := ma.since
	if pf, ok := ma.proofs.newest(); ok && pf.At.After(last) {
		last = pf.At
	}
	return now.Sub(last) > ma.limit()/2
}

// fail notes that the target did not answer.
func (ma *Machine) fail(now time.Time) {
	bound := maxDelay
	if ma.target != Control {
		ma.avoided[ma.target] = now.Add(avoidTime)
	} else if ma.nodes[0] == ma.set.Name {
		bound = maxRootDelay
	}
	ma.silentSince = time.Time{}
	ma.due = now.Add(ma.delay(min(bound, firstDelay<<min(ma.failures, 8))))
	ma.failures++
}

// delay returns a random time up to a bound.
func (ma *Machine) delay(bound time.Duration) time.Duration {
	return time.Duration(ma.rng.Int64N(int64(bound)))
}

// Failed notes that a query got no answer and will get none. It does nothing for a query that is
// no longer waited for.
func (ma *Machine) Failed(now time.Time, number uint64) {
	i := slices.IndexFunc(ma.unanswered, func(qu Query) bool { return qu.Number == number })
	if i < 0 {
		return
	}
	qu := ma.unanswered[i]
	ma.unanswered = slices.Delete(ma.unanswered, i, i+1)
	if qu.To == ma.target && !ma.silentSince.IsZero() {
		ma.fail(now)
	}
}

// Receive takes the answer of a node, or of Control, to the query with the given number. It returns
// the query, or false if no such query is waited for.
func (ma *Machine) Receive(now time.Time, from call.VM, number uint64, an Answer) (Query, bool) {
	i := slices.IndexFunc(ma.unanswered, func(qu Query) bool { return qu.Number == number && qu.To == from })
	if i < 0 || now.Sub(ma.unanswered[i].Sent) > queryLifetime {
		return Query{}, false
	}
	qu := ma.unanswered[i]
	ma.unanswered = slices.Delete(ma.unanswered, i, i+1)
	delete(ma.avoided, from)
	if from == ma.target {
		ma.failures, ma.silentSince = 0, time.Time{}
		for _, later := range ma.unanswered[i:] {
			if later.To == from {
				ma.silentSince = later.Sent
				break
			}
		}
	}
	if an.Proved && an.Age >= 0 && an.Age < ma.limit() {
		ma.proofs = ma.proofs.add(Proof{Revision: an.Revision, At: qu.Sent.Add(-an.Age)}, ma.revision)
	}
	if an.Proved && an.Revision > max(ma.revision, ma.missing) {
		if ma.missing == 0 {
			ma.missingSince = now.Add(missingTime)
		}
		ma.missing = an.Revision
	}
	if !an.Proved && now.Sub(ma.since) < startTime {
		ma.advance(startInterval)
	}
	return qu, true
}

// Missing returns a revision that the node has known from a proof for missingTime and does not have
// in force, at most once in missingTime. Without it the node stops to trust keys once its older
// proof has become too old.
func (ma *Machine) Missing(now time.Time) (revision uint64, ok bool) {
	if ma.missing == 0 || now.Before(ma.missingSince) {
		return 0, false
	}
	ma.missingSince = now.Add(missingTime)
	return ma.missing, true
}

// AnswerChild answers the query of a child that is active or not. The child may have a later
// revision in force than this node, so that it gets the newest proof of all. Without a proof the
// next query of this node is due soon.
func (ma *Machine) AnswerChild(now time.Time, active bool) Answer {
	if active {
		ma.childUntil = now.Add(activeTime)
		ma.advance(ActiveInterval)
	}
	pf, ok := ma.proofs.newest()
	if age := now.Sub(pf.At); ok && age < ma.limit() {
		return Answer{Proved: true, Revision: pf.Revision, Age: age}
	}
	ma.advance(firstDelay)
	return Answer{}
}

// Wake returns the time at which Next must be called again, if any: when a query is due or an
// answer is overdue, or when the newest proof for the revision in force becomes too old.
func (ma *Machine) Wake(now time.Time) (at time.Time, ok bool) {
	if !ma.customers {
		return time.Time{}, false
	}
	at = ma.nextDue()
	if timeout := ma.silentSince.Add(AnswerTimeout); !ma.silentSince.IsZero() && timeout.Before(at) {
		at = timeout
	}
	if pf, ok := ma.proofs.usable(ma.revision); ok && ma.Fresh(now, ma.revision) {
		if end := pf.At.Add(ma.limit()); end.Before(at) {
			at = end
		}
	}
	return at, true
}
