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

// fakeClaims answers claims from a map, or fails if down is set. ended gets the kind of each
// operation that ends a claim.
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

// testNode is one node with an entry, a guard and an upstream. runs counts the requests
// that reached the upstream.
type testNode struct {
	*Entry
	runs   atomic.Int64
	claims *fakeClaims
}

func newTestNode(t *testing.T, upstream http.HandlerFunc) *testNode {
	t.Helper()
	tn := &testNode{claims: &fakeClaims{keys: make(map[string]*schema.ClaimResult), ended: make(chan schema.ClaimOperation_Kind, 10)}}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		tn.runs.Add(1)
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
	tn.Entry = New(Options{
		VM: "a", Domain: "d1", Trees: trees, Guard: gd, Pool: peer.New(peer.Options{OnSuspicion: func(call.VM, bool) {}}), Claims: tn.claims, Seed: 1,
	})
	tn.SetConfiguration(testConfiguration(t))
	tn.ApplyRouteEvent(route.Upsert{VM: "a", Service: "cassa", Domain: "d1", Slots: 4, Incarnation: 1})
	return tn
}

// do serves one request of a caller, with pairs of header names and values.
func (tn *testNode) do(method, path, body string, headers ...string) *http.Response {
	rq := httptest.NewRequest(method, path, strings.NewReader(body))
	for i := 0; i < len(headers); i += 2 {
		rq.Header.Set(headers[i], headers[i+1])
	}
	rr := httptest.NewRecorder()
	tn.ServeHTTP(rr, rq)
	return rr.Result()
}

func answerOK(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "fine") }

// checkResponse reports a response whose status, outcome or reason differs.
func checkResponse(t *testing.T, rs *http.Response, status int, outcome call.Outcome, reason string) {
	t.Helper()
	if rs.StatusCode != status || rs.Header.Get(header.Outcome) != outcome.String() || rs.Header.Get(header.Reason) != reason {
		t.Errorf("status %d, outcome %s, reason %q; want %d, %s, %q", rs.StatusCode, rs.Header.Get(header.Outcome),
			rs.Header.Get(header.Reason), status, outcome, reason)
	}
}

func TestRefusalsBeforeAnyAttempt(t *testing.T) {
	tn := newTestNode(t, answerOK)
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
			checkResponse(t, tn.do(tt.method, tt.path, tt.body, tt.headers...), tt.status, call.NotRun, tt.reason)
		})
	}
	// A request with a malformed resend number may be a resend.
	checkResponse(t, tn.do("GET", "/cassa/payments", "", header.ResendCount, "-1"), 400, call.Unknown, ReasonBadHeader)
	if n := tn.runs.Load(); n != 0 {
		t.Errorf("%d runs, want none", n)
	}
}

func TestRetriesStayWithinTotal(t *testing.T) {
	tn := newTestNode(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) })
	for vm := range 8 {
		tn.ApplyRouteEvent(route.Upsert{VM: call.VM(fmt.Sprint("a", vm)), Service: "other", Domain: "d1", Slots: 1})
	}
	id := strings.Repeat("ab", 16)
	for send := range 6 {
		rs := tn.do("GET", "/cassa/payments", "", header.Request, id, header.ResendCount, fmt.Sprint(send))
		if got := rs.Header.Get(header.Outcome); got == "not-run" {
			t.Errorf("send %d: outcome not-run of a request that ran", send)
		}
	}
	if n := tn.runs.Load(); n > 1+retryTotal {
		t.Errorf("%d runs of one request, want at most %d", n, 1+retryTotal)
	}
}

func TestNonIdempotentWorkRunsOnce(t *testing.T) {
	tn := newTestNode(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	checkResponse(t, tn.do("POST", "/cassa/charges", "x"), http.StatusBadGateway, call.Unknown, guard.ReasonBrokenAnswer)
	if n := tn.runs.Load(); n != 1 {
		t.Errorf("%d runs, want 1", n)
	}
}

func TestCallsInheritFromTheirAttempt(t *testing.T) {
	var tn *testNode
	var inner *http.Response
	tn = newTestNode(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/cassa/charges" {
			inner = tn.do("GET", "/cassa/payments", "", header.Attempt, r.Header.Get(header.Attempt))
		}
		answerOK(w, r)
	})
	id := strings.Repeat("cd", 16)
	checkResponse(t, tn.do("POST", "/cassa/charges", "x", header.Request, id), 200, call.Done, "")
	checkResponse(t, inner, 200, call.Done, "")
	if got := inner.Header.Get(header.Request); got != id {
		t.Errorf("request id of the call = %s, want that of the root, %s", got, id)
	}
}

