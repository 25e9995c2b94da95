package entry

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"camphortrail/call"
	"camphortrail/internal/ops/events"
)

// What a stopping entry lets in has a line of its own, since it may be cut at the end of the stop.
func TestAcceptedWhileStoppingIsLogged(t *testing.T) {
	tn := newRoutedTestNode(t, answerOK)
	tn.opt.Events = events.New("a")
	tn.Stop()
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
