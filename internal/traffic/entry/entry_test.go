package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"camphortrail/admission"
	"camphortrail/call"
	"camphortrail/config"
	"camphortrail/internal/traffic/attempt"
	"camphortrail/internal/traffic/calltree"
	"camphortrail/internal/traffic/guard"
	"camphortrail/internal/traffic/header"
	"camphortrail/internal/traffic/peer"
	"camphortrail/membership"
	"camphortrail/retry"
	"camphortrail/route"
	"camphortrail/schema"
	"camphortrail/withdrawal"
)

const retryTotal = 3

func testConfiguration(t *testing.T) *config.Compiled {
	t.Helper()
	kind := func(name, method, path string, idempotent, keyed bool) *schema.RequestKind {
		return &schema.RequestKind{
			Name: name, Method: method, PathPrefix: path, Class: "all", Idempotent: idempotent, KeyRequired: keyed,
			DeadlineMs: 3000, RetryTotal: retryTotal,
		}
	}
	cd, err := config.Compile(&schema.Configuration{
		Deployment: "test", Version: 1,
		FailureDomains: []*schema.FailureDomain{{Name: "d1", Region: "r1"}},
		Classes:        []*schema.Class{{Name: "all", Importance: 5}},
		Services: []*schema.Service{{
			Name: "cassa", RetryRatioPercent: 100, MaxRequestBytes: 100, MaxAnswerBytes: 100, KeyRetentionS: 60,
			Requests: []*schema.RequestKind{
				kind("read", "GET", "/cassa/payments", true, false),
				kind("charge", "POST", "/cassa/charges", false, false),
				kind("refund", "POST", "/cassa/refunds", false, true),
			},
		}},
	}, 1)
	if err != nil {
		t.Fatal(err)
	}
	return cd
}

// fakeClaims answers claims from a map, or fails.
type fakeClaims struct {
	mu    sync.Mutex
	down  bool
	keys  map[string]*schema.ClaimResult
	ended chan schema.ClaimOperation_Kind
}

func (fc *fakeClaims) Do(_ context.Context, op *schema.ClaimOperation) (*schema.ClaimResult, error) {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	if fc.down {
		return nil, errors.New("down")
	}
	switch op.GetKind() {
	case schema.ClaimOperation_KIND_CLAIM:
		if rs := fc.keys[op.GetKey()]; rs != nil {
			return rs, nil
		}
		fc.keys[op.GetKey()] = &schema.ClaimResult{State: schema.ClaimResult_STATE_HELD}
		return &schema.ClaimResult{State: schema.ClaimResult_STATE_GRANTED, Epoch: 1}, nil
	case schema.ClaimOperation_KIND_COMPLETE:
		fc.keys[op.GetKey()] = &schema.ClaimResult{State: schema.ClaimResult_STATE_FINISHED, Answer: op.GetAnswer()}
	case schema.ClaimOperation_KIND_RELEASE:
		delete(fc.keys, op.GetKey())
	}
	fc.ended <- op.GetKind()
	return &schema.ClaimResult{}, nil
}

// bench is an entry and a guard with an upstream on one node.
type bench struct {
	*Entry
	runs   atomic.Int64
	claims *fakeClaims
}

func newBench(t *testing.T, upstream http.HandlerFunc) *bench {
	t.Helper()
	bn := &bench{claims: &fakeClaims{keys: make(map[string]*schema.ClaimResult), ended: make(chan schema.ClaimOperation_Kind, 10)}}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		bn.runs.Add(1)
		upstream(w, r)
	}))
	t.Cleanup(srv.Close)
	trees := calltree.New(retry.DefaultLimits())
	gd := guard.New(guard.Options{Trees: trees, Seed: 1, Incarnation: 1})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = gd.Run(ctx)
	}()
	t.Cleanup(func() { stop(); <-done })
	up := &membership.Upstream{Service: "cassa", Slots: 4, Address: strings.TrimPrefix(srv.URL, "http://")}
	if err := gd.SetUpstream(ctx, up); err != nil {
		t.Fatal(err)
	}
	bn.Entry = New(Options{
		VM: "a", Domain: "d1", Trees: trees, Guard: gd, Pool: peer.New(peer.Options{OnState: func(call.VM, bool) {}}), Claims: bn.claims, Seed: 1,
	})
	bn.SetConfiguration(testConfiguration(t))
	bn.ApplyRouteEvent(route.Upsert{VM: "a", Service: "cassa", Domain: "d1", Slots: 4, Incarnation: 1})
	return bn
}

func (bn *bench) do(method, path, body string, headers ...string) *http.Response {
	rq := httptest.NewRequest(method, path, strings.NewReader(body))
	for i := 0; i < len(headers); i += 2 {
		rq.Header.Set(headers[i], headers[i+1])
	}
	rr := httptest.NewRecorder()
	bn.ServeHTTP(rr, rq)
	return rr.Result()
}

