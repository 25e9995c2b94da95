package membership_test

import (
	"fmt"
	"testing"
	"time"

	"camphortrail/call"
	"camphortrail/membership"
	"camphortrail/schema"
)

// newConvergedNetwork returns a network of n processes that know each other.
func newConvergedNetwork(n, domains int) *network {
	nw := newNetwork(1)
	nw.firstStart = true
	defer func() { nw.firstStart = false }()
	dg := &schema.Datagram{
		Deployment: "test", From: "vm-seed", FromAddress: "10.255.0.1:7000",
		Kind: schema.Datagram_KIND_UPDATES, Reconcile: true,
	}
	for i := range n {
		fd := call.FailureDomain(fmt.Sprintf("domain-%d", i%domains))
		self := nw.start(vmName(i), address(i), fd, address(0), address(1)).Self()
		dg.Members = append(dg.Members, &schema.Member{
			Name: string(self.Name), Address: self.Address.String(), FailureDomain: string(fd),
			Role: string(self.Role), Incarnation: uint64(self.Incarnation), State: schema.Member_STATE_ALIVE,
		})
	}
	nw.each(func(pr *process) { pr.Step(nw.now, membership.Receive{Datagram: dg}) })
	nw.run(5 * time.Second)
	return nw
}

// TestMergeAfterPartition cuts two of five failure domains off and reconnects them. The
// views must be correct again within seconds, and only a few processes may refute their
// death.
func TestMergeAfterPartition(t *testing.T) {
	nw := newConvergedNetwork(200, 5)
	far := func(pr *process) bool { return pr.set.FailureDomain < "domain-2" }
	nw.cut = func(a, b *process) bool { return far(a) != far(b) }
	nw.run(20 * time.Second)
	if n, _ := nw.differences(); n != 200 {
		t.Fatalf("%d views differ during the partition", n)
	}
	nw.cut = func(_, _ *process) bool { return false }
	nw.settle(t, 3*time.Second)
	refutations := uint64(0)
	nw.each(func(pr *process) { refutations += pr.Counters().Refutations })
	if refutations > 40 {
		t.Errorf("%d of 200 processes refuted their death", refutations)
	}
}

// BenchmarkCost measures the traffic and processor time of a process in a quiet network
// in virtual time, and how long an announcement takes to reach all processes with 1 % of
// the datagrams lost.
func BenchmarkCost(b *testing.B) {
	const quiet = 10 * time.Second
	for _, n := range []int{100, 400, 1100} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			nw := newConvergedNetwork(n, 5)
			bytes, spread := 0, time.Duration(0)
			for b.Loop() {
				nw.each(func(pr *process) { pr.sentBytes, pr.receivedBytes = 0, 0 })
				nw.run(quiet)
				nw.each(func(pr *process) { bytes += pr.sentBytes + pr.receivedBytes })
				b.StopTimer()
				nw.loss = 0.01
				pr := nw.procs[address(n/2)]
				nw.step(pr, membership.AnnounceUpstreams{Upstreams: []membership.Upstream{{Service: "cassa", Slots: uint32(b.N + bytes)}}})
				spread = max(spread, nw.settle(b, 10*time.Second))
				nw.loss = 0
				nw.run(5 * time.Second)
				b.StartTimer()
			}
			seconds := float64(b.N) * quiet.Seconds() * float64(n)
			b.ReportMetric(float64(bytes)/seconds, "B/process/s")
			b.ReportMetric(b.Elapsed().Seconds()*1e6/seconds, "cpu-us/process/s")
			b.ReportMetric(float64(spread.Milliseconds()), "max-spread-ms")
		})
	}
}
