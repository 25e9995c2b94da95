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

// TestLateSignalEndsStopInTime guards against a process that acts late on its SIGTERM, as it had no processor,
// and counts the grace time from then: it lets in what the SIGKILL cuts.
func TestLateSignalEndsStopInTime(t *testing.T) {
	plan := StopPlan{NoticePeriod: 2500 * time.Millisecond, FinishTimeout: 2700 * time.Millisecond, LateTime: 400 * time.Millisecond}
	now := time.Now()
	for _, tt := range []struct {
		name                     string
		late                     time.Duration
		noticeEnd, finishBy, end time.Duration
	}{
		{"in time", 0, 2500 * time.Millisecond, 5200 * time.Millisecond, 5200 * time.Millisecond},
		{"a little late", 300 * time.Millisecond, 2200 * time.Millisecond, 4900 * time.Millisecond, 5200 * time.Millisecond},
		{"very late", 8 * time.Second, -5500 * time.Millisecond, -2800 * time.Millisecond, 2700 * time.Millisecond},
		{"late", 1500 * time.Millisecond, time.Second, 3700 * time.Millisecond, 4100 * time.Millisecond},
	} {
		st := plan.times(now.Add(-tt.late), now)
		want := stopTimes{now.Add(-tt.late), now.Add(tt.noticeEnd), now.Add(tt.finishBy), now.Add(tt.end)}
		if st != want {
			t.Errorf("%s: %+v, want %+v", tt.name, st, want)
		}
	}
}