func ok(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "fine") }

func check(t *testing.T, rs *http.Response, status int, outcome call.Outcome, reason string) {
	t.Helper()
	if rs.StatusCode != status || rs.Header.Get(header.Outcome) != outcome.String() || rs.Header.Get(header.Reason) != reason {
		t.Errorf("status %d, outcome %s, reason %q; want %d, %s, %q", rs.StatusCode, rs.Header.Get(header.Outcome),
			rs.Header.Get(header.Reason), status, outcome, reason)
	}
}

func TestRefusalsBeforeAnyAttempt(t *testing.T) {
	bn := newBench(t, ok)
	for _, tt := range []struct {
		name, method, path, body string
		headers                  []string
		status                   int
		reason                   string
	}{
		{"no service", "GET", "/else", "", nil, 404, ReasonNoService},
		{"other method", "DELETE", "/cassa/payments", "", nil, 404, ReasonNoService},
		{"too large", "POST", "/cassa/charges", strings.Repeat("x", 101), nil, 413, ReasonRequestTooLarge},
		{"no key", "POST", "/cassa/refunds", "x", nil, 400, ReasonKeyMissing},
		{"bad request id", "GET", "/cassa/payments", "", []string{header.Request, "zz"}, 400, ReasonBadHeader},
		{"bad attempt id", "GET", "/cassa/payments", "", []string{header.Attempt, "zz"}, 400, ReasonBadHeader},
		{"bad deadline", "GET", "/cassa/payments", "", []string{header.DeadlineMS, "soon"}, 400, ReasonBadHeader},
		{"no time left", "GET", "/cassa/payments", "", []string{header.DeadlineMS, "0"}, 504, ReasonDeadline},
	} {
		t.Run(tt.name, func(t *testing.T) {
			check(t, bn.do(tt.method, tt.path, tt.body, tt.headers...), tt.status, call.NotRun, tt.reason)
		})
	}
	// What cannot be read may be a resend.
	check(t, bn.do("GET", "/cassa/payments", "", header.Resend, "-1"), 400, call.Unknown, ReasonBadHeader)
	if n := bn.runs.Load(); n != 0 {
		t.Errorf("%d runs, want none", n)
	}
}

func TestRetriesStayWithinTotal(t *testing.T) {
	bn := newBench(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) })
	for vm := range 8 {
		bn.ApplyRouteEvent(route.Upsert{VM: call.VM(fmt.Sprint("a", vm)), Service: "other", Domain: "d1", Slots: 1})
	}
	id := strings.Repeat("ab", 16)
	for send := range 6 {
		rs := bn.do("GET", "/cassa/payments", "", header.Request, id, header.Resend, fmt.Sprint(send))
		if got := rs.Header.Get(header.Outcome); got == "not-run" {
			t.Errorf("send %d: outcome not-run of a request that ran", send)
		}
	}
	if n := bn.runs.Load(); n > 1+retryTotal {
		t.Errorf("%d runs of one request, want at most %d", n, 1+retryTotal)
	}
}

func TestNonIdempotentWorkRunsOnce(t *testing.T) {
	bn := newBench(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	check(t, bn.do("POST", "/cassa/charges", "x"), http.StatusBadGateway, call.Unknown, guard.ReasonBrokenAnswer)
	if n := bn.runs.Load(); n != 1 {
		t.Errorf("%d runs, want 1", n)
	}
}

func TestCallsInheritFromTheirAttempt(t *testing.T) {
	var bn *bench
	var inner *http.Response
	bn = newBench(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/cassa/charges" {
			inner = bn.do("GET", "/cassa/payments", "", header.Attempt, r.Header.Get(header.Attempt))
		}
		ok(w, r)
	})
	id := strings.Repeat("cd", 16)
	check(t, bn.do("POST", "/cassa/charges", "x", header.Request, id), 200, call.Done, "")
	check(t, inner, 200, call.Done, "")
	if got := inner.Header.Get(header.Request); got != id {
		t.Errorf("request id of the call = %s, want that of the root, %s", got, id)
	}
}

func TestRecordedAnswerOfAKey(t *testing.T) {
	bn := newBench(t, ok)
	first := bn.do("POST", "/cassa/refunds", "x", header.Key, "k1")
	check(t, first, 200, call.Done, "")
	if kind := <-bn.claims.ended; kind != schema.ClaimOperation_KIND_COMPLETE {
		t.Fatalf("claim ended by %v, want complete", kind)
	}
	again := bn.do("POST", "/cassa/refunds", "x", header.Key, "k1")
	check(t, again, 200, call.Done, "")
	if body, _ := io.ReadAll(again.Body); string(body) != "fine" || bn.runs.Load() != 1 {
		t.Errorf("body %q after %d runs, want the recorded answer of 1 run", body, bn.runs.Load())
	}
}

