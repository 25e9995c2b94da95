package peer

import (
	"context"
	"encoding/binary"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"

	"camphortrail/call"
	"camphortrail/internal/lab/standin"
	"camphortrail/internal/traffic/attempt"
	"camphortrail/internal/traffic/calltree"
	"camphortrail/internal/traffic/guard"
	"camphortrail/internal/traffic/link"
	"camphortrail/membership"
	"camphortrail/retry"
	"camphortrail/schema"
	"camphortrail/schema/schemaconnect"
	"camphortrail/withdrawal"
)

// listen listens on a loopback port until the test ends.
func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// withdrawHandler serves queries with a guard. While silent is set it never answers.
type withdrawHandler struct {
	schemaconnect.UnimplementedPeerHandler
	gd     *guard.Guard
	silent *atomic.Bool
	// asked counts the queries.
	asked *atomic.Int64
}

func (wd *withdrawHandler) Withdraw(ctx context.Context, rq *connect.Request[schema.WithdrawRequest]) (*connect.Response[schema.WithdrawResponse], error) {
	wd.asked.Add(1)
	if wd.silent.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	rs, err := wd.gd.AnswerWithdraw(rq.Msg)
	return connect.NewResponse(rs), err
}

// testSetup is a pool, and a guard with an upstream. The upstream answers "whole", for
// paths below /cassa/held once hold is closed.
type testSetup struct {
	pool    *Pool
	guard   *guard.Guard
	wires   standin.Dialer
	address string
	// runs counts the requests that reached the upstream.
	runs atomic.Int64
	hold chan struct{}
	// silent stops the guard from answering queries.
	silent atomic.Bool
	// asked counts the queries that reached the guard.
	asked atomic.Int64
	// resends counts the calls of the callback that Send asks whether another attempt
	// may be sent beside, and maySendBeside is what it returns.
	resends       atomic.Int64
	maySendBeside bool
}

func newTestSetup(t *testing.T) *testSetup {
	t.Helper()
	ts := &testSetup{hold: make(chan struct{})}
	upstream := listen(t)
	upServer := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ts.runs.Add(1)
		if strings.HasPrefix(r.URL.Path, "/cassa/held") {
			<-ts.hold
		}
		_, _ = io.WriteString(w, "whole")
	})}
	go func() { _ = upServer.Serve(upstream) }()
	t.Cleanup(func() { upServer.Close() })

	ctx, stop := context.WithCancel(context.Background())
	var duties sync.WaitGroup
	t.Cleanup(func() { stop(); duties.Wait() })
	gd := guard.New(guard.Options{Trees: calltree.New(retry.DefaultLimits()), Seed: 1, Incarnation: 7})
	ts.guard = gd
	duties.Go(func() { _ = gd.Run(ctx) })
	if err := gd.SetUpstream(ctx, &membership.Upstream{Service: "cassa", Slots: 8, Address: upstream.Addr().String()}); err != nil {
		t.Fatal(err)
	}
	var h2c http.Protocols
	h2c.SetHTTP1(true)
	h2c.SetUnencryptedHTTP2(true)
	mux := http.NewServeMux()
	mux.Handle(link.Path, gd)
	mux.Handle(schemaconnect.NewPeerHandler(&withdrawHandler{gd: gd, silent: &ts.silent, asked: &ts.asked}))
	guardListener := listen(t)
	guardServer := &http.Server{Handler: mux, Protocols: &h2c}
	go func() { _ = guardServer.Serve(guardListener) }()
	t.Cleanup(func() { guardServer.Close() })

	ts.address = guardListener.Addr().String()
	ts.pool = New(Options{OnSuspicion: func(call.VM, bool) {}, Dial: ts.wires.Dial})
	duties.Go(func() { _ = ts.pool.Run(ctx) })
	return ts
}

var nextID atomic.Int64

func (ts *testSetup) send(ctx context.Context, uri string, idempotent bool) Result {
	return ts.pool.Send(ctx, "vm", ts.address, &attempt.Attempt{
		ID: newID(), Request: call.RequestID{1}, Service: "cassa", Importance: 4,
		Deadline: time.Now().Add(20 * time.Second), MaxAnswerBytes: 100, Idempotent: idempotent, Method: http.MethodPost, URI: uri,
	}, func() bool {
		ts.resends.Add(1)
		return ts.maySendBeside
	})
}

