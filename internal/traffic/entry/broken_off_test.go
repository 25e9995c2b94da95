package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"camphortrail/call"
	"camphortrail/internal/traffic/pipeline"
)

// TestBrokenOffRequestSaysWhetherItRan guards against an answer at the end of a stop that says of a
// request that it has not run, although the upstream works on it. One that may not be repeated
// gets no answer before the upstream's, and one that may is aborted.
func TestBrokenOffRequestSaysWhetherItRan(t *testing.T) {
	for _, uri := range []string{"/x/1", "/x/once/1"} {
		t.Run(uri, func(t *testing.T) {
			begun, end := make(chan struct{}, 4), make(chan struct{})
			var runs atomic.Int32
			tn := newRoutedTestNode(t, func(w http.ResponseWriter, r *http.Request) {
				runs.Add(1)
				begun <- struct{}{}
				<-end
				answerOK(w, r)
			})
			ctx, cancel := context.WithCancelCause(t.Context())
			done := make(chan call.Outcome, 1)
			go func() {
				done <- tn.ServeRequest(ctx, &Request{
					ID: call.RequestID{1}, Method: "POST", Host: "h", URI: uri, Header: http.Header{}, Deadline: time.Now().Add(3 * time.Second),
				}).Outcome
			}()
			<-begun
			cancel(pipeline.ErrShutdown)
			select {
			case outcome := <-done:
				t.Logf("answered %v while it runs", outcome)
				if outcome != call.Unknown {
					t.Errorf("answer %v, want unknown", outcome)
				}
			case <-time.After(200 * time.Millisecond):
				t.Log("no answer while it runs")
			}
			close(end)
			if n := runs.Load(); n != 1 {
				t.Errorf("%d runs", n)
			}
		})
	}
}
