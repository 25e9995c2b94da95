package freshness

import (
	"fmt"
	"math/rand/v2"
	"time"

	"camphortrail/call"
)

// testBound is the bound on revocation of the nodes of a network.
const testBound = 5 * time.Second

// network connects the nodes of a failure domain and a leader that issues proofs.
type network struct {
	rng *rand.Rand
	now time.Time
	// acknowledged[r] is the time at which revision r+1 was acknowledged.
	acknowledged []time.Time
	nodes        []*node
	byName       map[call.VM]*node
	messages     []message
	// delay returns the time that a message takes, or false if it is lost. duplicate says whether
	// it arrives twice.
	delay     func() (time.Duration, bool)
	duplicate func() bool
	// cut reports whether a message between two nodes, or a node and Control, is lost.
	cut func(from, to call.VM) bool
	// leads says whether the leader holds its lease.
	leads bool
	// controlQueries counts the queries that arrive at the leader, and nodeQueries those that
	// arrive at each node.
	controlQueries int
	nodeQueries    map[call.VM]int
	// check is called for each node after each event.
	check func(nd *node)
}

// node is a node with its own clock, which differs from that of the network by offset.
type node struct {
	name      call.VM
	machine   *Machine
	offset    time.Duration
	suspended bool
	serving   bool
	revision  uint64
	// wake is the time of the network at which the node is stepped next, if wakes is true.
	wake  time.Time
	wakes bool
}

// clock returns the time of the node's clock.
func (nd *node) clock(nt *network) time.Time { return nt.now.Add(nd.offset) }

// message is a query or an answer. Queries to and answers from control have the name Control.
type message struct {
	at       time.Time
	from, to call.VM
	query    *Query
	number   uint64
	answer   Answer
}

// newNetwork returns a network of n nodes that have revision 1 in force.
func newNetwork(seed uint64, n int) *network {
	nt := &network{
		rng: rand.New(rand.NewPCG(seed, seed)), now: time.Unix(1_000_000, 0), leads: true,
		cut: func(_, _ call.VM) bool { return false }, nodeQueries: make(map[call.VM]int), byName: make(map[call.VM]*node),
		delay: func() (time.Duration, bool) { return time.Millisecond, true }, duplicate: func() bool { return false },
		check: func(*node) {},
	}
	nt.accept()
	for i := range n {
		nd := &node{name: call.VM(fmt.Sprintf("vm-%02d", i))}
		nt.nodes, nt.byName[nd.name] = append(nt.nodes, nd), nd
	}
	for _, nd := range nt.nodes {
		nt.restart(nd, 1)
	}
	return nt
}

// accept makes the leader acknowledge a further revision, and returns it.
func (nt *network) accept() uint64 {
	nt.acknowledged = append(nt.acknowledged, nt.now)
	return uint64(len(nt.acknowledged))
}

// restart starts a node anew with a revision in force. Its boot clock may have any reading.
func (nt *network) restart(nd *node, revision uint64) {
	nd.offset, nd.suspended, nd.revision = time.Duration(nt.rng.Int64N(int64(time.Hour))), false, revision
	nd.machine = New(Settings{Name: nd.name, Bound: testBound, FirstNumber: nt.rng.Uint64()}, rand.New(rand.NewPCG(nt.rng.Uint64(), 1)))
	for _, other := range nt.nodes {
		nd.machine.Add(other.name)
	}
	nd.machine.SetConfiguration(nd.clock(nt), revision, true)
}

// apply puts a revision in force at a node. A lower one than before is ignored.
func (nt *network) apply(nd *node, revision uint64) {
	if revision > nd.revision {
		nd.revision = revision
		nd.machine.SetConfiguration(nd.clock(nt), revision, true)
	}
}

// node returns the node with a name, or nil for Control.
func (nt *network) node(vm call.VM) *node { return nt.byName[vm] }

// send sends a message.
func (nt *network) send(msg message) {
	if nt.cut(msg.from, msg.to) {
		return
	}
	copies := 1
	if nt.duplicate() {
		copies = 2
	}
	for range copies {
		if delay, ok := nt.delay(); ok {
			msg.at = nt.now.Add(delay)
			nt.messages = append(nt.messages, msg)
		}
	}
}

// run lets time pass. A suspended node gets its messages after it is resumed.
func (nt *network) run(length time.Duration) {
	end := nt.now.Add(length)
	for _, nd := range nt.nodes {
		nt.schedule(nd)
	}
	for {
		next, earliest := end, -1
		var due *node
		for i, msg := range nt.messages {
			if nd := nt.node(msg.to); (nd == nil || !nd.suspended) && msg.at.Before(next) {
				next, earliest = msg.at, i
			}
		}
		for _, nd := range nt.nodes {
			if nd.wakes && nd.wake.Before(next) {
				next, due = nd.wake, nd
			}
		}
		if next.After(nt.now) {
			nt.now = next
		}
		switch {
		case due != nil:
			nt.step(due)
			nt.schedule(due)
		case earliest >= 0:
			msg := nt.messages[earliest]
			nt.messages = append(nt.messages[:earliest], nt.messages[earliest+1:]...)
			nt.deliver(msg)
			if nd := nt.node(msg.to); nd != nil {
				nt.schedule(nd)
			}
		default:
			return
		}
	}
}

// schedule notes when a node must be stepped next.
func (nt *network) schedule(nd *node) {
	at, ok := nd.machine.Wake(nd.clock(nt))
	nd.wake, nd.wakes = at.Add(-nd.offset), ok && !nd.suspended
}

// step sends the query of a node that is due.
func (nt *network) step(nd *node) {
	if nd.serving {
		nd.machine.Used(nd.clock(nt))
	}
	if qu, send, _ := nd.machine.Next(nd.clock(nt)); send {
		nt.send(message{from: nd.name, to: qu.To, query: &qu, number: qu.Number})
	}
	nt.check(nd)
}

// deliver delivers a message.
func (nt *network) deliver(msg message) {
	nd := nt.node(msg.to)
	switch {
	case msg.to == Control:
		nt.controlQueries++
		if nt.leads {
			nt.send(message{from: Control, to: msg.from, number: msg.number, answer: Answer{Proved: true, Revision: uint64(len(nt.acknowledged))}})
		}
	case msg.query != nil:
		nt.nodeQueries[nd.name]++
		nt.send(message{from: nd.name, to: msg.from, number: msg.number, answer: nd.machine.AnswerChild(nd.clock(nt), msg.query.Active)})
	default:
		nd.machine.Receive(nd.clock(nt), msg.from, msg.number, msg.answer)
		nt.check(nd)
	}
}

// fresh returns the number of nodes that trust the keys of the revision in force.
func (nt *network) fresh() int {
	count := 0
	for _, nd := range nt.nodes {
		if !nd.suspended && nd.machine.Fresh(nd.clock(nt), nd.revision) {
			count++
		}
	}
	return count
}