func TestSendReturnsTheAnswer(t *testing.T) {
	ts := newTestSetup(t)
	rs := ts.send(t.Context(), "/cassa/charges", false)
	if rs.Answer == nil || string(rs.Answer.Body) != "whole" || rs.State != withdrawal.Finished {
		t.Fatalf("result %+v", rs)
	}
}

// The guard sends its stamp on a new link, so that the first attempt to a VM needs no query on a
// connection of its own.
func TestFirstAttemptNeedsNoQuery(t *testing.T) {
	ts := newTestSetup(t)
	for range 3 {
		if rs := ts.send(t.Context(), "/cassa/charges", false); rs.Answer == nil {
			t.Fatalf("result %+v, want an answer", rs)
		}
	}
	if asked := ts.asked.Load(); asked != 0 {
		t.Errorf("%d queries, want none", asked)
	}
}

// In a partition no connection is established. An attempt that waits for one until its caller
// gives up has not run, and must not run later.
func TestUnsentAttemptHasNotRun(t *testing.T) {
	ts := newTestSetup(t)
	ts.send(t.Context(), "/cassa/charges", false)
	healed := make(chan struct{})
	ts.pool.mu.Lock()
	dial := ts.pool.dial
	ts.pool.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		<-healed
		return dial(context.WithoutCancel(ctx), network, address)
	}
	ts.pool.connsByVM["vm"].suspect = true
	ts.pool.mu.Unlock()
	ctx, stop := context.WithTimeout(t.Context(), 2*unreachableTime)
	defer stop()
	rs := ts.send(ctx, "/cassa/charges", false)
	close(healed)
	if rs.State != withdrawal.Dequeued || rs.Sent {
		t.Errorf("result %+v, want dequeued and not sent", rs)
	}
	for range 3 {
		if rs := ts.send(t.Context(), "/cassa/charges", false); rs.Answer == nil {
			t.Fatalf("result %+v, want an answer", rs)
		}
	}
	if runs := ts.runs.Load(); runs != 4 {
		t.Errorf("%d runs, want 4", runs)
	}
}

// In a partition an attempt has not left, so that it is withdrawn for certain in place of going on beside
// another one, and never runs.
func TestUnsentAttemptDoesNotGoOn(t *testing.T) {
	ts := newTestSetup(t)
	ts.maySendBeside = true
	ts.send(t.Context(), "/cassa/charges", true)
	ts.pool.mu.Lock()
	ts.pool.dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	ts.pool.connsByVM["vm"].suspect = true
	ts.pool.mu.Unlock()
	rs := ts.send(t.Context(), "/cassa/charges", true)
	if rs.State != withdrawal.Dequeued || rs.Sent || rs.Pending != nil {
		t.Errorf("result %+v, want dequeued and not sent", rs)
	}
	if runs := ts.runs.Load(); runs != 1 {
		t.Errorf("%d runs, want 1", runs)
	}
}

// An attempt is lost on a connection that stopped delivering data. The guard fences it, so
// that it can be sent again, and the next attempt uses a new connection.
func TestLostAttemptIsFenced(t *testing.T) {
	ts := newTestSetup(t)
	ts.send(t.Context(), "/cassa/charges", false)
	ts.wires.Silence(true, true)
	rs := ts.send(t.Context(), "/cassa/charges", false)
	if rs.Answer != nil || rs.State != withdrawal.Fenced {
		t.Fatalf("result %+v, want fenced", rs)
	}
	rs = ts.send(t.Context(), "/cassa/charges", false)
	if rs.Answer == nil || ts.runs.Load() != 2 {
		t.Fatalf("result %+v after %d runs, want an answer and 2", rs, ts.runs.Load())
	}
}

// An answer is lost on a connection that stopped delivering data. A query to the guard
// returns it, without a second run of the attempt.
func TestLostAnswerIsFetched(t *testing.T) {
	ts := newTestSetup(t)
	ts.send(t.Context(), "/cassa/charges", false)
	ts.wires.Silence(false, true)
	rs := ts.send(t.Context(), "/cassa/charges", false)
	if rs.Answer == nil || string(rs.Answer.Body) != "whole" || ts.runs.Load() != 2 {
		t.Fatalf("result %+v after %d runs, want the answer of the second", rs, ts.runs.Load())
	}
}

