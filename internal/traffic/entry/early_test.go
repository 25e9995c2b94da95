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
			var out bytes.Buffer
			tn.opt.Metrics.WritePrometheus(&out)
			if want := `camphortrail_entry_early_failures_total{reason="broken-answer",stopping="false"} 1`; !strings.Contains(out.String(), want) {
				t.Errorf("metrics %s, want %s", out.String(), want)
			}
		})
	}
}
