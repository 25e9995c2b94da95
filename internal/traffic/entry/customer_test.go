package entry

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"camphortrail/call"
	"camphortrail/config"
	"camphortrail/internal/traffic/calltree"
	"camphortrail/internal/traffic/header"
	"camphortrail/schema"
)

// fakeFreshness trusts keys or not.
type fakeFreshness struct{ fresh bool }

func (ff *fakeFreshness) Fresh(uint64) bool { return ff.fresh }

// customerTestNode is a testNode whose configuration names the customers alfa (key a-key) and beta
// (keys b-1 and b-2). seen is the header of the last request that reached the upstream.
type customerTestNode struct {
	*testNode
	freshness *fakeFreshness

	mu   sync.Mutex
	seen http.Header
}

func newCustomerTestNode(t *testing.T) *customerTestNode {
	t.Helper()
	cn := &customerTestNode{freshness: &fakeFreshness{fresh: true}}
	cn.testNode = newTestNode(t, func(w http.ResponseWriter, r *http.Request) {
		cn.mu.Lock()
		defer cn.mu.Unlock()
		cn.seen = r.Header.Clone()
		answerOK(w, r)
	})
	customer := func(name string, importance uint32, keys ...string) *schema.Customer {
		cu := &schema.Customer{Name: name, Importance: importance}
		for _, key := range keys {
			cu.KeyDigests = append(cu.KeyDigests, config.DigestOfKey(key).String())
		}
		return cu
	}
	route := func(name, path string, public bool) *schema.Route {
		return &schema.Route{
			Name: name, Host: "h", PathPrefix: path, Importance: 5, Idempotent: true, DeadlineMs: 3000, Attempts: 2, Public: public,
			Shares: []*schema.RouteShare{{Service: "cassa", Weight: 1}},
		}
	}
	kind := func(name, path string, idempotent bool) *schema.RequestKind {
		return &schema.RequestKind{
			Name: name, Method: "POST", PathPrefix: path, Class: "all", Idempotent: idempotent, KeyRequired: !idempotent, DeadlineMs: 3000, RetryTotal: retryTotal,
		}
	}
	cd, err := config.Compile(&schema.Configuration{
		Deployment: "test", Version: 2, FailureDomains: []*schema.FailureDomain{{Name: "d1", Region: "r1"}},
		Classes: []*schema.Class{{Name: "all", Importance: 5}},
		Services: []*schema.Service{{
			Name: "cassa", RetryRatioPercent: 10, MaxRequestBytes: 100, MaxAnswerBytes: 100, KeyRetentionS: 60,
			Requests: []*schema.RequestKind{kind("read", "/cassa/payments", true), kind("refund", "/cassa/refunds", false)},
		}},
		Routes: []*schema.Route{route("look-up", "/x/", false), route("open", "/open/", true)},
		// The empty key is in no request, also if a configuration has its digest.
		Customers: []*schema.Customer{customer("alfa", 2, "a-key"), customer("beta", 0, "b-1", "b-2"), customer("gamma", 0, "")},
	}, 2)
	if err != nil {
		t.Fatal(err)
	}
	cn.SetConfiguration(cd)
	cn.opt.Freshness = cn.freshness
	cn.started = cn.started.Add(-2 * learnTime)
	return cn
}

// take returns the header of the last request that reached the upstream, or nil, and forgets it.
func (cn *customerTestNode) take() http.Header {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	seen := cn.seen
	cn.seen = nil
	return seen
}

