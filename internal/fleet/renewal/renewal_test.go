package renewal

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/apex/log/handlers/memory"

	"camphortrail/call"
	"camphortrail/internal/customers/freshness"
	"camphortrail/internal/state/boottime"
	"camphortrail/schema"
)

// fakeAllowances asks for and grants requests of one customer, and records what it is told.
type fakeAllowances struct {
	mu sync.Mutex
	// granted holds the names of the children, and asked the times of the queries that were
	// answered. late is true if a query was sent after its answer came.
	granted []string
	asked   []time.Time
	late    bool
	askNow  func()
	// received gets the number of requests of each answer.
	received chan uint32
}

// Demands implements Allowances.
func (fa *fakeAllowances) Demands(time.Time) []*schema.CustomerDemand {
	return []*schema.CustomerDemand{{Customer: "c", Requests: 7}}
}

// Receive implements Allowances. It asks at once for more, as a node does that has too little.
func (fa *fakeAllowances) Receive(asked, now time.Time, list []*schema.CustomerAllowance) {
	fa.mu.Lock()
	fa.asked, fa.late = append(fa.asked, asked), fa.late || asked.After(now)
	fa.mu.Unlock()
	for _, al := range list {
		fa.received <- al.GetRequests()
	}
	fa.askNow()
}

// Grant implements Allowances. It grants what is demanded.
func (fa *fakeAllowances) Grant(_ time.Time, child string, list []*schema.CustomerDemand) (out []*schema.CustomerAllowance) {
	fa.mu.Lock()
	defer fa.mu.Unlock()
	fa.granted = append(fa.granted, child)
	for _, de := range list {
		out = append(out, &schema.CustomerAllowance{Customer: de.GetCustomer(), Requests: de.GetRequests()})
	}
	return out
}

// run runs a renewal until the returned function is called.
func run(rn *Renewal) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = rn.Run(ctx)
	}()
	return func() { cancel(); <-done }
}

// TestRenewalsCarryAllowances guards against demands and allowances that are lost on the way,
// against queries that are repeated faster than MinQueryInterval, against a wrong time of the query,
// and against the log that does not tell when keys are trusted.
func TestRenewalsCarryAllowances(t *testing.T) {
	names := []call.VM{"a", "b"}
	freshness.Order(names)
	root, leaf := names[0], names[1]
	logged := memory.New()
	silent := &log.Logger{Handler: discard.Default}
	options := func(name call.VM, fa *fakeAllowances) Options {
		return Options{
			Name: name, Bound: time.Minute, Seed: 1, Metrics: metrics.NewSet(), Log: silent,
			Discard: func(call.VM) {}, Controls: func() []string { return []string{"control"} },
			NewControlClient: func(string) ControlClient { return &replica{leads: true} },
			NewAllowances:    func(askNow func()) Allowances { fa.askNow = askNow; return fa },
		}
	}
	var parent, child *Renewal
	atRoot, atLeaf := &fakeAllowances{received: make(chan uint32, 1000)}, &fakeAllowances{received: make(chan uint32, 1000)}
	ropt, lopt := options(root, atRoot), options(leaf, atLeaf)
	ropt.Send = func(call.VM, string, *schema.Renewal) { t.Error("the root queries another node") }
	lopt.Send = func(vm call.VM, address string, msg *schema.Renewal) {
		if vm != root || address != "address" {
			t.Errorf("the query goes to %s at %s", vm, address)
		}
		go child.Receive(root, parent.Answer(msg))
	}
	parent, child = New(ropt), New(lopt)
	child.SetNode(root, "address")
	parent.SetNode(leaf, "other")
	for _, rn := range []*Renewal{parent, child} {
		rn.SetConfiguration(1, true)
		defer run(rn)()
	}
	for range 20 {
		if got := <-atLeaf.received; got != 7 {
			t.Fatalf("%d requests received, want 7", got)
		}
	}
	atLeaf.mu.Lock()
	if atLeaf.late {
		t.Error("a query was sent after its answer")
	}
	for i := 1; i < len(atLeaf.asked); i++ {
		if apart := atLeaf.asked[i].Sub(atLeaf.asked[i-1]); apart < MinQueryInterval {
			t.Errorf("two queries are %v apart, want at least %v", apart, MinQueryInterval)
		}
	}
	atLeaf.mu.Unlock()
	atRoot.mu.Lock()
	if atRoot.granted[0] != string(leaf) {
		t.Errorf("granted to %v, want %s", atRoot.granted, leaf)
	}
	atRoot.mu.Unlock()
	for !child.Fresh(1) {
		time.Sleep(time.Millisecond)
	}
	child.mu.Lock()
	defer child.mu.Unlock()
	child.opt.Log = &log.Logger{Handler: logged, Level: log.InfoLevel}
	child.reported = notReported
	child.reportTrust(boottime.Now())
	child.reportTrust(boottime.Now().Add(time.Hour))
	child.reportTrust(boottime.Now().Add(2 * time.Hour))
	trusted, notTrusted := 0, 0
	for _, en := range logged.Entries {
		switch {
		case en.Level == log.InfoLevel && en.Message == "keys of customers are trusted":
			trusted++
		case en.Level == log.WarnLevel && en.Fields.Get("proof-age-ms") != nil:
			notTrusted++
		}
	}
	if trusted != 1 || notTrusted != 1 {
		t.Errorf("%d log lines say that keys are trusted and %d that they are not any more, want 1 each", trusted, notTrusted)
	}
}

// TestNothingIsSentWithoutCustomers guards against a deployment without customers that pays for
// renewals, and against one without a bound on revocation whose keys are not trusted.
func TestNothingIsSentWithoutCustomers(t *testing.T) {
	queries := make(chan bool, 100)
	opt := Options{
		Name: "own", Metrics: metrics.NewSet(), Log: &log.Logger{Handler: memory.New()}, Discard: func(call.VM) {},
		Controls: func() []string { queries <- true; return nil },
	}
	for _, tt := range []struct {
		name      string
		bound     time.Duration
		customers bool
		want      bool
	}{
		{"no customers", time.Minute, false, false},
		{"no bound", 0, true, false},
		{"customers", time.Minute, true, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			opt.Bound, opt.Metrics = tt.bound, metrics.NewSet()
			rn := New(opt)
			rn.SetConfiguration(1, tt.customers)
			if wait := rn.step(t.Context()); (wait < idleWake) != tt.want {
				t.Errorf("next step in %v", wait)
			}
			if sent := rn.queries.Get() > 0; sent != tt.want {
				t.Errorf("sent %t, want %t", sent, tt.want)
			}
			if fresh := rn.Fresh(1); fresh != (tt.bound == 0) {
				t.Errorf("keys are trusted: %t", fresh)
			}
		})
	}
}
