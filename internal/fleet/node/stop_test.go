package node

import (
	"context"
	"testing"
	"time"

	"camphortrail/call"
	"camphortrail/internal/traffic/attempt"
	"camphortrail/internal/traffic/calltree"
	"camphortrail/internal/traffic/guard"
	"camphortrail/retry"
)

// TestStopBeginsNothingBeyondItsEnd guards against attempts that a stopping node takes in its notice,
// although they may last until after its end, and cuts off there: the node of their caller may stop too.
func TestStopBeginsNothingBeyondItsEnd(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	gd := guard.New(guard.Options{Trees: calltree.New(retry.DefaultLimits()), Seed: 1, Incarnation: 1})
	go func() {
		defer close(done)
		_ = gd.Run(ctx)
	}()
	defer func() { stop(); <-done }()
	nd := &Node{guard: gd, opt: Options{Stop: StopPlan{NoticePeriod: 2500 * time.Millisecond, DrainPeriod: time.Second}}}
	now := time.Now()
	ended, end := context.WithCancel(ctx)
	end() // the notice is not waited for
	nd.serveDuringNotice(ended, now.Add(2500*time.Millisecond), now.Add(20*time.Second))
	for timeout, want := range map[time.Duration]string{time.Minute: guard.ReasonStopping, 10 * time.Second: guard.ReasonNoUpstream} {
		an := gd.Handle(ctx, &attempt.Attempt{ID: call.AttemptID{byte(timeout / time.Second)}, Deadline: now.Add(timeout), Stamp: gd.Stamp()})
		if an.Reason != want {
			t.Errorf("deadline in %v: %q, want %q", timeout, an.Reason, want)
		}
	}
}