// Guards against a request that is served without a valid key, against a valid one that is
// refused, and against a key or a customer stated by the client that reaches the upstream.
func TestIdentify(t *testing.T) {
	for _, tt := range []struct {
		name, path string
		header     []string
		stale      bool
		status     int
		reason     string
		customer   string
	}{
		{"key", "/x/", []string{"Token a-key"}, false, 200, "", "alfa"},
		{"second key", "/x/", []string{"token  b-2"}, false, 200, "", "beta"},
		{"no key", "/x/", nil, false, 401, ReasonKeyUnknown, ""},
		{"unknown key", "/x/", []string{"Token other"}, false, 401, ReasonKeyUnknown, ""},
		{"empty key", "/x/", []string{"Token "}, false, 401, ReasonKeyUnknown, ""},
		{"key without scheme", "/x/", []string{"a-key"}, false, 401, ReasonKeyUnknown, ""},
		{"other scheme", "/x/", []string{"Basic a-key"}, false, 401, ReasonKeyUnknown, ""},
		{"two keys", "/x/", []string{"Token a-key", "Token b-1"}, false, 401, ReasonKeyUnknown, ""},
		{"stale", "/x/", []string{"Token a-key"}, true, 503, ReasonKeyStale, ""},
		{"unknown key, stale", "/x/", []string{"Token other"}, true, 503, ReasonKeyStale, ""},
		{"no key, stale", "/x/", nil, true, 401, ReasonKeyUnknown, ""},
		{"public", "/open/", nil, false, 200, "", ""},
		{"public, key", "/open/", []string{"Token a-key"}, false, 200, "", "alfa"},
		{"public, unknown key", "/open/", []string{"Token other"}, false, 200, "", ""},
		{"public, key, stale", "/open/", []string{"Token a-key"}, true, 200, "", "alfa"},
		{"public, malformed", "/open/", []string{"a-key"}, true, 200, "", ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			cn := newCustomerTestNode(t)
			cn.freshness.fresh = !tt.stale
			rd := &Request{
				ID: call.RequestID{1}, Method: "GET", Host: "h", URI: tt.path, Deadline: time.Now().Add(time.Second),
				Header:    http.Header{"Authorization": tt.header, "X-Customer": {"forged"}},
				KeyHeader: "Authorization", CustomerHeader: "X-Customer",
			}
			rd.Key, rd.KeyMalformed = ParseKey(tt.header, "Token")
			an := cn.ServeRequest(t.Context(), rd)
			if an.Status != tt.status || an.Reason != tt.reason || (an.RetryAfter > 0) != (tt.status == 503) {
				t.Fatalf("status %d, reason %q, retry after %v; want %d, %q", an.Status, an.Reason, an.RetryAfter, tt.status, tt.reason)
			}
			seen := cn.take()
			if (seen != nil) != (tt.status == 200) {
				t.Fatalf("the upstream got %v", seen)
			}
			if seen["Authorization"] != nil || strings.Join(seen["X-Customer"], ",") != tt.customer {
				t.Errorf("the upstream got %v, want customer %q and no key", seen, tt.customer)
			}
		})
	}
}

// Guards against the same decisions being otherwise on the project's own interface, where calls
// name their attempt, and against two customers that share an idempotency key.
func TestIdentifyOwnInterface(t *testing.T) {
	cn := newCustomerTestNode(t)
	read := func(headers ...string) *http.Response {
		return cn.do("POST", "/cassa/payments", "", append(headers, header.Customer, "forged")...)
	}
	checkResponse(t, read(header.Authorization, "Token a-key"), 200, call.Done, "")
	if seen := cn.take(); seen.Get(header.Customer) != "alfa" || seen.Get(header.Authorization) != "" {
		t.Errorf("the upstream got %v", seen)
	}
	checkResponse(t, read(), 401, call.NotRun, ReasonKeyUnknown)
	checkResponse(t, read(header.Authorization, "Token other"), 401, call.NotRun, ReasonKeyUnknown)
	checkResponse(t, read(header.Attempt, strings.Repeat("ab", 16)), 401, call.NotRun, ReasonKeyUnknown)
	in := &calltree.Inbound{ID: call.AttemptID{7}, Request: call.RequestID{8}, Importance: 2, Customer: "beta", Deadline: time.Now().Add(time.Second)}
	cn.opt.Trees.Enter(in)
	checkResponse(t, read(header.Attempt, in.ID.String()), 200, call.Done, "")
	if seen := cn.take(); seen.Get(header.Customer) != "beta" {
		t.Errorf("the upstream of a call got %v", seen)
	}
	// A request with a key is one of a caller, also if it names an attempt.
	checkResponse(t, read(header.Attempt, in.ID.String(), header.Authorization, "Token a-key"), 200, call.Done, "")
	if seen := cn.take(); seen.Get(header.Customer) != "alfa" {
		t.Errorf("the upstream got %v", seen)
	}
	refund := func(key string) *http.Response {
		return cn.do("POST", "/cassa/refunds", "1", header.IdempotencyKey, "k", header.ResendCount, "0", header.Authorization, "Token "+key)
	}
	checkResponse(t, refund("a-key"), 200, call.Done, "")
	checkResponse(t, refund("b-1"), 200, call.Done, "")
	if cn.take().Get(header.Customer) != "beta" {
		t.Error("a customer got the recorded answer of another one with the same idempotency key")
	}
	cn.freshness.fresh = false
	checkResponse(t, read(header.Authorization, "Token a-key"), 503, call.NotRun, ReasonKeyStale)
}