func TestClaimStates(t *testing.T) {
	for _, tt := range []struct {
		name    string
		result  *schema.ClaimResult
		down    bool
		resend  string
		status  int
		outcome call.Outcome
		reason  string
	}{
		{"held", &schema.ClaimResult{State: schema.ClaimResult_STATE_HELD}, false, "0", 409, call.Unknown, ReasonKeyInProgress},
		{"finished without answer", &schema.ClaimResult{State: schema.ClaimResult_STATE_FINISHED}, false, "0", 409, call.Unknown, ReasonKeyFinished},
		{"other request", &schema.ClaimResult{State: schema.ClaimResult_STATE_MISMATCH}, false, "0", 422, call.NotRun, ReasonKeyOfAnotherRequest},
		{"full, first send", &schema.ClaimResult{State: schema.ClaimResult_STATE_FULL}, false, "0", 503, call.NotRun, ReasonClaimsUnavailable},
		{"no quorum, first send", nil, true, "0", 503, call.NotRun, ReasonClaimsUnavailable},
		{"no quorum, send not counted", nil, true, "", 503, call.Unknown, ReasonClaimsUnavailable},
		{"no quorum, resend", nil, true, "1", 503, call.Unknown, ReasonClaimsUnavailable},
	} {
		t.Run(tt.name, func(t *testing.T) {
			bn := newBench(t, ok)
			bn.claims.down = tt.down
			if tt.result != nil {
				bn.claims.keys["k"] = tt.result
			}
			headers := []string{header.Key, "k"}
			if tt.resend != "" {
				headers = append(headers, header.Resend, tt.resend)
			}
			check(t, bn.do("POST", "/cassa/refunds", "x", headers...), tt.status, tt.outcome, tt.reason)
			if n := bn.runs.Load(); n != 0 {
				t.Errorf("%d runs, want none", n)
			}
		})
	}
}

func TestRefusedKeyIsReleased(t *testing.T) {
	bn := newBench(t, ok)
	bn.ApplyRouteEvent(route.Remove{VM: "a", Service: "cassa"})
	check(t, bn.do("POST", "/cassa/refunds", "x", header.Key, "k"), 503, call.NotRun, ReasonNoUpstream)
	if kind := <-bn.claims.ended; kind != schema.ClaimOperation_KIND_RELEASE {
		t.Errorf("claim ended by %v, want release", kind)
	}
}

func TestStoppingEntryTakesCallsOnly(t *testing.T) {
	var bn *bench
	var inner *http.Response
	bn = newBench(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/cassa/charges" {
			bn.Stop()
			inner = bn.do("GET", "/cassa/payments", "", header.Attempt, r.Header.Get(header.Attempt))
		}
		ok(w, r)
	})
	check(t, bn.do("POST", "/cassa/charges", "x"), 200, call.Done, "")
	check(t, inner, 200, call.Done, "")
	check(t, bn.do("GET", "/cassa/payments", ""), 503, call.NotRun, ReasonStopping)
	ctx, stop := context.WithTimeout(t.Context(), 5*time.Second)
	defer stop()
	if err := bn.Wait(ctx); err != nil {
		t.Errorf("Wait: %v", err)
	}
}

func TestFailingAnswerIsGivenWhenRetriesEnd(t *testing.T) {
	bn := newBench(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, "no")
	})
	rs := bn.do("GET", "/cassa/payments", "")
	check(t, rs, http.StatusServiceUnavailable, call.Done, "")
	if an, err := io.ReadAll(rs.Body); err != nil || string(an) != "no" {
		t.Errorf("body %q, %v; want the upstream's", an, err)
	}
}

// A service with one VM gets the retry too.
func TestRetryAtTheOnlyUpstream(t *testing.T) {
	var bn *bench
	bn = newBench(t, func(w http.ResponseWriter, r *http.Request) {
		if bn.runs.Load() == 1 {
			panic(http.ErrAbortHandler)
		}
		ok(w, r)
	})
	check(t, bn.do("GET", "/cassa/payments", ""), 200, call.Done, "")
	if n := bn.runs.Load(); n != 2 {
		t.Errorf("%d runs, want 2", n)
	}
}

