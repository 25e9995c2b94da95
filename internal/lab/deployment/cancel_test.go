package deployment

import (
	"context"
	"sync"
	"testing"
	"time"

	"camphortrail/call"
	"camphortrail/internal/lab/standin"
	"camphortrail/internal/ops/operator"
)

// TestCancelledRequestsFreeSlots cancels requests that wait and requests that run at the
// deepest service, whose work takes longer than the test. Each cancellation must reach
// the upstream and free the slot.
func TestCancelledRequestsFreeSlots(t *testing.T) {
	t.Parallel()
	const (
		slots   = 4
		waiting = 2
		// usualServiceTime is short enough for the guard to queue requests instead of
		// refusing them.
		usualServiceTime = 400 * time.Millisecond
		longServiceTime  = 2 * testTimeout
	)
	fl := startFleet(
		t, 1, 50*time.Second,
		standin.UpstreamOptions{Service: front, Slots: 20, Calls: calls(front, deepest)},
		standin.UpstreamOptions{Service: deepest, Slots: slots},
	)
	up, vm := fl.Upstreams[1], string(fl.opt.VMs[1].Name)
	for name, svc := range map[string]call.Service{"directly": deepest, "through a service": front} {
		var callers sync.WaitGroup
		up.SetServiceTime(usualServiceTime)
		for range slots {
			callers.Go(func() { fl.send(t.Context(), 0, deepest, lookups, "before") })
		}
		callers.Wait()
		up.SetServiceTime(longServiceTime)
		begun := time.Now()
		run, cancelRunning := context.WithCancel(t.Context())
		wait, cancelWaiting := context.WithCancel(t.Context())
		for range slots {
			callers.Go(func() { fl.sendUntilCancelled(run, svc, "runs") })
		}
		fl.waitFor("running work", func() bool { return len(fl.runs(vm, begun)) == slots })
		for range waiting {
			callers.Go(func() { fl.sendUntilCancelled(wait, svc, "waits") })
		}
		fl.waitFor("waiting work", func() bool { return fl.upstreamReport(1).Waiting == waiting })
		cancelWaiting()
		fl.waitFor("waiting work cancelled", func() bool { return fl.upstreamReport(1).Waiting == 0 })
		cancelRunning()
		fl.waitFor("running work cancelled at the upstream", func() bool {
			running, _, _ := up.Load()
			return running == 0 && fl.upstreamReport(1).Running == 0
		})
		callers.Wait()
		if runs := fl.runs(vm, begun); len(runs) != slots {
			t.Errorf("%s: %d runs at the upstream, want only the %d that held slots", name, len(runs), slots)
		}
	}
}

// sendUntilCancelled sends a request again and again, also after refusals, until ctx
// ends.
func (fl *fleet) sendUntilCancelled(ctx context.Context, svc call.Service, item string) {
	for ; ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
		fl.send(ctx, 0, svc, lookups, item)
	}
}

// TestCancelledNonIdempotentWorkEnds cancels a running non-idempotent request. Its work
// must run to its end and hold its slot until then.
func TestCancelledNonIdempotentWorkEnds(t *testing.T) {
	t.Parallel()
	fl := startFleet(t, 1, time.Minute, standin.UpstreamOptions{Service: front, Slots: 2, ServiceTime: time.Second})
	up, vm := fl.Upstreams[0], string(fl.opt.VMs[0].Name)
	ctx, cancel := context.WithCancel(t.Context())
	answers := make(chan reply)
	go func() { answers <- fl.send(ctx, 0, front, issues, "1") }()
	running := func() int { n, _, _ := up.Load(); return n }
	fl.waitFor("running work", func() bool { return running() == 1 })
	cancel()
	if rp := <-answers; rp.err == nil {
		t.Fatalf("the cancelled caller got an answer: %v", rp)
	}
	fl.waitFor("slot released", func() bool { return fl.upstreamReport(0).Running == 0 })
	if running() > 0 {
		t.Error("the guard released the slot while the work was still running")
	}
	if runs := fl.runs(vm, time.Time{}); len(runs) != 1 {
		t.Errorf("%d runs, want 1", len(runs))
	}
}

// upstreamReport returns the node's report on the upstream beside it.
func (fl *fleet) upstreamReport(node int) operator.UpstreamReport {
	fl.t.Helper()
	_, peers, _ := fl.Nodes[node].Addresses()
	rp, err := fl.Client.Show(fl.t.Context(), peers)
	if err != nil {
		fl.t.Fatal(err)
	}
	for _, up := range rp.Upstreams {
		if up.VM == string(fl.opt.VMs[node].Name) {
			return up
		}
	}
	fl.t.Fatalf("no upstream beside node %d", node)
	return operator.UpstreamReport{}
}
