package entry

import (
	"context"
	"net/http"
	"testing"
	"time"

	"camphortrail/call"
	"camphortrail/config"
	"camphortrail/schema"
)

// fakeAllowances allows a number of requests.
type fakeAllowances struct {
	left     int
	returned []Allowance
	waits    []time.Duration
}

func (fa *fakeAllowances) Take(_ context.Context, _ *config.Customer, wait time.Duration) Allowance {
	fa.waits = append(fa.waits, wait)
	if fa.left == 0 {
		return Allowance{RetryAfter: 1700 * time.Millisecond}
	}
	fa.left--
	return Allowance{Allowed: true, Issued: time.Unix(int64(fa.left), 0)}
}

func (fa *fakeAllowances) Return(_ *config.Customer, al Allowance) {
	fa.returned = append(fa.returned, al)
}

// Guards against requests beyond the cap that run, requests on public routes or of customers
// without a cap that count, and requests that did not run and keep what they took.
func TestUsageCap(t *testing.T) {
	tn := newTestNode(t, func(http.ResponseWriter, *http.Request) {})
	route := func(name, prefix, service string, public bool) *schema.Route {
		return &schema.Route{
			Name: name, Host: "h", PathPrefix: prefix, Importance: 5, Idempotent: true, DeadlineMs: 3000, TargetMs: 200, Attempts: 2,
			Public: public, Shares: []*schema.RouteShare{{Service: service, Weight: 1}},
		}
	}
	cd, err := config.Compile(&schema.Configuration{
		Deployment: "test", Version: 2, FailureDomains: []*schema.FailureDomain{{Name: "d1", Region: "r1"}},
		Services: []*schema.Service{
			{Name: "cassa", RetryRatioPercent: 10, MaxRequestBytes: 100, MaxAnswerBytes: 100},
			{Name: "none", RetryRatioPercent: 10, MaxRequestBytes: 100, MaxAnswerBytes: 100},
		},
		Routes: []*schema.Route{route("look-up", "/x/", "cassa", false), route("status", "/public/", "cassa", true), route("none", "/none/", "none", false)},
		Customers: []*schema.Customer{
			{Name: "capped", KeyDigests: []string{config.DigestOfKey("one").String()}, RequestsPer_1000S: 1000},
			{Name: "free", KeyDigests: []string{config.DigestOfKey("two").String()}},
		},
	}, 2)
	if err != nil {
		t.Fatal(err)
	}
	tn.SetConfiguration(cd)
	fa := &fakeAllowances{left: 1}
	tn.opt.Allowances = fa
	for n, rq := range []struct {
		key, uri string
		refused  bool
	}{
		{"one", "/x/1", false}, {"one", "/x/1", true}, {"one", "/public/1", false}, {"two", "/x/1", false},
	} {
		an := tn.ServeRequest(t.Context(), &Request{
			ID: call.RequestID{byte(n + 1)}, Label: "r", Host: "h", URI: rq.uri, Method: http.MethodGet, Header: http.Header{},
			Key: &rq.key, KeyHeader: "Authorization", CustomerHeader: "X-Customer",
		})
		if refused := an.Reason == ReasonCap; refused != rq.refused {
			t.Errorf("%s of %s: refused %v (%q), want %v", rq.uri, rq.key, refused, an.Reason, rq.refused)
		} else if refused && (an.Status != http.StatusTooManyRequests || an.Outcome != call.NotRun || an.RetryAfter != 1700*time.Millisecond) {
			t.Errorf("refusal: status %d, outcome %v, Retry-After %v", an.Status, an.Outcome, an.RetryAfter)
		}
	}
	if len(fa.waits) != 2 || fa.waits[0] != 25*time.Millisecond {
		t.Errorf("allowances were asked with waits %v, want 2 of 25ms", fa.waits)
	}
	fa.left = 1
	key := "one"
	an := tn.ServeRequest(t.Context(), &Request{
		ID: call.RequestID{9}, Label: "r", Host: "h", URI: "/none/1", Method: http.MethodGet, Header: http.Header{}, Key: &key,
	})
	if an.Outcome != call.NotRun || fa.left != 0 {
		t.Errorf("without an upstream: outcome %v (%s), %d left", an.Outcome, an.Reason, fa.left)
	}
	if len(fa.returned) != 1 || !fa.returned[0].Allowed || !fa.returned[0].Issued.Equal(time.Unix(0, 0)) {
		t.Errorf("returned %+v", fa.returned)
	}
}
