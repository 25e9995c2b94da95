package membership_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"camphortrail/call"
	"camphortrail/internal/lab/fuzzing"
	"camphortrail/membership"
)

func init() {
	fuzzing.SetFlags(0, 0)
}

const (
	addressCount = 12
	// settleTime covers a suspicion, a conflict of two incarnations, and the comparisons
	// after them.
	settleTime = 30 * time.Second
)

// TestViewsConverge runs processes through random crashes, pauses and network faults. No
// process may replace a newer announcement by an older one, and once the faults have
// ended for settleTime all views must be correct.
func TestViewsConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		nw := newNetwork(rapid.Uint64().Draw(rt, "seed"))
		nw.check = func(pr *process, ch membership.Changed) { checkOrder(rt, pr, ch) }
		md := &model{nw: nw}
		for i := range 4 {
			md.launch(i)
		}
		rt.Repeat(map[string]func(*rapid.T){
			"":         func(*rapid.T) {},
			"run":      md.run,
			"start":    md.start,
			"crash":    md.crash,
			"leave":    md.leave,
			"pause":    md.pause,
			"announce": md.announce,
			"network":  md.network,
			"split":    md.split,
		})
		md.quiet()
		nw.run(settleTime)
		if n, example := nw.differences(); n > 0 {
			rt.Fatalf("%d views differ, such as %s", n, example)
		}
	})
}

// checkOrder fails if a change goes back to an earlier incarnation or announcement.
func checkOrder(rt *rapid.T, pr *process, ch membership.Changed) {
	old, ok := pr.lastChange[ch.Member.Name]
	if !ok || ch.Member.Incarnation > old.Incarnation {
		return
	}
	if ch.Member.Incarnation < old.Incarnation || ch.Member.Announcement < old.Announcement {
		rt.Fatalf("%s accepts %+v after %+v", pr.Self().Name, ch.Member, old)
	}
}

// model performs the random actions. counts is the number of announcements so far, which
// makes each of them different.
type model struct {
	nw     *network
	counts uint32
}

// launch starts process number i at its address.
func (md *model) launch(i int) {
	fd := call.FailureDomain(fmt.Sprintf("domain-%d", i%3))
	md.nw.start(vmName(i), address(i), fd, address(0), address(1), address(2))
}

// anyProcess draws a running process.
func (md *model) anyProcess(rt *rapid.T) *process {
	if len(md.nw.order) == 0 {
		rt.Skip("no process")
	}
	return md.nw.procs[rapid.SampledFrom(md.nw.order).Draw(rt, "process")]
}

func (md *model) run(rt *rapid.T) {
	md.nw.run(time.Duration(rapid.IntRange(1, 15_000).Draw(rt, "ms")) * time.Millisecond)
}

// start starts or restarts the process at a random address.
func (md *model) start(rt *rapid.T) {
	md.launch(rapid.IntRange(0, addressCount-1).Draw(rt, "address"))
}

func (md *model) crash(rt *rapid.T) { md.nw.stop(md.anyProcess(rt).set.Address) }

func (md *model) leave(rt *rapid.T) {
	pr := md.anyProcess(rt)
	md.nw.step(pr, membership.Leave{})
	md.nw.run(time.Duration(rapid.IntRange(0, 1000).Draw(rt, "ms")) * time.Millisecond)
	md.nw.stop(pr.set.Address)
}

func (md *model) pause(rt *rapid.T) {
	pr := md.anyProcess(rt)
	pr.paused = !pr.paused
}

func (md *model) announce(rt *rapid.T) {
	md.counts++
	up := membership.Upstream{Service: "cassa", Slots: md.counts, Draining: rapid.Bool().Draw(rt, "draining")}
	md.nw.step(md.anyProcess(rt), membership.AnnounceUpstreams{Upstreams: []membership.Upstream{up}})
}

func (md *model) network(rt *rapid.T) {
	md.nw.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(rt, "loss")
	md.nw.duplicate = rapid.SampledFrom([]float64{0, 0.1}).Draw(rt, "double")
	spread := rapid.SampledFrom([]int64{3, 300}).Draw(rt, "latency")
	md.nw.latency = func() time.Duration {
		return time.Duration(md.nw.rng.Int64N(spread * int64(time.Millisecond)))
	}
}

// split cuts one failure domain off, in one direction or both.
func (md *model) split(rt *rapid.T) {
	fd := call.FailureDomain(rapid.SampledFrom([]string{"", "domain-0", "domain-1"}).Draw(rt, "domain"))
	oneWay := rapid.Bool().Draw(rt, "one-way")
	md.nw.cut = func(from, to *process) bool {
		out := from.set.FailureDomain == fd && to.set.FailureDomain != fd
		in := from.set.FailureDomain != fd && to.set.FailureDomain == fd
		return out || in && !oneWay
	}
}

// quiet ends all faults. It starts a contact if none runs, since otherwise the processes
// may never learn of each other.
func (md *model) quiet() {
	md.nw.loss, md.nw.duplicate = 0, 0
	md.nw.latency = func() time.Duration { return time.Millisecond }
	md.nw.cut = func(_, _ *process) bool { return false }
	md.nw.each(func(pr *process) { pr.paused = false })
	if md.nw.procs[address(0)] == nil {
		md.launch(0)
	}
}
