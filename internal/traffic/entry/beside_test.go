package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"

	"camphortrail/call"
	"camphortrail/internal/ops/events"
	"camphortrail/internal/traffic/attempt"
	"camphortrail/internal/traffic/link"
	"camphortrail/route"
	"camphortrail/schema"
	"camphortrail/schema/schemaconnect"
	"camphortrail/withdrawal"
)

// unknowingGuard answers queries that it does not know the attempt.
type unknowingGuard struct {
	schemaconnect.UnimplementedPeerHandler
}

func (unknowingGuard) Withdraw(context.Context, *connect.Request[schema.WithdrawRequest]) (*connect.Response[schema.WithdrawResponse], error) {
	return connect.NewResponse(&schema.WithdrawResponse{}), nil
}

// refuseAttempts serves a link as a guard does that refuses all attempts for lack of capacity.
func refuseAttempts(w http.ResponseWriter, r *http.Request) {
	lk, err := link.Accept(w, r)
	if err != nil {
		return
	}
	defer lk.Close()
	sp := withdrawal.Stamp{Incarnation: 1, Uptime: time.Hour}.String()
	_ = lk.Send(&schema.Frame{Kind: &schema.Frame_Acknowledgement{Acknowledgement: &schema.Acknowledgement{Stamp: sp}}})
	for {
		fr, err := lk.Receive(time.Minute)
		if err != nil {
			return
		}
		if at, ok := fr.GetKind().(*schema.Frame_Attempt); ok {
			an := attempt.Refusal("overload", time.Second)
			an.Overload = true
			_ = lk.Send(an.Frame(call.AttemptID(at.Attempt.GetAttemptId()), sp, false))
		}
	}
}

// addRemote adds the guard of another VM with an upstream to the routing table, and returns its server.
// The guard answers no queries unless there is a handler for them.
func (tn *testNode) addRemote(t *testing.T, vm call.VM, guard http.Handler, queries schemaconnect.PeerHandler) *httptest.Server {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(link.Path, guard)
	if queries != nil {
		mux.Handle(schemaconnect.NewPeerHandler(queries))
	}
	srv := httptest.NewUnstartedServer(mux)
	srv.Config.Protocols = new(http.Protocols)
	srv.Config.Protocols.SetHTTP1(true)
	srv.Config.Protocols.SetUnencryptedHTTP2(true)
	srv.Start()
	t.Cleanup(srv.Close)
	tn.ApplyRouteEvent(route.Upsert{VM: vm, Service: "cassa", Domain: "d1", Slots: 4, Incarnation: 1})
	tn.SetAddress(vm, strings.TrimPrefix(srv.URL, "http://"))
	return srv
}

// newEntryOnly returns a routed test node without an upstream of its own.
func newEntryOnly(t *testing.T) *testNode {
	t.Helper()
	tn := newRoutedTestNode(t, answerOK)
	tn.opt.Events, tn.opt.Metrics = events.New("a"), metrics.NewSet()
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = tn.opt.Pool.Run(ctx)
	}()
	t.Cleanup(func() { stop(); <-done })
	tn.ApplyRouteEvent(route.Remove{VM: "a", Service: "cassa"})
	return tn
}

