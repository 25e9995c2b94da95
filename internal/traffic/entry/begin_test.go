package entry

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"camphortrail/call"
	"camphortrail/config"
	"camphortrail/schema"
)

// customerConfiguration has a customer with the key "right", a public route and one for customers.
func customerConfiguration(t *testing.T) *config.Compiled {
	t.Helper()
	return configurationOf(t, "right")
}

// configurationOf returns a configuration with a customer that has a key.
func configurationOf(t *testing.T, key string) *config.Compiled {
	t.Helper()
	return customerConfigurationWith(t, []*schema.Customer{{Name: "acme", KeyDigests: []string{config.DigestOfKey(key).String()}}})
}

// customerConfigurationWith has the given customers, a public route and one for customers.
func customerConfigurationWith(t *testing.T, customers []*schema.Customer) *config.Compiled {
	t.Helper()
	rt := func(name, prefix string, public bool) *schema.Route {
		return &schema.Route{
			Name: name, Host: "h", PathPrefix: prefix, Importance: 5, DeadlineMs: 3000, Attempts: 2, Public: public,
			Shares: []*schema.RouteShare{{Service: "cassa", Weight: 1}},
		}
	}
	cd, err := config.Compile(&schema.Configuration{
		Deployment: "test", Version: 2, FailureDomains: []*schema.FailureDomain{{Name: "d1", Region: "r1"}},
		Services:  []*schema.Service{{Name: "cassa", RetryRatioPercent: 10, MaxRequestBytes: 100, MaxAnswerBytes: 100}},
		Routes:    []*schema.Route{rt("issue", "/x/", false), rt("tags", "/public/", true)},
		Customers: customers,
	}, 2)
	if err != nil {
		t.Fatal(err)
	}
	return cd
}

// staleKeys is a Freshness that trusts no key.
type staleKeys struct{}

func (staleKeys) Fresh(uint64) bool { return false }

// A request must be refused by its header for the same reason as with its body.
func TestBegin(t *testing.T) {
	right, wrong := "right", "wrong"
	for _, tt := range []struct {
		name            string
		uri             string
		key             *string
		stale, stopping bool
		// starting says that the node has just started, so that a request without a key may be a
		// call.
		starting bool
		status   int
		reason   string
	}{
		{name: "served", uri: "/x/1", key: &right},
		{name: "no route", uri: "/y/1", key: &right, status: http.StatusNotFound, reason: ReasonNoService},
		{name: "unknown key", uri: "/x/1", key: &wrong, status: http.StatusUnauthorized, reason: ReasonKeyUnknown},
		{name: "unknown key, public", uri: "/public/1", key: &wrong},
		{name: "stale key", uri: "/x/1", key: &right, stale: true, status: http.StatusServiceUnavailable, reason: ReasonKeyStale},
		{name: "no key", uri: "/x/1", status: http.StatusUnauthorized, reason: ReasonKeyUnknown},
		{name: "no key, may be a call", uri: "/x/1", starting: true},
		{name: "stopping", uri: "/x/1", key: &right, stopping: true, status: http.StatusServiceUnavailable, reason: ReasonStopping},
		{name: "stopping, may be a call", uri: "/x/1", starting: true, stopping: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			tn := newRoutedTestNode(t, answerOK)
			tn.SetConfiguration(customerConfiguration(t))
			if tt.stale {
				tn.opt.Freshness = staleKeys{}
			}
			if !tt.starting {
				tn.started = time.Now().Add(-2 * learnTime)
			}
			if tt.stopping {
				tn.Stop(time.Now().Add(time.Minute))
			}
			newRequest := func() *Request {
				return &Request{
					ID: call.RequestID{1}, Method: http.MethodPost, Host: "h", URI: tt.uri, Header: http.Header{}, Key: tt.key,
					KeyHeader: "Authorization", CustomerHeader: "X-Customer", Deadline: time.Now().Add(5 * time.Second),
				}
			}
			an := tn.Begin(t.Context(), newRequest())
			if tt.status == 0 {
				if an != nil {
					t.Fatalf("refused: %d %s", an.Status, an.Reason)
				}
				return
			}
			if an == nil || an.Status != tt.status || an.Reason != tt.reason || an.Outcome != call.NotRun {
				t.Fatalf("answer %+v, want %d %s", an, tt.status, tt.reason)
			}
			if full := tn.ServeRequest(t.Context(), newRequest()); full.Status != an.Status || full.Reason != an.Reason {
				t.Errorf("ServeRequest answers %d %s", full.Status, full.Reason)
			}
		})
	}
}

// countingAllowances counts the requests that were taken and not returned.
type countingAllowances struct{ taken int }

func (ca *countingAllowances) Take(context.Context, *config.Customer, time.Duration) Allowance {
	if ca.taken >= 3 {
		return Allowance{RetryAfter: time.Second}
	}
	ca.taken++
	return Allowance{Allowed: true}
}

func (ca *countingAllowances) Return(*config.Customer, Allowance) { ca.taken-- }

