package entry

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"camphortrail/call"
	"camphortrail/config"
	"camphortrail/internal/ops/events"
	"camphortrail/internal/traffic/calltree"
)

// TestStoppingEntryLetsNoLateRequestsIn guards against requests of callers that a stopping node took
// for calls of its upstream and cut at the end of the stop. While attempts run for long, and few
// requests of a class were seen, nothing tells the two apart.
func TestStoppingEntryLetsNoLateRequestsIn(t *testing.T) {
	for _, tt := range []struct {
		name string
		// seen is the number of requests of the class before the stop, and deadline the time that
		// the request states, both while an attempt runs for a minute.
		seen     int
		deadline time.Duration
		outcome  call.Outcome
	}{
		{"first of its class", 0, 5 * time.Second, call.NotRun},
		{"its class taken for calls", 100, 5 * time.Second, call.NotRun},
		{"over by the end", 0, 500 * time.Millisecond, call.Done},
		{"over by the end, its class taken for calls", 100, 500 * time.Millisecond, call.Done},
	} {
		t.Run(tt.name, func(t *testing.T) {
			tn := newRoutedTestNode(t, answerOK)
			now := time.Now()
			tn.opt.Trees.Enter(&calltree.Inbound{ID: call.AttemptID{1}, Class: "report", Started: now, UpstreamDeadline: now.Add(time.Minute)})
			for range tt.seen {
				tn.opt.Trees.IsCall(calltree.OutgoingCall{Class: "look-up", Deadline: now.Add(5 * time.Second)})
			}
			tn.Stop(now, now.Add(time.Second))
			an := tn.ServeRequest(t.Context(), &Request{
				ID: call.RequestID{1}, Method: "GET", Host: "h", URI: "/x/1", Header: http.Header{}, Deadline: time.Now().Add(tt.deadline),
			})
			if an.Outcome != tt.outcome || an.Outcome == call.NotRun && an.Reason != ReasonStopping {
				t.Errorf("%v %q, want %v", an.Outcome, an.Reason, tt.outcome)
			}
		})
	}
}

// A body that arrives after the entry has stopped begins no request that outlasts the stop.
func TestStoppingEntryLetsNoLateBodiesIn(t *testing.T) {
	tn := newRoutedTestNode(t, answerOK)
	rd := &Request{ID: call.RequestID{1}, Method: "POST", Host: "h", URI: "/x/once/1", Header: http.Header{}, Deadline: time.Now().Add(5 * time.Second)}
	if an := tn.Begin(t.Context(), rd); an != nil {
		t.Fatalf("before the stop: %v %q", an.Outcome, an.Reason)
	}
	tn.Stop(time.Now(), time.Now().Add(time.Second))
	if an := tn.ServeRequest(t.Context(), rd); an.Outcome != call.NotRun || an.Reason != ReasonStopping {
		t.Errorf("%v %q, want not-run %q", an.Outcome, an.Reason, ReasonStopping)
	}
}

// What a stopping entry lets in has a line of its own, since it may be cut at the end of the stop.
func TestAcceptedWhileStoppingIsLogged(t *testing.T) {
	tn := newRoutedTestNode(t, answerOK)
	tn.opt.Events = events.New("a")
	tn.Stop(time.Now(), time.Now().Add(time.Minute))
	if outcome, reason := tn.lookUp(t, 0); outcome != call.Done {
		t.Fatalf("first request of a class: %v %q, want done", outcome, reason)
	}
	ctx, stop := context.WithCancel(t.Context())
	stop()
	var out bytes.Buffer
	if err := tn.opt.Events.Run(ctx, &out); err != nil {
		t.Fatal(err)
	}
	if log := out.String(); !strings.Contains(log, `"event":"accepted"`) || !strings.Contains(log, `"class":"look-up"`) {
		t.Errorf("no line for a request that was let in: %q", log)
	}
}

// TestNoticeEndsWithoutTimer guards against requests that a stopping node without processor time lets in
// after its notice, as it has not yet acted on the timer that ends it.
func TestNoticeEndsWithoutTimer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		en := New(Options{})
		now := time.Now()
		rq := &request{kind: &config.Kind{}, deadline: now.Add(5 * time.Second)}
		en.Stop(now.Add(2500*time.Millisecond), now.Add(5200*time.Millisecond))
		if an := en.refuseWhileStopping(rq, time.Now()); an != nil || en.RefusalReason() == ReasonStopping {
			t.Errorf("%v in the notice", an)
		}
		time.Sleep(2500 * time.Millisecond)
		if an := en.refuseWhileStopping(rq, time.Now()); an == nil || en.RefusalReason() != ReasonStopping {
			t.Errorf("%v after the notice, want a refusal", an)
		}
	})
}
