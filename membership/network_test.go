package membership_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"camphortrail/call"
	"camphortrail/membership"
	"camphortrail/schema"
)

const udpHeaderBytes = 28

// clockLag is how far the clocks of newly started processes are behind.
var clockLag time.Duration

var epoch = time.UnixMilli(1_700_000_000_000)

// process is one run of a Machine in a network.
type process struct {
	*membership.Machine
	set    membership.Settings
	paused bool
	// sentBytes and receivedBytes include the IP and UDP headers.
	sentBytes     int
	receivedBytes int
	hints         []membership.RevisionHint
	// recalled is the last Recalled, or nil.
	recalled *membership.Recalled
	// lastChange is the record of the last Changed about each member.
	lastChange map[call.VM]membership.Member
}

// delivery is a datagram in transit to an address, or the next tick of process if dg is
// nil.
type delivery struct {
	at      time.Time
	seq     int
	to      netip.AddrPort
	process *process
	dg      *schema.Datagram
}

// queue is a heap of deliveries by time, and then by their order of creation.
type queue []delivery

func (qu queue) Len() int { return len(qu) }
func (qu queue) Less(i, j int) bool {
	if !qu[i].at.Equal(qu[j].at) {
		return qu[i].at.Before(qu[j].at)
	}
	return qu[i].seq < qu[j].seq
}
func (qu queue) Swap(i, j int) { qu[i], qu[j] = qu[j], qu[i] }
func (qu *queue) Push(x any)   { *qu = append(*qu, x.(delivery)) }
func (qu *queue) Pop() any {
	last := (*qu)[len(*qu)-1]
	*qu = (*qu)[:len(*qu)-1]
	return last
}

// network connects Machines in virtual time.
type network struct {
	rng       *rand.Rand
	now       time.Time
	seq       int
	queue     queue
	procs     map[netip.AddrPort]*process
	order     []netip.AddrPort
	loss      float64
	duplicate float64
	latency   func() time.Duration
	// cut reports whether datagrams in this direction are lost.
	cut func(from, to *process) bool
	// firstStart is that of the processes that are started.
	firstStart bool
	// check is called for each change.
	check func(pr *process, ch membership.Changed)
}

func newNetwork(seed uint64) *network {
	nw := &network{
		rng:   rand.New(rand.NewPCG(seed, 0)),
		now:   epoch,
		procs: make(map[netip.AddrPort]*process),
		cut:   func(_, _ *process) bool { return false },
		check: func(*process, membership.Changed) {},
	}
	nw.latency = func() time.Duration {
		return 500*time.Microsecond + time.Duration(nw.rng.Int64N(int64(3*time.Millisecond)))
	}
	return nw
}

func address(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 7000)
}

func vmName(n int) call.VM { return call.VM(fmt.Sprintf("vm-%04d", n)) }

// start starts a process at an address, and replaces the process that ran there.
func (nw *network) start(name call.VM, addr netip.AddrPort, fd call.FailureDomain, contacts ...netip.AddrPort) *process {
	set := membership.Settings{
		Deployment:    "test",
		Name:          name,
		Address:       addr,
		FailureDomain: fd,
		Role:          membership.NodeRole,
		Incarnation:   membership.Incarnation(nw.now.Add(-clockLag).UnixMilli()),
		Contacts:      contacts,
		FirstStart:    nw.firstStart,
	}
	pr := &process{set: set, lastChange: make(map[call.VM]membership.Member)}
	pr.Machine = membership.New(set, rand.New(rand.NewPCG(nw.rng.Uint64(), 0)))
	if nw.procs[addr] == nil {
		nw.order = append(nw.order, addr)
	}
	nw.procs[addr] = pr
	phase := time.Duration(nw.rng.Int64N(int64(membership.TickInterval)))
	nw.push(delivery{at: nw.now.Add(phase), process: pr})
	return pr
}

// cluster starts n processes for the first time, spread evenly over the given number of failure
// domains.
func (nw *network) cluster(n, domains int) {
	nw.firstStart = true
	defer func() { nw.firstStart = false }()
	for i := range n {
		fd := call.FailureDomain(fmt.Sprintf("domain-%d", i%domains))
		nw.start(vmName(i), address(i), fd, address(0), address(1%n), address(2%n))
		nw.run(20 * time.Millisecond)
	}
}

// stop crashes the process at an address.
func (nw *network) stop(addr netip.AddrPort) {
	delete(nw.procs, addr)
	nw.order = slices.DeleteFunc(nw.order, func(other netip.AddrPort) bool { return other == addr })
}

