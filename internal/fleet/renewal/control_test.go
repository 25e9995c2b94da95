package renewal

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"camphortrail/schema"
)

// replica is a control replica that answers after a delay, refuses at once, or hangs.
type replica struct {
	leads, hangs bool
	// leadsFrom, if set, is the time from which the replica leads.
	leadsFrom time.Time
	delay     time.Duration
	asked     atomic.Int64
}

// Renew implements ControlClient.
func (re *replica) Renew(ctx context.Context, rq *connect.Request[schema.Renewal]) (*connect.Response[schema.RenewalAnswer], error) {
	re.asked.Add(1)
	switch {
	case re.hangs:
		<-ctx.Done()
		return nil, ctx.Err()
	case !re.leads && (re.leadsFrom.IsZero() || time.Now().Before(re.leadsFrom)):
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("not current"))
	}
	time.Sleep(re.delay)
	return connect.NewResponse(&schema.RenewalAnswer{Number: rq.Msg.GetNumber(), Proved: true}), nil
}

// TestLeaderIsFound guards against a root that never reaches the leader because the replicas before
// it hang or do not lead, and against one that asks them all each time.
func TestLeaderIsFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replicas := map[string]*replica{
			"a": {hangs: true}, "b": {}, "c": {hangs: true}, "d": {leads: true}, "e": {},
		}
		cq := newControlQuerier(
			func() []string { return []string{"a", "b", "c", "d", "e"} },
			func(address string) ControlClient { return replicas[address] },
		)
		asked := func(address string) int64 { return replicas[address].asked.Load() }
		ask := func() bool { return cq.query(t.Context(), new(schema.Renewal)) != nil }
		queries := 1
		for ; !ask(); queries++ {
			if queries > 3 {
				t.Fatal("the leader is not found")
			}
		}
		if queries != 3 {
			t.Errorf("the leader was found by query %d, want 3: two replicas hang", queries)
		}
		before := asked("a") + asked("b") + asked("c")
		for range 10 {
			if !ask() {
				t.Fatal("the leader did not answer")
			}
		}
		if after := asked("a") + asked("b") + asked("c"); after != before {
			t.Errorf("%d queries to other replicas while the leader answered", after-before)
		}
		// The lead changes to a replica that refused before.
		replicas["d"].leads, replicas["b"].leads = false, true
		if !ask() {
			t.Error("the new leader was not found by the first query")
		}
	})
}

// TestNewLeaderIsFoundBesideLostOne guards against a root that waits for a lost leader in each query,
// while another replica is elected. A slow leader must still be waited for.
func TestNewLeaderIsFoundBesideLostOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replicas := map[string]*replica{"a": {leads: true}, "b": {}, "c": {}}
		cq := newControlQuerier(
			func() []string { return []string{"a", "b", "c"} },
			func(address string) ControlClient { return replicas[address] },
		)
		ask := func() (answered bool, took time.Duration) {
			begun := time.Now()
			answered = cq.query(t.Context(), new(schema.Renewal)) != nil
			return answered, time.Since(begun)
		}
		if answered, _ := ask(); !answered {
			t.Fatal("the leader did not answer")
		}
		replicas["a"].hangs = true
		if answered, _ := ask(); answered {
			t.Fatal("a lost leader answered")
		}
		const elected = 120 * time.Millisecond
		replicas["c"].leadsFrom = time.Now().Add(elected)
		if answered, took := ask(); !answered || took > elected+repeatInterval {
			t.Errorf("answered %t after %v, a leader was elected after %v", answered, took, elected)
		}
		synctest.Wait()
		if n := replicas["b"].asked.Load(); n > 6 {
			t.Errorf("%d queries to a replica that refused, want at most 6", n)
		}
		replicas["a"].hangs, replicas["a"].delay, replicas["c"].leadsFrom = false, 200*time.Millisecond, time.Time{}
		if answered, took := ask(); !answered || took != replicas["a"].delay {
			t.Errorf("a slow leader: answered %t after %v", answered, took)
		}
	})
}

// TestControlQueriesAreBounded guards against queries that pile up while the leader hangs.
func TestControlQueriesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cq := newControlQuerier(func() []string { return []string{"a"} }, func(string) ControlClient { return &replica{hangs: true} })
		failed := make(chan bool, 20)
		start := func() (started int) {
			for range 20 {
				if cq.start(t.Context(), new(schema.Renewal), func(an *schema.RenewalAnswer) { failed <- an == nil }) {
					started++
				}
			}
			return started
		}
		for range 2 {
			if started := start(); started != maxControlQueries {
				t.Errorf("%d queries at the same time, want %d", started, maxControlQueries)
			}
			for range maxControlQueries {
				if !<-failed {
					t.Error("a query to a replica that hangs was answered")
				}
			}
		}
	})
}
