package entry

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"camphortrail/call"
	"camphortrail/config"
	"camphortrail/internal/traffic/throttle"
	"camphortrail/schema"
)

// newRoutedTestNode returns a testNode with a route named look-up.
func newRoutedTestNode(t *testing.T, upstream http.HandlerFunc) *testNode {
	t.Helper()
	tn := newTestNode(t, upstream)
	cd, err := config.Compile(&schema.Configuration{
		Deployment: "test", Version: 2, FailureDomains: []*schema.FailureDomain{{Name: "d1", Region: "r1"}},
		Services: []*schema.Service{{Name: "cassa", RetryRatioPercent: 10, MaxRequestBytes: 100, MaxAnswerBytes: 100}},
		Routes: []*schema.Route{{
			Name: "look-up", Host: "h", PathPrefix: "/x/", Importance: 5, Idempotent: true, DeadlineMs: 3000, Attempts: 2,
			Shares: []*schema.RouteShare{{Service: "cassa", Weight: 1}},
		}, {
			Name: "issue", Host: "h", PathPrefix: "/x/once/", Importance: 5, DeadlineMs: 3000, Attempts: 2,
			Shares: []*schema.RouteShare{{Service: "cassa", Weight: 1}},
		}},
	}, 2)
	if err != nil {
		t.Fatal(err)
	}
	tn.SetConfiguration(cd)
	return tn
}

// lookUp serves the nth request of a caller.
func (tn *testNode) lookUp(t *testing.T, n int) (outcome call.Outcome, reason string) {
	an := tn.ServeRequest(t.Context(), &Request{
		ID: call.RequestID{byte(n), byte(n >> 8), 1}, Method: "GET", Host: "h", URI: "/x/1", Header: http.Header{},
		Deadline: time.Now().Add(5 * time.Second),
	})
	return an.Outcome, an.Reason
}

// Whether a request may be repeated follows from its route, and not from its method.
func TestMayRepeat(t *testing.T) {
	tn := newRoutedTestNode(t, answerOK)
	for uri, want := range map[string]bool{"/x/1": true, "/x/1?once": true, "/x/once/1": false, "/y/1": false} {
		if got := tn.MayRepeat("h", uri); got != want {
			t.Errorf("%s may be repeated: %t, want %t", uri, got, want)
		}
	}
	if New(Options{}).MayRepeat("h", "/x/1") {
		t.Error("a request may be repeated without a configuration")
	}
}

// A stopping entry refuses new requests of callers, because there may be no time to finish
// them.
func TestStoppingEntryRefusesCallers(t *testing.T) {
	tn := newRoutedTestNode(t, answerOK)
	for n := range 20 {
		if outcome, reason := tn.lookUp(t, n); outcome != call.Done {
			t.Fatalf("request %d: %v %s", n, outcome, reason)
		}
	}
	tn.Stop(time.Now().Add(time.Minute))
	if outcome, reason := tn.lookUp(t, 20); outcome != call.NotRun || reason != ReasonStopping {
		t.Errorf("request after the stop: %v %q, want not-run %q", outcome, reason, ReasonStopping)
	}
}

// Requests of a kind that always fails are refused at the entry, before any work, while the
// service is busy. They are not refused while it has capacity.
func TestFailingKindIsRefusedAtTheEntry(t *testing.T) {
	tn := newRoutedTestNode(t, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(10 * time.Millisecond)
		w.WriteHeader(http.StatusInternalServerError)
	})
	for n := range 50 {
		if outcome, reason := tn.lookUp(t, n); outcome != call.Done {
			t.Fatalf("request %d: %v %s, though the service has capacity", n, outcome, reason)
		}
	}
	var sent, refused atomic.Int64
	var group sync.WaitGroup
	for sender := range 16 {
		group.Go(func() {
			for n := range 50 {
				sent.Add(1)
				if _, reason := tn.lookUp(t, 1000*(sender+1)+n); reason == ReasonKindFails || reason == ReasonOverload {
					refused.Add(1)
				}
				time.Sleep(2 * time.Millisecond)
			}
		})
	}
	group.Wait()
	if 2*refused.Load() < sent.Load() {
		t.Errorf("%d of %d requests refused that all fail at a busy service, want most", refused.Load(), sent.Load())
	}
}

// The occupancy that a guard reports with its answers lowers the share of the requests that
// the entry admits.
func TestOccupancyLowersTheShare(t *testing.T) {
	tn := newRoutedTestNode(t, func(_ http.ResponseWriter, _ *http.Request) { time.Sleep(20 * time.Millisecond) })
	for n := range 20 {
		tn.lookUp(t, n)
	}
	lowest, begun := 1.0, time.Now()
	var group sync.WaitGroup
	for sender := range 16 {
		group.Go(func() {
			for n := 0; time.Since(begun) < 600*time.Millisecond; n++ {
				tn.lookUp(t, 1000*(sender+1)+n)
				time.Sleep(2 * time.Millisecond)
				tn.mu.Lock()
				lowest = min(lowest, tn.throttles.Admit(time.Now(), throttle.Request{Class: "look-up", Importance: 5}, 0).Share)
				tn.mu.Unlock()
			}
		})
	}
	group.Wait()
	if lowest > 0.9 {
		t.Errorf("the lowest share was %.2f, with four senders for each slot; want 0.9 or less", lowest)
	}
}
