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
	"google.golang.org/protobuf/proto"

	"camphortrail/internal/traffic/peer"
	"camphortrail/quorum"
	"camphortrail/schema"
	"camphortrail/schema/schemaconnect"
	"camphortrail/store"
)

// TestPlannedStopAnswersRequests stops the leader while requests arrive. Each request must be
// answered or redirected, unless its connection was refused.
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

// TestStopWaitsForRequests stops a replica while it validates a configuration. The request
// must still be answered.
func TestStopWaitsForRequests(t *testing.T) {
	t.Parallel()
	entered, release := make(chan struct{}), make(chan struct{})
	address := freeAddress(t, fleets.Add(1))
	co, err := New(&schema.Settings{
		Name: "control-1", Deployment: deployment, FailureDomain: "d1", PeerAddress: address, DataFolder: t.TempDir(),
	}, Options{Validate: func(*schema.Configuration) error {
		close(entered)
		<-release
		return nil
	}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- co.Run(ctx) }()
	go func() {
		<-entered
		cancel()
		time.Sleep(50 * time.Millisecond)
		close(release)
	}()
	transport := peer.NewTransport()
	defer transport.CloseIdleConnections()
	client := schemaconnect.NewControlClient(&http.Client{Transport: transport}, "http://"+address)
	rs, err := client.Apply(context.Background(), connect.NewRequest(&schema.ApplyRequest{Configuration: configuration(1, "cassa")}))
	if err != nil || rs.Msg.GetResult() != schema.ApplyResult_APPLY_RESULT_NOT_LEADER {
		t.Fatalf("request in flight at the stop: %v, %v; want an answer", rs, err)
	}
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// newAlone returns the only control replica of a deployment.
func newAlone(t *testing.T) *Control {
	t.Helper()
	co, err := New(&schema.Settings{
		Name: "control-1", Deployment: deployment, FailureDomain: "d1", PeerAddress: freeAddress(t, fleets.Add(1)), DataFolder: t.TempDir(),
	}, Options{})
	if err != nil {
		t.Fatal(err)
	}
	return co
}

// TestClosedStoreEndsTheReplica checks that Run returns when the data folder is closed.
func TestClosedStoreEndsTheReplica(t *testing.T) {
	t.Parallel()
	co := newAlone(t)
	if err := co.disk.Close(); err != nil {
		t.Fatal(err)
	}
	if err := co.Run(t.Context()); !errors.Is(err, store.ErrClosed) {
		t.Fatalf("Run error = %v, want store.ErrClosed", err)
	}
}

// TestLogProceedsWhileStateIsBusy commits more entries than the queue of
// the applied state holds while nothing is taken from it. New requests must be refused, and
// the replica must retain its leadership.
func TestLogProceedsWhileStateIsBusy(t *testing.T) {
	t.Parallel()
	co := newAlone(t)
	defer co.close()
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { _ = co.runLog(ctx, nil, nil) })
	tasks.Go(func() { _ = co.runDisk(ctx) })
	wait := func(what string, done func() bool) {
		t.Helper()
		for end := time.Now().Add(testTimeout); !done(); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal(what)
			}
		}
	}
	wait("no leader", co.isLeading)
	const count = applyQueueSize + overloadBacklog
	data, err := proto.Marshal(&schema.Command{Kind: &schema.Command_Claims{Claims: &schema.ClaimBatch{}}})
	if err != nil {
		t.Fatal(err)
	}
	var last waiter
	for range count {
		var pr quorum.Proposal
		pr, last = co.waiters.add()
		if err := co.proposals.Put(ctx, quorum.Propose{Proposal: pr, Data: data}); err != nil {
			t.Fatal(err)
		}
	}
	wait("proposals not committed", func() bool { return co.view.Load().status.Commit >= count })
	wait("requests not refused", co.overloaded.Load)
	if !co.isLeading() {
		t.Fatal("leadership lost")
	}
	tasks.Go(func() { _ = co.state.run(ctx) })
	if rs, ok := (<-last.result).(claimResults); !ok {
		t.Fatalf("last proposal answered with %+v", rs)
	}
	cancel()
	tasks.Wait()
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

// TestMetrics reads the metrics of a replica that leads.
func TestMetrics(t *testing.T) {
	t.Parallel()
	number := fleets.Add(1)
	co, err := New(&schema.Settings{
		Name: "control-1", Deployment: deployment, FailureDomain: "d1", PeerAddress: freeAddress(t, number), LocalAddress: freeAddress(t, number), DataFolder: t.TempDir(),
	}, Options{})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- co.Run(ctx) }()
	for end := time.Now().Add(testTimeout); co.view.Load().leaseEnd.IsZero(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no lease")
		}
	}
	rs, err := http.Get("http://" + co.localListener.Addr().String() + "/metrics")
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

func TestAbsenceOfLeaderIsReported(t *testing.T) {
	t.Parallel()
	var la leaderAbsence
	begin := time.Now()
	for _, tc := range []struct {
		after  time.Duration
		leader quorum.Replica
		want   bool
	}{
		{0, "", false},
		{9 * time.Second, "", false},
		{10 * time.Second, "", true},
		{11 * time.Second, "", false},
		{15 * time.Second, "control-1", false},
		{24 * time.Second, "", false},
		{25 * time.Second, "", true},
	} {
		if got := la.due(begin.Add(tc.after), tc.leader); got != tc.want {
			t.Errorf("after %v with leader %q: %v, want %v", tc.after, tc.leader, got, tc.want)
		}
	}
}