// push adds a delivery to the queue.
func (nw *network) push(dv delivery) {
	nw.seq++
	dv.seq = nw.seq
	heap.Push(&nw.queue, dv)
}

// step passes an event to a process and carries out its actions.
func (nw *network) step(pr *process, ev membership.Event) {
	for _, ac := range pr.Step(nw.now, ev) {
		switch ac := ac.(type) {
		case membership.SendDatagram:
			nw.send(pr, ac)
		case membership.Changed:
			nw.check(pr, ac)
			pr.lastChange[ac.Member.Name] = ac.Member
		case membership.Recalled:
			pr.recalled = &ac
		case membership.RevisionHint:
			pr.hints = append(pr.hints, ac)
		}
	}
}

// send puts a datagram in transit, subject to cuts, loss, duplication and latency.
func (nw *network) send(pr *process, ac membership.SendDatagram) {
	size := proto.Size(ac.Datagram)
	if size > 1200 {
		panic(fmt.Sprintf("datagram of %d bytes", size))
	}
	pr.sentBytes += size + udpHeaderBytes
	to := nw.procs[ac.Address]
	if to == nil || nw.cut(pr, to) || nw.rng.Float64() < nw.loss {
		return
	}
	copies := 1
	if nw.rng.Float64() < nw.duplicate {
		copies = 2
	}
	for range copies {
		nw.push(delivery{at: nw.now.Add(nw.latency()), to: ac.Address, dg: ac.Datagram})
	}
}

// run advances the virtual time.
func (nw *network) run(d time.Duration) {
	end := nw.now.Add(d)
	for len(nw.queue) > 0 && !nw.queue[0].at.After(end) {
		dv := heap.Pop(&nw.queue).(delivery)
		nw.now = dv.at
		if dv.dg != nil {
			nw.deliver(dv)
			continue
		}
		if nw.procs[dv.process.set.Address] != dv.process {
			continue
		}
		if !dv.process.paused {
			nw.step(dv.process, membership.Tick{})
		}
		nw.push(delivery{at: nw.now.Add(membership.TickInterval), process: dv.process})
	}
	nw.now = end
}

// deliver passes a datagram to the process at its address, unless that is paused or down.
func (nw *network) deliver(dv delivery) {
	pr := nw.procs[dv.to]
	if pr == nil || pr.paused {
		return
	}
	pr.receivedBytes += proto.Size(dv.dg) + udpHeaderBytes
	nw.step(pr, membership.Receive{Datagram: dv.dg})
}

// each calls f with all processes in a fixed order.
func (nw *network) each(f func(pr *process)) {
	for _, addr := range nw.order {
		f(nw.procs[addr])
	}
}

// differences returns the number of processes whose view differs from the running
// processes, and an example.
func (nw *network) differences() (n int, example string) {
	live := make(map[call.VM]membership.Member)
	nw.each(func(pr *process) {
		if self := pr.Self(); self.State == membership.Alive {
			live[self.Name] = self
		}
	})
	nw.each(func(pr *process) {
		if diff := differsFrom(pr, live); diff != "" {
			n++
			example = fmt.Sprintf("%s: %s", pr.Self().Name, diff)
		}
	})
	return n, example
}

// differsFrom compares the members that are present in the view of pr with the running
// processes. It returns a description of the first difference, or an empty string.
func differsFrom(pr *process, live map[call.VM]membership.Member) string {
	seen := 0
	for mb := range pr.Members {
		want, ok := live[mb.Name]
		if !mb.State.Present() && !ok {
			continue
		}
		if !ok {
			return fmt.Sprintf("%s is %s, but does not run", mb.Name, mb.State)
		}
		if !mb.Equal(want) {
			return fmt.Sprintf("has %+v, want %+v", mb, want)
		}
		seen++
	}
	if pr.Self().State == membership.Alive && seen != len(live) {
		return fmt.Sprintf("sees %d of %d", seen, len(live))
	}
	return ""
}

// settle runs until all views are correct, and returns the time that it took.
func (nw *network) settle(t testing.TB, limit time.Duration) time.Duration {
	t.Helper()
	from := nw.now
	for {
		n, example := nw.differences()
		if n == 0 {
			return nw.now.Sub(from)
		}
		if nw.now.Sub(from) >= limit {
			t.Fatalf("after %v %d views differ, such as %s", limit, n, example)
		}
		nw.run(100 * time.Millisecond)
	}
}
