package claims_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"camphortrail/claim"
	"camphortrail/internal/state/claims"
	"camphortrail/schema"
	"camphortrail/schema/schemaconnect"

	"connectrpc.com/connect"
)

// replicas is a fake of a set of control replicas that share one table, without sockets.
type replicas struct {
	table  *claim.Table
	leader string
	// hints overrides the leader that a replica names, by the address of the replica.
	hints map[string]string
	// losing is the number of answers to lose after their batches are applied.
	losing int
	// down makes all replicas unavailable.
	down bool
	// hold, if set, delays each answer until it is closed.
	hold chan struct{}

	mu      sync.Mutex
	batches []int
	called  []string
}

// Do implements connect.HTTPClient.
func (rs *replicas) Do(req *http.Request) (*http.Response, error) {
	rec := httptest.NewRecorder()
	_, handler := schemaconnect.NewControlHandler(&replica{all: rs, address: req.URL.Host})
	handler.ServeHTTP(rec, req)
	return rec.Result(), nil
}

// replica is one of the fake replicas.
type replica struct {
	schemaconnect.UnimplementedControlHandler
	all     *replicas
	address string
}

func (rp *replica) Claim(
	ctx context.Context, req *connect.Request[schema.ClaimRequest],
) (*connect.Response[schema.ClaimResponse], error) {
	rs := rp.all
	rs.mu.Lock()
	rs.called = append(rs.called, rp.address)
	rs.mu.Unlock()
	if rs.down {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("down"))
	}
	if rp.address != rs.leader {
		hint := rs.leader
		if other, ok := rs.hints[rp.address]; ok {
			hint = other
		}
		return connect.NewResponse(&schema.ClaimResponse{Leader: hint}), nil
	}
	if rs.hold != nil {
		select {
		case <-rs.hold:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return rs.apply(req.Msg.GetOperations())
}

// apply applies a batch to the table.
func (rs *replicas) apply(ops []*schema.ClaimOperation) (*connect.Response[schema.ClaimResponse], error) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.batches = append(rs.batches, len(ops))
	res := &schema.ClaimResponse{}
	for _, msg := range ops {
		op, err := claim.FromSchema(msg)
		if err != nil {
			return nil, err
		}
		out, err := claim.ResultToSchema(rs.table.Step(time.Now(), op))
		if err != nil {
			return nil, err
		}
		res.Results = append(res.Results, out)
	}
	if rs.losing > 0 {
		rs.losing--
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("answer lost"))
	}
	return connect.NewResponse(res), nil
}

// run runs test in virtual time, with a client of three fake replicas.
func run(t *testing.T, rs *replicas, test func(t *testing.T, cl *claims.Client)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		rs.table = claim.New(claim.DefaultLimits())
		cl := claims.NewClient([]string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}, rs)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() { ended <- cl.Run(ctx) }()
		test(t, cl)
		cancel()
		if err := <-ended; !errors.Is(err, context.Canceled) {
			t.Errorf("Run error = %v, want context.Canceled", err)
		}
		if _, err := cl.Do(t.Context(), claimOf(99)); !errors.Is(err, claims.ErrUnavailable) {
			t.Errorf("Do error after Run = %v, want ErrUnavailable", err)
		}
	})
}

// claimOf returns a claim of key and attempt n.
func claimOf(n byte) *schema.ClaimOperation {
	return &schema.ClaimOperation{
		Kind: schema.ClaimOperation_KIND_CLAIM, Tenant: "t", Key: fmt.Sprint(n), AttemptId: append(make([]byte, 15), n),
	}
}

// wantGranted sends claim n and checks that it is granted.
func wantGranted(t *testing.T, cl *claims.Client, n byte) *schema.ClaimResult {
	t.Helper()
	res, err := cl.Do(t.Context(), claimOf(n))
	if err != nil || res.GetState() != schema.ClaimResult_STATE_GRANTED {
		t.Errorf("claim %d: %v, %v; want granted", n, res, err)
	}
	return res
}