func TestKeyReturnsRecordedAnswer(t *testing.T) {
	tn := newTestNode(t, answerOK)
	first := tn.do("POST", "/cassa/refunds", "x", header.IdempotencyKey, "k1")
	checkResponse(t, first, 200, call.Done, "")
	if kind := <-tn.claims.ended; kind != schema.ClaimOperation_KIND_COMPLETE {
		t.Fatalf("claim ended by %v, want complete", kind)
	}
	again := tn.do("POST", "/cassa/refunds", "x", header.IdempotencyKey, "k1")
	checkResponse(t, again, 200, call.Done, "")
	if body, _ := io.ReadAll(again.Body); string(body) != "fine" || tn.runs.Load() != 1 {
		t.Errorf("body %q after %d runs, want the recorded answer of 1 run", body, tn.runs.Load())
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
			tn := newTestNode(t, answerOK)
			tn.claims.down = tt.down
			if tt.result != nil {
				tn.claims.keys["k"] = tt.result
			}
			headers := []string{header.IdempotencyKey, "k"}
			if tt.resend != "" {
				headers = append(headers, header.ResendCount, tt.resend)
			}
			checkResponse(t, tn.do("POST", "/cassa/refunds", "x", headers...), tt.status, tt.outcome, tt.reason)
			if n := tn.runs.Load(); n != 0 {
				t.Errorf("%d runs, want none", n)
			}
		})
	}
}

func TestRefusedKeyIsReleased(t *testing.T) {
	tn := newTestNode(t, answerOK)
	tn.ApplyRouteEvent(route.Remove{VM: "a", Service: "cassa"})
	checkResponse(t, tn.do("POST", "/cassa/refunds", "x", header.IdempotencyKey, "k"), 503, call.NotRun, ReasonNoUpstream)
	if kind := <-tn.claims.ended; kind != schema.ClaimOperation_KIND_RELEASE {
		t.Errorf("claim ended by %v, want release", kind)
	}
}

func TestStoppingEntryServesOnlyCalls(t *testing.T) {
	var tn *testNode
	var inner *http.Response
	tn = newTestNode(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/cassa/charges" {
			tn.Stop(time.Now().Add(time.Minute))
			inner = tn.do("GET", "/cassa/payments", "", header.Attempt, r.Header.Get(header.Attempt))
		}
		answerOK(w, r)
	})
	checkResponse(t, tn.do("POST", "/cassa/charges", "x"), 200, call.Done, "")
	checkResponse(t, inner, 200, call.Done, "")
	checkResponse(t, tn.do("GET", "/cassa/payments", ""), 503, call.NotRun, ReasonStopping)
	ctx, stop := context.WithTimeout(t.Context(), 5*time.Second)
	defer stop()
	if err := tn.Wait(ctx); err != nil {
		t.Errorf("Wait: %v", err)
	}
}

func TestFailingAnswerIsPassedOnAfterTheRetries(t *testing.T) {
	tn := newTestNode(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, "no")
	})
	rs := tn.do("GET", "/cassa/payments", "")
	checkResponse(t, rs, http.StatusServiceUnavailable, call.Done, "")
	if an, err := io.ReadAll(rs.Body); err != nil || string(an) != "no" {
		t.Errorf("body %q, %v; want the upstream's", an, err)
	}
}

// The retry goes to the VM that just failed if there is no other.
func TestRetryAtTheOnlyUpstream(t *testing.T) {
	var tn *testNode
	tn = newTestNode(t, func(w http.ResponseWriter, r *http.Request) {
		if tn.runs.Load() == 1 {
			panic(http.ErrAbortHandler)
		}
		answerOK(w, r)
	})
	checkResponse(t, tn.do("GET", "/cassa/payments", ""), 200, call.Done, "")
	if n := tn.runs.Load(); n != 2 {
		t.Errorf("%d runs, want 2", n)
	}
}

// The key of a request that did not run remains usable, however often the request was
// refused and charged.
func TestKeyIsUsableAfterRefusedResends(t *testing.T) {
	tn := newTestNode(t, answerOK)
	tn.ApplyRouteEvent(route.Upsert{VM: "a", Service: "cassa", Domain: "d1", Slots: 4, Incarnation: 1, Draining: true})
	checkResponse(t, tn.do("POST", "/cassa/refunds", "x", header.IdempotencyKey, "k"), 503, call.NotRun, ReasonNoUpstream)
	<-tn.claims.ended
	checkResponse(t, tn.do("POST", "/cassa/refunds", "x", header.IdempotencyKey, "k", header.ResendCount, "1"), 503, call.NotRun, ReasonNoUpstream)
	<-tn.claims.ended
	tn.ApplyRouteEvent(route.Upsert{VM: "a", Service: "cassa", Domain: "d1", Slots: 4, Incarnation: 1})
	checkResponse(t, tn.do("POST", "/cassa/refunds", "x", header.IdempotencyKey, "k", header.ResendCount, "2", header.EarlierOutcome, "not-run"), 200, call.Done, "")
}