// TestRefusalBesideEndsNothing guards against an own answer while an upstream works: the guard of a request
// does not answer a query, so that another attempt is sent, and the other VM refuses it.
func TestRefusalBesideEndsNothing(t *testing.T) {
	for _, tt := range []struct {
		name     string
		stopping bool
		// answers says that the upstream answers in time.
		answers bool
		// other says what the VM of the second attempt does: it refuses, or there is none.
		other bool
	}{
		{"answer in time", false, true, true},
		{"answer in time, no other VM", false, true, false},
		{"answer in time, node stops", true, true, true},
		{"no answer", false, false, true},
		{"no answer, node stops", true, false, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			tn := newEntryOnly(t)
			release := make(chan struct{})
			slow := newRoutedTestNode(t, func(w http.ResponseWriter, _ *http.Request) {
				<-release
				answerOK(w, nil)
			})
			tn.addRemote(t, "b", slow.opt.Guard, nil)
			ended := make(chan struct{})
			deadline := time.Now().Add(1500 * time.Millisecond)
			go func() {
				defer close(ended)
				an := tn.ServeRequest(t.Context(), &Request{
					ID: call.RequestID{1}, Method: "GET", Host: "h", URI: "/x/1", Header: http.Header{}, Deadline: deadline,
				})
				switch {
				case tt.answers && an.Outcome != call.Done:
					t.Errorf("%v %q, want the answer of the upstream", an.Outcome, an.Reason)
				case !tt.answers && (an.Status != http.StatusGatewayTimeout || time.Now().Before(deadline)):
					t.Errorf("%v %d %q %v before the deadline", an.Outcome, an.Status, an.Reason, time.Until(deadline))
				}
			}()
			for slow.runs.Load() == 0 {
				time.Sleep(time.Millisecond)
			}
			if tt.other {
				tn.addRemote(t, "c", http.HandlerFunc(refuseAttempts), nil)
			}
			if tt.stopping {
				tn.Stop(time.Now(), time.Now().Add(time.Minute))
			}
			if tt.answers {
				select {
				case <-ended:
				case <-time.After(1200 * time.Millisecond):
				}
			} else {
				<-ended
			}
			close(release)
			<-ended
			if log := logOf(t, tn.Entry); !tt.answers && (!strings.Contains(log, "query-unanswered+") || !strings.Contains(log, "@b")) {
				t.Errorf("log %s, want the query that was not answered", log)
			}
		})
	}
}

// TestAnswerBesideEndsRequest guards against a request that goes on waiting for a silent guard although the
// attempt beside it has brought an answer, and against the run that then goes on for nobody.
func TestAnswerBesideEndsRequest(t *testing.T) {
	tn := newEntryOnly(t)
	release := make(chan struct{})
	defer close(release)
	slow := newRoutedTestNode(t, func(http.ResponseWriter, *http.Request) { <-release })
	tn.addRemote(t, "b", slow.opt.Guard, nil)
	quick := newRoutedTestNode(t, answerOK)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		an := tn.ServeRequest(t.Context(), &Request{
			ID: call.RequestID{1}, Method: "GET", Host: "h", URI: "/x/1", Header: http.Header{}, Deadline: time.Now().Add(3 * time.Second),
		})
		if an.Outcome != call.Done {
			t.Errorf("%v %q, want the answer of the other upstream", an.Outcome, an.Reason)
		}
	}()
	for slow.runs.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	tn.addRemote(t, "c", quick.opt.Guard, nil)
	<-ended
	for slow.opt.Guard.Load().Running > 0 {
		time.Sleep(time.Millisecond)
	}
}

// TestForgottenAttemptIsWaitedFor guards against an own answer while an upstream works whose guard has
// started anew, so that nobody can tell what became of the attempt.
func TestForgottenAttemptIsWaitedFor(t *testing.T) {
	for name, uri := range map[string]string{"may be repeated": "/x/1", "may run once": "/x/once/1"} {
		t.Run(name, func(t *testing.T) {
			tn := newEntryOnly(t)
			release := make(chan struct{})
			defer close(release)
			remote := newRoutedTestNode(t, func(http.ResponseWriter, *http.Request) { <-release })
			srv := tn.addRemote(t, "b", remote.opt.Guard, unknowingGuard{})
			ended := make(chan struct{})
			deadline := time.Now().Add(700 * time.Millisecond)
			go func() {
				defer close(ended)
				an := tn.ServeRequest(t.Context(), &Request{
					ID: call.RequestID{1}, Method: "GET", Host: "h", URI: uri, Header: http.Header{}, Deadline: deadline,
				})
				if an.Outcome != call.Unknown || time.Now().Before(deadline) {
					t.Errorf("%v %d %q %v before the deadline", an.Outcome, an.Status, an.Reason, time.Until(deadline))
				}
			}()
			for remote.runs.Load() == 0 {
				time.Sleep(time.Millisecond)
			}
			srv.CloseClientConnections()
			<-ended
		})
	}
}