// The connection stops delivering data while the attempt runs. Send must wait for the
// answer, and not run the attempt again.
func TestRunningAttemptIsWaitedFor(t *testing.T) {
	ts := newTestSetup(t)
	ts.send(t.Context(), "/cassa/charges", false)
	done := make(chan Result, 1)
	go func() { done <- ts.send(t.Context(), "/cassa/held", false) }()
	for ts.runs.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	ts.wires.Silence(true, true)
	time.Sleep(300 * time.Millisecond)
	close(ts.hold)
	if rs := <-done; rs.Answer == nil || string(rs.Answer.Body) != "whole" || ts.runs.Load() != 2 {
		t.Fatalf("result %+v after %d runs, want the answer of the second", rs, ts.runs.Load())
	}
}

// A guard is too slow to answer queries about an idempotent attempt. Send returns before its answer only if
// another one may be sent beside it, and in either case the answer arrives.
func TestSlowGuardIsWaitedFor(t *testing.T) {
	for _, maySendBeside := range []bool{true, false} {
		ts := newTestSetup(t)
		ts.maySendBeside = maySendBeside
		ts.send(t.Context(), "/cassa/charges", true)
		ts.silent.Store(true)
		done := make(chan Result, 1)
		go func() { done <- ts.send(t.Context(), "/cassa/held", true) }()
		for ts.resends.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		if maySendBeside {
			rs := <-done
			if rs.Answer != nil || rs.State != withdrawal.Running || rs.Pending == nil {
				t.Fatalf("result %+v, want a pending attempt", rs)
			}
			go func() { done <- rs.Pending.Wait(t.Context()) }()
		}
		close(ts.hold)
		if rs := <-done; rs.Answer == nil || rs.State != withdrawal.Finished {
			t.Errorf("beside %v: result %+v, want the answer", maySendBeside, rs)
		}
		if runs := ts.runs.Load(); runs != 2 {
			t.Errorf("%d runs, want 2", runs)
		}
	}
}

// TestLostLinkEndsNothing guards against a guard that breaks off the attempts of a link that ends, while
// their entry waits and would learn their answers by queries: the link is lost, or the VM counts as gone
// since it was silent.
func TestLostLinkEndsNothing(t *testing.T) {
	for name, lose := range map[string]func(pl *Pool){
		"the link is lost":       func(pl *Pool) { pl.currentLink("vm").Close() },
		"the VM counts as gone":  func(pl *Pool) { pl.Forget("vm") },
		"both, one by the other": func(pl *Pool) { pl.Forget("vm"); pl.onlyLink().Close() },
	} {
		t.Run(name, func(t *testing.T) {
			ts := newTestSetup(t)
			ts.send(t.Context(), "/cassa/charges", true)
			done := make(chan Result, 1)
			go func() { done <- ts.send(t.Context(), "/cassa/held", true) }()
			for ts.runs.Load() < 2 {
				time.Sleep(time.Millisecond)
			}
			lose(ts.pool)
			// Longer than an entry may take to ask, and than it takes to ask again.
			time.Sleep(1500 * time.Millisecond)
			close(ts.hold)
			if rs := <-done; rs.Answer == nil || string(rs.Answer.Body) != "whole" || ts.runs.Load() != 2 {
				t.Errorf("result %+v after %d runs, want the answer of the second", rs, ts.runs.Load())
			}
		})
	}
}

// currentLink returns the link that takes new attempts to a VM.
func (pl *Pool) currentLink(vm call.VM) *link.Link {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	return pl.connsByVM[vm].link
}

// onlyLink returns the link of a pool with one.
func (pl *Pool) onlyLink() *link.Link {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	for _, cn := range pl.connsByID {
		return cn.link
	}
	return nil
}

// Nobody waits for an attempt whose entry has cancelled it or gone, so that its run ends: at once if the
// entry can tell the guard on another link, and otherwise when it does not ask.
func TestOrphanEnds(t *testing.T) {
	for _, tt := range []struct {
		name string
		// otherLink says that the entry has another link when its request ends.
		otherLink bool
		within    time.Duration
	}{
		{"cancelled on another link", true, 900 * time.Millisecond},
		{"not asked for", false, 10 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			ts := newTestSetup(t)
			ts.send(t.Context(), "/cassa/charges", true)
			ctx, stop := context.WithCancel(t.Context())
			done := make(chan Result, 1)
			go func() { done <- ts.send(ctx, "/cassa/held", true) }()
			for ts.runs.Load() < 2 {
				time.Sleep(time.Millisecond)
			}
			defer close(ts.hold)
			lk := ts.pool.currentLink("vm")
			lk.Close()
			for ts.pool.takesAttempts(lk) {
				time.Sleep(time.Millisecond)
			}
			if tt.otherLink {
				ts.send(t.Context(), "/cassa/charges", true)
			}
			stop()
			<-done
			for begun := time.Now(); ts.guard.Load().Running > 0; time.Sleep(time.Millisecond) {
				if time.Since(begun) > tt.within {
					t.Fatalf("the attempt still runs %v after its request has ended", tt.within)
				}
			}
		})
	}
}

