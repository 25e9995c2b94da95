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

// newRoutedBench is a bench with a route for look-ups that callers send.
func newRoutedBench(t *testing.T, upstream http.HandlerFunc) *bench {
	t.Helper()
	bn := newBench(t, upstream)
	cd, err := config.Compile(&schema.Configuration{
		Deployment: "test", Version: 2, FailureDomains: []*schema.FailureDomain{{Name: "d1", Region: "r1"}},
		Services: []*schema.Service{{Name: "cassa", RetryRatioPercent: 10, MaxRequestBytes: 100, MaxAnswerBytes: 100}},
		Routes: []*schema.Route{{
			Name: "look-up", Host: "h", PathPrefix: "/x/", Importance: 5, Idempotent: true, DeadlineMs: 3000, Attempts: 2,
			Shares: []*schema.RouteShare{{Service: "cassa", Weight: 1}},
		}},
	}, 2)
	if err != nil {
		t.Fatal(err)
	}
	bn.SetConfiguration(cd)
	return bn
}

// lookUp sends the nth request of a caller.
func (bn *bench) lookUp(t *testing.T, n int) (outcome call.Outcome, reason string) {
	an := bn.ServeRequest(t.Context(), &Request{
		ID: call.RequestID{byte(n), byte(n >> 8), 1}, Method: "GET", Host: "h", URI: "/x/1", Header: http.Header{},
		Deadline: time.Now().Add(5 * time.Second),
	})
	return an.Outcome, an.Reason
}

// A request of a caller is not taken once the notice of a stop is over: there may
// be no time to finish it.
func TestStoppingEntryRefusesCallers(t *testing.T) {
	bn := newRoutedBench(t, ok)
	for n := range 20 {
		if outcome, reason := bn.lookUp(t, n); outcome != call.Done {
			t.Fatalf("request %d: %v %s", n, outcome, reason)
		}
	}
	bn.Stop()
	if outcome, reason := bn.lookUp(t, 20); outcome != call.NotRun || reason != ReasonStopping {
		t.Errorf("request after the stop: %v %q, want not-run %q", outcome, reason, ReasonStopping)
	}
}

// Requests that fail at a busy service are refused at the entry before any work.
// While it has room they are not.
func TestFailingKindIsRefusedAtTheEntry(t *testing.T) {
	bn := newRoutedBench(t, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(10 * time.Millisecond)
		w.WriteHeader(http.StatusInternalServerError)
	})
	for n := range 50 {
		if outcome, reason := bn.lookUp(t, n); outcome != call.Done {
			t.Fatalf("request %d: %v %s, though the service has room", n, outcome, reason)
		}
	}
	var sent, refused atomic.Int64
	var group sync.WaitGroup
	for sender := range 16 {
		group.Go(func() {
			for n := range 50 {
				sent.Add(1)
				if _, reason := bn.lookUp(t, 1000*(sender+1)+n); reason == ReasonKindFails || reason == ReasonOverload {
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

// The occupancy of a guard comes back with its answers and lowers the share of
// requests that are admitted.
func TestOccupancyLowersTheShare(t *testing.T) {
	bn := newRoutedBench(t, func(_ http.ResponseWriter, _ *http.Request) { time.Sleep(20 * time.Millisecond) })
	for n := range 20 {
		bn.lookUp(t, n)
	}
	least, begun := 1.0, time.Now()
	var group sync.WaitGroup
	for sender := range 16 {
		group.Go(func() {
			for n := 0; time.Since(begun) < 600*time.Millisecond; n++ {
				bn.lookUp(t, 1000*(sender+1)+n)
				time.Sleep(2 * time.Millisecond)
				bn.mu.Lock()
				least = min(least, bn.throttles.Admit(time.Now(), throttle.Request{Class: "look-up", Importance: 5}, 0).Share)
				bn.mu.Unlock()
			}
		})
	}
	group.Wait()
	if least > 0.9 {
		t.Errorf("the share was %.2f at the least, with four senders for each slot; want 0.9 or less", least)
	}
}
