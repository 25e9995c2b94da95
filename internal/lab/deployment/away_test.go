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

// TestCallerGoesAway gives requests up while they wait and while they run at
// the deepest service, whose work takes longer than the test.
func TestCallerGoesAway(t *testing.T) {
	t.Parallel()
	const (
		slots   = 4
		waiting = 2
		// usual lets the guard expect work that is worth a wait.
		usual = 400 * time.Millisecond
		long  = 2 * patience
	)
	fl := startFleet(
		t, 1, 50*time.Second,
		standin.UpstreamOptions{Service: front, Slots: 20, Calls: calls(front, deepest)},
		standin.UpstreamOptions{Service: deepest, Slots: slots},
	)
	up, vm := fl.Upstreams[1], string(fl.opt.VMs[1].Name)
	for name, svc := range map[string]call.Service{"directly": deepest, "through a service": front} {
		var callers sync.WaitGroup
		up.SetServiceTime(usual)
		for range slots {
			callers.Go(func() { fl.send(t.Context(), 0, deepest, lookups, "before") })
		}
		callers.Wait()
		up.SetServiceTime(long)
		begun := time.Now()
		run, abandonRunning := context.WithCancel(t.Context())
		wait, abandonWaiting := context.WithCancel(t.Context())
		for range slots {
			callers.Go(func() { fl.repeat(run, svc, "runs") })
		}
		fl.until("running work", func() bool { return len(fl.runs(vm, begun)) == slots })
		for range waiting {
			callers.Go(func() { fl.repeat(wait, svc, "waits") })
		}
		fl.until("waiting work", func() bool { return fl.load(1).Waiting == waiting })
		abandonWaiting()
		fl.until("waiting work cancelled", func() bool { return fl.load(1).Waiting == 0 })
		abandonRunning()
		fl.until("running work cancelled at the upstream", func() bool {
			running, _, _ := up.Load()
			return running == 0 && fl.load(1).Running == 0
		})
		callers.Wait()
		if runs := fl.runs(vm, begun); len(runs) != slots {
			t.Errorf("%s: %d runs at the upstream, want the %d that ran before", name, len(runs), slots)
		}
	}
}

// repeat sends a request until ctx ends. One that is refused is sent again.
func (fl *fleet) repeat(ctx context.Context, svc call.Service, item string) {
	for ; ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
		fl.send(ctx, 0, svc, lookups, item)
	}
}

// TestCallerOfEffectGoesAway gives a running non-idempotent request up. Its
// work goes on to the end, and holds its slot until then.
func TestCallerOfEffectGoesAway(t *testing.T) {
	t.Parallel()
	fl := startFleet(t, 1, time.Minute, standin.UpstreamOptions{Service: front, Slots: 2, ServiceTime: time.Second})
	up, vm := fl.Upstreams[0], string(fl.opt.VMs[0].Name)
	ctx, abandon := context.WithCancel(t.Context())
	given := make(chan reply)
	go func() { given <- fl.send(ctx, 0, front, issues, "1") }()
	running := func() int { n, _, _ := up.Load(); return n }
	fl.until("running work", func() bool { return running() == 1 })
	abandon()
	if rp := <-given; rp.err == nil {
		t.Fatalf("an answer came to the caller who went away: %v", rp)
	}
	fl.until("slot given back", func() bool { return fl.load(0).Running == 0 })
	if running() > 0 {
		t.Error("the guard gave the slot back while the work went on")
	}
	if runs := fl.runs(vm, time.Time{}); len(runs) != 1 {
		t.Errorf("%d runs, want 1", len(runs))
	}
}

// load returns what the node says of the upstream beside it.
func (fl *fleet) load(node int) operator.UpstreamReport {
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
