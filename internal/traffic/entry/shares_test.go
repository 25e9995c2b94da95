package entry

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"camphortrail/call"
	"camphortrail/config"
	"camphortrail/internal/ops/events"
	"camphortrail/internal/traffic/attempt"
	"camphortrail/internal/traffic/throttle"
)

// newCustomerRequest returns the nth request of a customer.
func newCustomerRequest(cu *config.Customer, n int) *request {
	id := call.RequestID{byte(n), byte(n >> 8), 1}
	kind := &config.Kind{Class: "look-up", Service: "cassa", Importance: 5, Target: time.Second}
	return &request{kind: kind, customer: cu, importance: kind.Importance, id: id, ownAccount: id}
}

// The cohort of a request of a customer must follow its position, and its retry account must stay
// that of the id that it came with. Other requests must keep their ids.
func TestCohortFollowsThePosition(t *testing.T) {
	en := New(Options{})
	large, small := &config.Customer{Name: "large"}, &config.Customer{Name: "small"}
	for n := range 2000 {
		en.admit(newCustomerRequest(large, n))
	}
	cohort := func(cu *config.Customer) call.Cohort {
		rq := newCustomerRequest(cu, 1)
		id := rq.id
		en.admit(rq)
		if rq.accountID() != id {
			t.Errorf("account %v, want %v", rq.accountID(), id)
		}
		if cu == nil && (rq.id != id || rq.throttled(time.Now()).Positioned) {
			t.Errorf("a request without a customer: %v, want %v", rq.id, id)
		}
		return rq.id.Cohort()
	}
	cohort(nil)
	below := 0
	for range 100 {
		if cohort(large) < cohort(small) {
			below++
		}
	}
	if below < 90 {
		t.Errorf("only %d of 100 requests of a large customer come after those of a small one", below)
	}
}

// A request of a customer with an importance of its own must be finished as such.
func TestOwnImportance(t *testing.T) {
	for _, tt := range []struct {
		cu   *config.Customer
		imp  call.Importance
		want call.Importance
	}{
		{nil, 5, 0},
		{&config.Customer{Name: "a"}, 5, 0},
		{&config.Customer{Name: "a", Importance: 5}, 5, 0},
		{&config.Customer{Name: "a", Importance: 7}, 7, 7},
	} {
		rq := newCustomerRequest(tt.cu, 1)
		rq.importance = tt.imp
		if got := rq.ownImportance(); got != tt.want || rq.throttled(time.Now()).OfCustomer != (tt.want != 0) {
			t.Errorf("%+v, importance %d: own importance %d, want %d", tt.cu, tt.imp, got, tt.want)
		}
	}
}

// The decision log must say what a customer was owed whose request was refused.
func TestFairShareIsLogged(t *testing.T) {
	lg := events.New("a-1")
	en := New(Options{Events: lg})
	rq := newCustomerRequest(&config.Customer{Name: "large"}, 1)
	en.admit(rq)
	rq.share, rq.decidedBy = 50, throttle.Grant
	an := attempt.Refusal(ReasonOverload, time.Second)
	en.logRequest(&Request{}, rq, an, time.Now())
	var out bytes.Buffer
	ctx, stop := context.WithCancel(t.Context())
	stop()
	if err := lg.Run(ctx, &out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{`"customer":"large"`, `"rule":"fair-share"`, `"owed-per-s":`, `"asked-per-s":`} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no %s in %s", want, out.String())
		}
	}
}