// Guards against calls of the upstream that are refused for want of a key, and against requests
// without a key that are served while nothing suggests that they are calls.
func TestRequestWithoutKey(t *testing.T) {
	cn := newCustomerTestNode(t)
	status := func(n int) int {
		return cn.ServeRequest(t.Context(), &Request{
			ID: call.RequestID{byte(n), 9}, Method: "GET", Host: "h", URI: "/x/1", Header: http.Header{}, Deadline: time.Now().Add(time.Second),
		}).Status
	}
	if got := status(0); got != 401 {
		t.Fatalf("status %d while nothing runs, want 401", got)
	}
	in := &calltree.Inbound{ID: call.AttemptID{7}, Deadline: time.Now().Add(time.Minute), UpstreamDeadline: time.Now().Add(time.Minute)}
	cn.opt.Trees.Enter(in)
	for n := range 40 {
		if got := status(n); got != 200 {
			t.Fatalf("status %d while an attempt runs, want 200", got)
		}
	}
	cn.opt.Trees.Exit(time.Now(), in.ID)
	// The class is known by now, so that calls of an attempt that was abandoned are served.
	served := 0
	for n := range 40 {
		if status(n) == 200 {
			served++
		}
	}
	if served == 0 || served == 40 {
		t.Errorf("%d of 40 requests served after the end of the attempt, want the first of them", served)
	}
	cn.started = time.Now()
	if got := status(50); got != 200 {
		t.Errorf("status %d just after the start, want 200", got)
	}
}

// Guards against counters that grow with the number of customers, or that lose requests.
func TestCustomerCountersAreBounded(t *testing.T) {
	var ccs customerCounters
	an := refusalWithStatus(ReasonCap, 429)
	for n := range 200 {
		for range n + 1 {
			ccs.add(&request{customer: &config.Customer{Name: call.Customer(fmt.Sprintf("c-%03d", n))}}, an)
		}
	}
	var out bytes.Buffer
	ccs.write(&out)
	text := out.String()
	if named := strings.Count(text, "customer=") / int(resultCount); named != maxNamedCustomers {
		t.Errorf("%d customers named, want %d", named, maxNamedCustomers)
	}
	for _, want := range []string{
		`camphortrail_customer_requests_total{customer="c-199",result="cap"} 200`,
		`camphortrail_other_customers_requests_total{result="cap"} 9316`,
	} {
		if !strings.Contains(text, want) {
			t.Errorf("%s is missing", want)
		}
	}
	ccs.retain(func(name call.Customer) bool { return name == "c-005" })
	out.Reset()
	ccs.write(&out)
	if strings.Contains(out.String(), "c-199") || !strings.Contains(out.String(), `customer="c-005",result="cap"} 6`) {
		t.Errorf("after the removal of customers:\n%s", out.String())
	}
}