// TestOperationsFormBatchWhileOneIsInFlight checks that operations which arrive during a call
// are sent together in the next one.
func TestOperationsFormBatchWhileOneIsInFlight(t *testing.T) {
	rs := &replicas{leader: "10.0.0.1:1"}
	run(t, rs, func(t *testing.T, cl *claims.Client) {
		rs.hold = make(chan struct{})
		var wg sync.WaitGroup
		for n := range byte(11) {
			wg.Go(func() { wantGranted(t, cl, n) })
			if n == 0 {
				synctest.Wait()
			}
		}
		synctest.Wait()
		close(rs.hold)
		wg.Wait()
		if fmt.Sprint(rs.batches) != "[1 10]" {
			t.Errorf("batches of %v operations, want [1 10]", rs.batches)
		}
	})
}

// TestFollowsHints checks which replicas are called when one names the leader correctly, an
// unknown address, or itself.
func TestFollowsHints(t *testing.T) {
	for _, tc := range []struct {
		name  string
		hints map[string]string
		want  string
	}{
		{"right hint", nil, "[10.0.0.1:1 10.0.0.3:1 10.0.0.3:1]"},
		{"unknown address", map[string]string{"10.0.0.1:1": "192.0.2.1:1"}, "[10.0.0.1:1 10.0.0.2:1 10.0.0.3:1 10.0.0.3:1]"},
		{"itself", map[string]string{"10.0.0.1:1": "10.0.0.1:1"}, "[10.0.0.1:1 10.0.0.2:1 10.0.0.3:1 10.0.0.3:1]"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			rs := &replicas{leader: "10.0.0.3:1", hints: tc.hints}
			run(t, rs, func(t *testing.T, cl *claims.Client) {
				wantGranted(t, cl, 1)
				wantGranted(t, cl, 2)
				if fmt.Sprint(rs.called) != tc.want {
					t.Errorf("called %v, want %v", rs.called, tc.want)
				}
			})
		})
	}
}

// TestBatchIsResentAfterLostAnswer loses the answer to an applied batch. The resent operation
// must get the result of the first one.
func TestBatchIsResentAfterLostAnswer(t *testing.T) {
	rs := &replicas{leader: "10.0.0.1:1", losing: 1}
	run(t, rs, func(t *testing.T, cl *claims.Client) {
		if res := wantGranted(t, cl, 1); res.GetEpoch() != 1 {
			t.Errorf("epoch %d, want that of the first operation", res.GetEpoch())
		}
		if len(rs.batches) != 2 {
			t.Errorf("%d batches applied, want 2", len(rs.batches))
		}
	})
}

// TestUnavailable makes all replicas unavailable for a while.
func TestUnavailable(t *testing.T) {
	rs := &replicas{down: true}
	run(t, rs, func(t *testing.T, cl *claims.Client) {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		for _, ctx := range []context.Context{ctx, t.Context()} {
			if _, err := cl.Do(ctx, claimOf(1)); !errors.Is(err, claims.ErrUnavailable) {
				t.Errorf("Do error = %v, want ErrUnavailable", err)
			}
		}
		rs.down, rs.leader = false, "10.0.0.2:1"
		wantGranted(t, cl, 1)
	})
}

// TestFullQueue fills the queue of a client whose Run was not called.
func TestFullQueue(t *testing.T) {
	cl := claims.NewClient(nil, http.DefaultClient)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 8192 {
		if _, err := cl.Do(ctx, claimOf(1)); errors.Is(err, claims.ErrBusy) {
			t.Fatal("ErrBusy before the queue is full")
		}
	}
	if _, err := cl.Do(ctx, claimOf(1)); !errors.Is(err, claims.ErrBusy) || !errors.Is(err, claims.ErrUnavailable) {
		t.Errorf("Do error = %v, want ErrBusy, which wraps ErrUnavailable", err)
	}
}
