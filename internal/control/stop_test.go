package control

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"camphortrail/schema"
	"camphortrail/store"
)

// TestPlannedStopAnswersRequests stops the leader while requests arrive. Each
// is answered or redirected, or was never accepted.
func TestPlannedStopAnswersRequests(t *testing.T) {
	t.Parallel()
	fl := newFleet(t, 3)
	leader := fl.leader()
	var answered, redirected atomic.Int64
	var group sync.WaitGroup
	for i := range 16 {
		group.Go(func() {
			for n := 0; ; n++ {
				op := operation(schema.ClaimOperation_KIND_CLAIM, fmt.Sprint(i, "-", n), 1)
				rq := connect.NewRequest(&schema.ClaimRequest{Operations: []*schema.ClaimOperation{op}})
				rs, err := fl.clients[leader].Claim(context.Background(), rq)
				switch {
				case errors.Is(err, syscall.ECONNREFUSED):
					return
				case err != nil:
					t.Errorf("request in flight: %v", err)
					return
				case len(rs.Msg.GetResults()) == 0:
					redirected.Add(1)
					return
				}
				answered.Add(1)
			}
		})
	}
	fl.until("answers", func() bool { return answered.Load() > 200 })
	fl.stop(leader)
	group.Wait()
	t.Logf("%d answered, %d redirected", answered.Load(), redirected.Load())
	if got := fl.leader(); got == leader {
		t.Fatal("the stopped replica still leads")
	}
}

func TestFailedDiskEndsTheReplica(t *testing.T) {
	t.Parallel()
	co, err := New(&schema.Settings{
		Name: "control-1", PeerAddress: freeAddress(t, fleets.Add(1)), DataFolder: t.TempDir(),
	}, Options{})
	if err != nil {
		t.Fatal(err)
	}
	if err := co.store.Close(); err != nil {
		t.Fatal(err)
	}
	if err := co.Run(t.Context()); !errors.Is(err, store.ErrFailed) {
		t.Fatalf("Run error = %v, want store.ErrFailed", err)
	}
}

func TestSettingsMustListTheReplica(t *testing.T) {
	t.Parallel()
	_, err := New(&schema.Settings{
		Name: "control-9", DataFolder: t.TempDir(),
		ControlReplicas: []*schema.ControlReplica{{Name: "control-1", Address: "127.0.0.1:1"}},
	}, Options{})
	if !errors.Is(err, ErrNotListed) {
		t.Fatalf("New error = %v, want ErrNotListed", err)
	}
}

func TestMetrics(t *testing.T) {
	t.Parallel()
	number := fleets.Add(1)
	co, err := New(&schema.Settings{
		Name: "control-1", PeerAddress: freeAddress(t, number), LocalAddress: freeAddress(t, number), DataFolder: t.TempDir(),
	}, Options{})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- co.Run(ctx) }()
	for end := time.Now().Add(patience); co.view.Load().until.IsZero(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no lease")
		}
	}
	rs, err := http.Get("http://" + co.local.Addr().String() + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(rs.Body)
	if err != nil {
		t.Fatal(err)
	}
	_ = rs.Body.Close()
	for _, want := range []string{"camphortrail_control_sync_seconds_bucket", "camphortrail_control_current 1"} {
		if !strings.Contains(string(body), want) {
			t.Errorf("no %s in\n%s", want, body)
		}
	}
	cancel()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}