// A request that was accepted by its header must be decided on once: it takes one allowance and one
// place of the throttle, and gives both back if its body does not arrive, or if the entry stops or its
// key is withdrawn or may have been meanwhile.
func TestBegunRequestIsDecidedOnce(t *testing.T) {
	right := "right"
	for _, end := range []string{"served", "abandoned", "stopped", "withdrawn", "stale"} {
		t.Run(end, func(t *testing.T) {
			bodies := make(chan string, 10)
			tn := newRoutedTestNode(t, func(_ http.ResponseWriter, r *http.Request) {
				body, _ := io.ReadAll(r.Body)
				bodies <- string(body)
			})
			cd := customerConfiguration(t)
			cu, _ := cd.CustomerOfKey(right)
			cu.Rate = 1
			tn.SetConfiguration(cd)
			allowances := &countingAllowances{}
			tn.opt.Allowances = allowances
			rd := &Request{
				ID: call.RequestID{1}, Method: http.MethodPost, Host: "h", URI: "/x/1", Header: http.Header{}, Key: &right,
				KeyHeader: "Authorization", CustomerHeader: "X-Customer", Deadline: time.Now().Add(5 * time.Second),
				Connection: "10.0.0.1:1",
			}
			if an := tn.Begin(t.Context(), rd); an != nil {
				t.Fatalf("refused: %d %s", an.Status, an.Reason)
			}
			rd.Body = []byte("body")
			wantTaken := 0
			switch end {
			case "served":
				wantTaken = 1
				if an := tn.ServeRequest(t.Context(), rd); an.Outcome != call.Done || <-bodies != "body" {
					t.Errorf("answer %+v", an)
				}
			case "abandoned":
				tn.Abandon(rd)
				tn.Abandon(rd)
			case "stopped":
				tn.Stop(time.Now().Add(time.Minute))
				if an := tn.ServeRequest(t.Context(), rd); an.Outcome != call.NotRun || an.Reason != ReasonStopping {
					t.Errorf("answer %+v", an)
				}
			case "withdrawn":
				tn.SetConfiguration(configurationOf(t, "other"))
				if an := tn.ServeRequest(t.Context(), rd); an.Outcome != call.NotRun || an.Reason != ReasonKeyUnknown {
					t.Errorf("answer %+v", an)
				}
				tn.SetConfiguration(cd)
			case "stale":
				tn.opt.Freshness = staleKeys{}
				if an := tn.ServeRequest(t.Context(), rd); an.Outcome != call.NotRun || an.Reason != ReasonKeyStale {
					t.Errorf("answer %+v", an)
				}
				tn.opt.Freshness = nil
			}
			if allowances.taken != wantTaken || len(bodies) != 0 {
				t.Errorf("%d allowances taken, want %d; %d further runs", allowances.taken, wantTaken, len(bodies))
			}
			// Connections have ever new addresses, so that what is kept of one would add up.
			if n := tn.opt.Trees.Unanswered(); n != 0 {
				t.Errorf("%d connections count as unanswered", n)
			}
			// The cap is reached: an upload is refused before its body is read.
			allowances.taken = 3
			if an := tn.Begin(t.Context(), rd); end != "stopped" && (an == nil || an.Status != http.StatusTooManyRequests) {
				t.Errorf("beyond the cap: %+v", an)
			}
		})
	}
}

// Guards against a request whose key is withdrawn, or cannot be trusted any more, while its body
// arrives: a slow body must not extend the life of a key. It guards also against an allowance that such
// a request keeps.
func TestKeyIsCheckedAfterBody(t *testing.T) {
	right := "right"
	for _, tt := range []struct {
		name   string
		holder string
		stale  bool
		status int
		reason string
	}{
		{name: "valid", holder: "acme", status: http.StatusOK},
		{name: "withdrawn", status: http.StatusUnauthorized, reason: ReasonKeyUnknown},
		{name: "of another customer", holder: "other", status: http.StatusUnauthorized, reason: ReasonKeyUnknown},
		{name: "not trusted", holder: "acme", stale: true, status: http.StatusServiceUnavailable, reason: ReasonKeyStale},
	} {
		t.Run(tt.name, func(t *testing.T) {
			tn := newRoutedTestNode(t, answerOK)
			cd := customerConfiguration(t)
			cu, _ := cd.CustomerOfKey(right)
			cu.Rate = 1
			tn.SetConfiguration(cd)
			allowances := &countingAllowances{}
			tn.opt.Allowances = allowances
			rd := &Request{
				ID: call.RequestID{1}, Method: http.MethodPost, Host: "h", URI: "/x/1", Header: http.Header{}, Key: &right,
				KeyHeader: "Authorization", CustomerHeader: "X-Customer", Deadline: time.Now().Add(5 * time.Second),
			}
			if an := tn.Begin(t.Context(), rd); an != nil {
				t.Fatalf("refused: %d %s", an.Status, an.Reason)
			}
			customers := []*schema.Customer{{Name: "acme"}, {Name: "other"}}
			for _, cu := range customers {
				if cu.GetName() == tt.holder {
					cu.KeyDigests = []string{config.DigestOfKey(right).String()}
				}
			}
			tn.SetConfiguration(customerConfigurationWith(t, customers))
			if tt.stale {
				tn.opt.Freshness = staleKeys{}
			}
			an := tn.ServeRequest(t.Context(), rd)
			if an.Status != tt.status || an.Reason != tt.reason {
				t.Errorf("answer %d %q, want %d %q", an.Status, an.Reason, tt.status, tt.reason)
			}
			wantTaken := 0
			if tt.status == http.StatusOK {
				wantTaken = 1
			} else if an.Outcome != call.NotRun {
				t.Errorf("outcome %v", an.Outcome)
			}
			if allowances.taken != wantTaken {
				t.Errorf("%d allowances taken, want %d", allowances.taken, wantTaken)
			}
		})
	}
}