// Two calls of one attempt that differ only in their idempotency keys are two first sends,
// and not a send and its retry.
func TestCallsWithOwnKeys(t *testing.T) {
	var tn *testNode
	var second *http.Response
	tn = newTestNode(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/cassa/charges" {
			id := r.Header.Get(header.Attempt)
			tn.do("POST", "/cassa/refunds", "x", header.Attempt, id, header.IdempotencyKey, "k1")
			second = tn.do("POST", "/cassa/refunds", "x", header.Attempt, id, header.IdempotencyKey, "k2")
		}
		answerOK(w, r)
	})
	checkResponse(t, tn.do("POST", "/cassa/charges", "x"), 200, call.Done, "")
	checkResponse(t, second, 200, call.Done, "")
}

// If a resend is refused without an attempt, its outcome is unknown, because an earlier
// send may have run.
func TestRefusedResendIsUnknown(t *testing.T) {
	tn := newTestNode(t, answerOK)
	if reason := tn.RefusalReason(); reason != "" {
		t.Errorf("RefusalReason = %q before the stop", reason)
	}
	tn.Stop(time.Now().Add(time.Minute))
	if reason := tn.RefusalReason(); reason != ReasonStopping {
		t.Errorf("RefusalReason = %q after the stop", reason)
	}
	checkResponse(t, tn.do("GET", "/cassa/payments", "", header.ResendCount, "1"), 503, call.Unknown, ReasonStopping)
	checkResponse(t, tn.do("GET", "/cassa/payments", "", header.ResendCount, "1", header.EarlierOutcome, "not-run"), 503, call.NotRun, ReasonStopping)
	checkResponse(t, tn.do("GET", "/cassa/payments", "", header.ResendCount, "0"), 503, call.NotRun, ReasonStopping)
}

// If no attempt reaches a guard, the request is refused with a retry time.
func TestUnreachableGuard(t *testing.T) {
	tn := newTestNode(t, answerOK)
	tn.ApplyRouteEvent(route.Remove{VM: "a", Service: "cassa"})
	tn.ApplyRouteEvent(route.Upsert{VM: "b", Service: "cassa", Domain: "d1", Slots: 4, Incarnation: 1})
	tn.SetAddress("b", "127.0.0.1:1")
	rs := tn.do("POST", "/cassa/charges", "x")
	checkResponse(t, rs, 503, call.NotRun, ReasonUnreachable)
	if rs.Header.Get(header.RetryAfter) == "" {
		t.Error("no Retry-After")
	}
}

// An attempt that reached no upstream is sent to another VM, even if the service has no
// retries left.
func TestRerouteIsNotCharged(t *testing.T) {
	tn := newTestNode(t, answerOK)
	tn.ApplyRouteEvent(route.Upsert{VM: "b", Service: "cassa", Domain: "d1", Slots: 4, Incarnation: 1})
	tn.SetAddress("b", "127.0.0.1:1")
	tn.ratios["cassa"].SetPercent(0)
	for range 20 {
		checkResponse(t, tn.do("GET", "/cassa/payments", ""), 200, call.Done, "")
	}
}

// A VM whose guard refuses all attempts for the service gets no further attempts until the
// membership reports its upstream again.
func TestRefusingGuardIsAvoided(t *testing.T) {
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

// A retry that the request's account does not allow must leave the retries of the service to
// others. Most calls of a tree have no budget, and while upstreams refuse half of what they get,
// their refusals used up the total of the service for retries that were never sent.
func TestRetryWithoutBudgetIsNotCharged(t *testing.T) {
	trees := calltree.New(retry.DefaultLimits())
	en := New(Options{Trees: trees, RetrySlack: 4})
	en.SetConfiguration(testConfiguration(t))
	kind := &config.Kind{Service: "cassa"}
	without := &request{kind: kind, account: retry.RequestAccount(call.RequestID{1})}
	for range 10 {
		if en.chargeRetry(without) {
			t.Fatal("a request without an account may send again")
		}
	}
	with := &request{kind: kind, account: retry.RequestAccount(call.RequestID{2})}
	now := time.Now()
	trees.StepRetry(now, retry.OpenRequest{Request: call.RequestID{2}, Total: 1, Deadline: now.Add(time.Minute)})
	if !en.chargeRetry(with) {
		t.Error("a request with a budget may not send again")
	}
}
