package entry

import (
	"bytes"
	"context"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"camphortrail/call"
	"camphortrail/internal/ops/events"
)

// logOf returns the lines that an entry has written.
func logOf(t *testing.T, en *Entry) string {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	stop()
	var out bytes.Buffer
	if err := en.opt.Events.Run(ctx, &out); err != nil {
		t.Fatal(err)
	}
	return out.String()
}

// An own answer before a request is due, while its upstream may be at work, tells how long before, and
// by which bound the request would have been due.
func TestEarlyAnswerIsLogged(t *testing.T) {
	for _, tt := range []struct {
		name     string
		deadline time.Duration
		clock    events.Clock
	}{
		{"deadline of the caller", 2 * time.Second, events.CallerClock},
		{"time-out of the route", time.Minute, events.TimeoutClock},
	} {
		t.Run(tt.name, func(t *testing.T) {
			tn := newRoutedTestNode(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
			tn.opt.Events, tn.opt.Metrics = events.New("a"), metrics.NewSet()
			an := tn.ServeRequest(t.Context(), &Request{
				ID: call.RequestID{1}, Method: "GET", Host: "h", URI: "/x/once/1", Header: http.Header{}, Deadline: time.Now().Add(tt.deadline),
			})
			if an.Outcome != call.Unknown {
				t.Fatalf("%v %q, want unknown", an.Outcome, an.Reason)
			}
			log := logOf(t, tn.Entry)
			if !regexp.MustCompile(`"early-us":[1-9]\d*`).MatchString(log) || !strings.Contains(log, `"clock":"`+string(tt.clock)+`"`) {
				t.Errorf("log %s, want early-us and clock %q", log, tt.clock)
			}
			if !regexp.MustCompile(`"ends":"broken-answer\+\d+@a"`).MatchString(log) {
				t.Errorf("log %s, want the attempt that was lost", log)
			}
			var out bytes.Buffer
			tn.opt.Metrics.WritePrometheus(&out)
			if want := `camphortrail_entry_early_failures_total{reason="broken-answer",stopping="false"} 1`; !strings.Contains(out.String(), want) {
				t.Errorf("metrics %s, want %s", out.String(), want)
			}
		})
	}
}

// newRemoteTestNode returns a routed test node whose upstream is beside the guard of another VM.
func newRemoteTestNode(t *testing.T, upstream http.HandlerFunc) *testNode {
	t.Helper()
	remote := newRoutedTestNode(t, upstream)
	tn := newEntryOnly(t)
	tn.addRemote(t, "b", remote.opt.Guard, nil)
	return tn
}

// TestRequestIsNotEndedBeforeItsDeadline guards against an answer of the entry's own, while the
// upstream of another VM works, just before the request is due.
func TestRequestIsNotEndedBeforeItsDeadline(t *testing.T) {
	for name, uri := range map[string]string{"may be repeated": "/x/1", "may run once": "/x/once/1"} {
		t.Run(name, func(t *testing.T) {
			end := make(chan struct{})
			tn := newRemoteTestNode(t, func(http.ResponseWriter, *http.Request) { <-end })
			defer close(end)
			for i := range 5 {
				deadline := time.Now().Add(100*time.Millisecond + time.Duration(i)*time.Millisecond/5)
				an := tn.ServeRequest(t.Context(), &Request{
					ID: call.RequestID{byte(i), 1}, Method: "POST", Host: "h", URI: uri, Header: http.Header{}, Deadline: deadline,
				})
				if early := time.Until(deadline); early > 0 {
					t.Errorf("answered %v %q %v before the deadline", an.Outcome, an.Reason, early)
				}
			}
		})
	}
}

// TestRoutesLearnFromTimeouts guards against an upstream whose requests all reach their deadlines and that
// looks idle and quick, as nothing is heard of them: its guard tells what it knows just after the deadline.
func TestRoutesLearnFromTimeouts(t *testing.T) {
	const timeout = 100 * time.Millisecond
	end := make(chan struct{})
	tn := newRemoteTestNode(t, func(http.ResponseWriter, *http.Request) { <-end })
	defer close(end)
	latency := func() time.Duration {
		tn.mu.Lock()
		defer tn.mu.Unlock()
		return tn.routes.Upstreams(time.Now(), "cassa")[0].Latency
	}
	before := latency()
	for i := range 20 {
		tn.ServeRequest(t.Context(), &Request{
			ID: call.RequestID{byte(i), 2}, Method: "GET", Host: "h", URI: "/x/1", Header: http.Header{}, Deadline: time.Now().Add(timeout),
		})
		// A busy computer may be too slow for one of the answers.
		if got := latency(); got > before && got >= timeout/10 {
			return
		}
	}
	t.Errorf("latency %v after requests of %v, %v before", latency(), timeout, before)
}