// takesAttempts reports whether a link still takes new attempts.
func (pl *Pool) takesAttempts(lk *link.Link) bool {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	for _, cn := range pl.connsByVM {
		if cn.link == lk {
			return true
		}
	}
	return false
}

// An attempt to a guard that doesn't listen must be reported as not sent and not run, so that
// it can be sent elsewhere.
func TestUnreachableGuardIsNotRun(t *testing.T) {
	ts := newTestSetup(t)
	ln := listen(t)
	ln.Close()
	ts.address = ln.Addr().String()
	if rs := ts.send(t.Context(), "/cassa/charges", false); rs.Answer != nil || rs.Sent || !rs.State.NotRun() {
		t.Fatalf("result %+v, want not run and not sent", rs)
	}
}

// The context ends while the attempt runs. Its state must be unknown, because it may have
// taken effect.
func TestEndOfContextIsUnknown(t *testing.T) {
	ts := newTestSetup(t)
	defer close(ts.hold)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan Result, 1)
	go func() { done <- ts.send(ctx, "/cassa/held", false) }()
	for ts.runs.Load() < 1 {
		time.Sleep(time.Millisecond)
	}
	stop()
	if rs := <-done; rs.Answer != nil || rs.State != withdrawal.Unknown {
		t.Fatalf("result %+v, want unknown", rs)
	}
}

// Senders that cancel while the guard acknowledges their attempts must not disturb the
// connection: attempts sent after them get answers.
func TestSendersThatCancelAtOnce(t *testing.T) {
	ts := newTestSetup(t)
	ts.send(t.Context(), "/cassa/charges", true)
	rng := rand.New(rand.NewPCG(1, 1))
	var senders sync.WaitGroup
	for range 3000 {
		ctx, stop := context.WithTimeout(t.Context(), time.Duration(rng.IntN(1500))*time.Microsecond)
		senders.Go(func() {
			defer stop()
			ts.send(ctx, "/cassa/charges", true)
		})
		time.Sleep(50 * time.Microsecond)
	}
	senders.Wait()
	// After the burst an acknowledgement may be late, in which case the attempt is fenced.
	for range 5 {
		rs := ts.send(t.Context(), "/cassa/charges", true)
		if rs.Answer != nil {
			return
		}
		if rs.State != withdrawal.Fenced {
			t.Fatalf("result %+v, want an answer or fenced", rs)
		}
	}
	t.Error("no answer in 5 attempts")
}

func newID() (id call.AttemptID) {
	binary.BigEndian.PutUint64(id[8:], uint64(nextID.Add(1)))
	return id
}

// Guards against a VM that counts as unreachable for attempts because a link without attempts was
// replaced after a renewal had no answer, and against one whose attempts end with that link.
func TestDiscardUnused(t *testing.T) {
	ts := newTestSetup(t)
	var suspected atomic.Int64
	ts.pool.onSuspicion = func(_ call.VM, suspect bool) {
		if suspect {
			suspected.Add(1)
		}
	}
	ts.pool.SendRenewal("vm", ts.address, &schema.Renewal{Number: 1})
	cn := ts.pool.connTo("vm", ts.address)
	ts.pool.DiscardUnused("vm")
	if ts.pool.connTo("vm", ts.address) == cn {
		t.Error("the link is still in use")
	}
	ts.pool.DiscardUnused("vm")
	done := make(chan Result)
	go func() { done <- ts.send(context.Background(), "/cassa/held", false) }()
	for ts.runs.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	ts.pool.DiscardUnused("vm")
	close(ts.hold)
	if rs := <-done; rs.Answer == nil || rs.State != withdrawal.Finished {
		t.Errorf("result %+v of an attempt on a link that is in use", rs)
	}
	if n := suspected.Load(); n != 0 {
		t.Errorf("the VM was suspected %d times", n)
	}
}