// A keyed request that is proved not run keeps its key, whatever it was
// charged.
func TestKeyOutlivesRefusedResends(t *testing.T) {
	bn := newBench(t, ok)
	bn.ApplyRouteEvent(route.Upsert{VM: "a", Service: "cassa", Domain: "d1", Slots: 4, Incarnation: 1, Draining: true})
	check(t, bn.do("POST", "/cassa/refunds", "x", header.Key, "k"), 503, call.NotRun, ReasonNoUpstream)
	<-bn.claims.ended
	check(t, bn.do("POST", "/cassa/refunds", "x", header.Key, "k", header.Resend, "1"), 503, call.NotRun, ReasonNoUpstream)
	<-bn.claims.ended
	bn.ApplyRouteEvent(route.Upsert{VM: "a", Service: "cassa", Domain: "d1", Slots: 4, Incarnation: 1})
	check(t, bn.do("POST", "/cassa/refunds", "x", header.Key, "k", header.Resend, "2", header.Earlier, "not-run"), 200, call.Done, "")
}

// Two calls of one attempt that differ in their key only are two first sends.
func TestCallsWithOwnKeys(t *testing.T) {
	var bn *bench
	var second *http.Response
	bn = newBench(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/cassa/charges" {
			id := r.Header.Get(header.Attempt)
			bn.do("POST", "/cassa/refunds", "x", header.Attempt, id, header.Key, "k1")
			second = bn.do("POST", "/cassa/refunds", "x", header.Attempt, id, header.Key, "k2")
		}
		ok(w, r)
	})
	check(t, bn.do("POST", "/cassa/charges", "x"), 200, call.Done, "")
	check(t, second, 200, call.Done, "")
}

// A refusal without an attempt is not called not-run for a resend.
func TestRefusedResendIsUnknown(t *testing.T) {
	bn := newBench(t, ok)
	if reason := bn.RefusalReason(); reason != "" {
		t.Errorf("Refusing = %q before the stop", reason)
	}
	bn.Stop()
	if reason := bn.RefusalReason(); reason != ReasonStopping {
		t.Errorf("Refusing = %q after the stop", reason)
	}
	check(t, bn.do("GET", "/cassa/payments", "", header.Resend, "1"), 503, call.Unknown, ReasonStopping)
	check(t, bn.do("GET", "/cassa/payments", "", header.Resend, "1", header.Earlier, "not-run"), 503, call.NotRun, ReasonStopping)
	check(t, bn.do("GET", "/cassa/payments", "", header.Resend, "0"), 503, call.NotRun, ReasonStopping)
}

// An attempt that reached no guard is refused as other refusals are.
func TestUnreachableGuard(t *testing.T) {
	bn := newBench(t, ok)
	bn.ApplyRouteEvent(route.Remove{VM: "a", Service: "cassa"})
	bn.ApplyRouteEvent(route.Upsert{VM: "b", Service: "cassa", Domain: "d1", Slots: 4, Incarnation: 1})
	bn.SetAddress("b", "127.0.0.1:1")
	rs := bn.do("POST", "/cassa/charges", "x")
	check(t, rs, 503, call.NotRun, ReasonUnreachable)
	if rs.Header.Get(header.RetryAfter) == "" {
		t.Error("no Retry-After")
	}
}

// An attempt that no upstream was offered is sent elsewhere, also when the
// service has no retries left.
func TestRerouteIsNoRetry(t *testing.T) {
	bn := newBench(t, ok)
	bn.ApplyRouteEvent(route.Upsert{VM: "b", Service: "cassa", Domain: "d1", Slots: 4, Incarnation: 1})
	bn.SetAddress("b", "127.0.0.1:1")
	bn.ratios["cassa"].SetPercent(0)
	for range 20 {
		check(t, bn.do("GET", "/cassa/payments", ""), 200, call.Done, "")
	}
}

// A VM whose guard takes nothing for the service gets no further attempts until
// the members tell of it again.
func TestRefusingGuardIsLeft(t *testing.T) {
	for _, reason := range []string{guard.ReasonWrongService, admission.NoUpstream.String(), admission.Leaving.String()} {
		en := New(Options{VM: "entry", Trees: calltree.New(retry.DefaultLimits()), Domain: "d1", Seed: 1})
		up := route.Upsert{Service: "cassa", Domain: "d1", Slots: 4, Incarnation: 1}
		for _, up.VM = range []call.VM{"gone", "there"} {
			en.ApplyRouteEvent(up)
		}
		rq := &request{kind: &config.Kind{Service: "cassa"}, importance: 5}
		at := rq.newAttempt(call.AttemptID{1})
		rs := peer.Result{Answer: attempt.Refusal(reason, 0), State: withdrawal.Dequeued, Sent: true}
		en.recordResult(rq, "gone", at, rs, time.Millisecond, false)
		for range 50 {
			if vm, _, err := en.chooseVM(time.Now(), rq, nil); err != nil || vm == "gone" {
				t.Fatalf("%s: chose %q, error %v, want there", reason, vm, err)
			}
		}
	}
}
