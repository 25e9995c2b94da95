package allowances

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"

	"camphortrail/call"
	"camphortrail/config"
	"camphortrail/internal/customers/allowance"
	"camphortrail/internal/traffic/entry"
	"camphortrail/schema"
)

var (
	_ entry.Allowances = (*Allowances)(nil)

	usual = allowance.Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
)

// withCustomer returns a configuration with one customer.
func withCustomer(rate, burst float64) (*schema.Configuration, *config.Customer) {
	cfg := &schema.Configuration{
		Deployment: "test", Version: 1, FailureDomains: []*schema.FailureDomain{{Name: "d1", Region: "r"}},
		Services: []*schema.Service{{Name: "cassa", RetryRatioPercent: 10, MaxRequestBytes: 100, MaxAnswerBytes: 100}},
		Routes: []*schema.Route{{
			Name: "look-up", Host: "h", PathPrefix: "/", Importance: 5, DeadlineMs: 3000, Attempts: 2,
			Shares: []*schema.RouteShare{{Service: "cassa", Weight: 1}},
		}},
		Customers: []*schema.Customer{{Name: "notary", RequestsPer_1000S: uint64(rate * 1000), BurstThousandths: uint64(burst * 1000)}},
	}
	return cfg, &config.Customer{Name: "notary", Rate: rate, Burst: burst}
}

// chain is a leader, a root and further nodes, of which each queries the one before it. Messages
// take 500 us.
type chain struct {
	t       *testing.T
	cfg     *schema.Configuration
	buckets *Buckets
	nodes   []*Allowances
	// down is true while no leader answers.
	down atomic.Bool
}

// newChain returns a chain. Its goroutines end with the test. It must be called in a synctest
// bubble, whose clock the chain uses.
func newChain(t *testing.T, cfg *schema.Configuration, length int) *chain {
	ch := &chain{t: t, cfg: cfg, buckets: NewBuckets(usual)}
	ch.buckets.Lead(time.Now(), 1)
	ch.buckets.Grant(time.Now(), "", cfg, []*schema.CustomerDemand{{Customer: "notary"}})
	cd, err := config.Compile(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	var renewals sync.WaitGroup
	t.Cleanup(renewals.Wait)
	var asks []chan struct{}
	for i := range length {
		ask := make(chan struct{}, 1)
		al := New(Options{
			Bounds: usual, IsRoot: func() bool { return i == 0 }, Now: time.Now,
			AskNow: func() {
				select {
				case ask <- struct{}{}:
				default:
				}
			},
		})
		al.SetConfiguration(cd)
		ch.nodes = append(ch.nodes, al)
		asks = append(asks, ask)
	}
	for i, ask := range asks {
		renewals.Go(func() { ch.renew(t.Context(), i, ask) })
	}
	return ch
}

// renew sends the queries of a node.
func (ch *chain) renew(ctx context.Context, i int, ask <-chan struct{}) {
	ticker := time.NewTicker(250 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ask:
		case <-ticker.C:
		}
		asked := time.Now()
		demands := ch.nodes[i].Demands(asked)
		time.Sleep(500 * time.Microsecond)
		var answer []*schema.CustomerAllowance
		switch {
		case i > 0:
			answer = ch.nodes[i-1].Grant(time.Now(), "child", demands)
		case ch.down.Load():
			continue
		default:
			answer = ch.buckets.Grant(time.Now(), "root", ch.cfg, demands)
		}
		time.Sleep(500 * time.Microsecond)
		ch.nodes[i].Receive(asked, time.Now(), answer)
	}
}

// Guards against refusals of requests whose tokens are on their way: three nodes below the leader
// a request gets one within its wait.
func TestRequestWaitsForToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg, cu := withCustomer(10, 10)
		ch := newChain(t, cfg, 3)
		time.Sleep(5 * time.Second)
		begun := time.Now()
		an := ch.nodes[2].Take(t.Context(), cu, 50*time.Millisecond)
		if !an.Allowed {
			t.Fatalf("refused: %+v", an)
		}
		if took := time.Since(begun); took > 25*time.Millisecond {
			t.Errorf("took %v", took)
		}
	})
}

// Guards against a returned token that is lost, or used after its time.
func TestReturnedTokenIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg, cu := withCustomer(10, 10)
		ch := newChain(t, cfg, 1)
		time.Sleep(5 * time.Second)
		an := ch.nodes[0].Take(t.Context(), cu, 50*time.Millisecond)
		ch.down.Store(true)
		ch.nodes[0].Return(cu, an)
		if again := ch.nodes[0].Take(t.Context(), cu, 0); !again.Allowed || !again.Issued.Equal(an.Issued) {
			t.Errorf("after Return: %+v, want %+v", again, an)
		}
		time.Sleep(400 * time.Millisecond)
		ch.nodes[0].Return(cu, an)
		if again := ch.nodes[0].Take(t.Context(), cu, 0); again.Allowed {
			t.Error("an expired token was used")
		}
	})
}

// Guards against requests without tokens while nobody answers: only the root of the failure domain
// lets a few start. It guards also against refusals that keep their request, or name no time.
func TestWithoutLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg, cu := withCustomer(10, 10)
		ch := newChain(t, cfg, 1)
		lone := New(Options{Bounds: usual, IsRoot: func() bool { return false }, Now: time.Now, AskNow: func() {}})
		time.Sleep(15 * time.Second)
		ch.down.Store(true)
		time.Sleep(time.Second)
		allowed := 0
		for range 100 {
			if ch.nodes[0].Take(t.Context(), cu, 0).Allowed {
				allowed++
			}
		}
		// (20 + 0.1 x 10 + 0.1 x 10) / 2, rounded down.
		if allowed != 11 {
			t.Errorf("root: %d allowed, want 11", allowed)
		}
		begun := time.Now()
		an := lone.Take(t.Context(), cu, 50*time.Millisecond)
		if took := time.Since(begun); an.Allowed || took != 50*time.Millisecond {
			t.Errorf("node that reaches nobody: %+v after %v", an, took)
		}
		if an.RetryAfter <= 0 || an.RetryAfter > 4100*time.Millisecond {
			t.Errorf("Retry-After %v", an.RetryAfter)
		}
		ctx, stop := context.WithCancel(t.Context())
		stop()
		if an := lone.Take(ctx, cu, time.Minute); an.Allowed || time.Since(begun) > time.Second {
			t.Errorf("request that was given up: %+v after %v", an, time.Since(begun))
		}
		if lone.waiting != 0 {
			t.Errorf("%d requests wait", lone.waiting)
		}
	})
}

// Guards against callers that all come again at the same time, before there is anything.
func TestRetryAfterIsSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg, cu := withCustomer(0.8, 0)
		ch := newChain(t, cfg, 1)
		time.Sleep(20 * time.Second)
		times := make(map[time.Duration]bool)
		shortest := time.Hour
		for range 200 {
			if an := ch.nodes[0].Take(t.Context(), cu, 50*time.Millisecond); !an.Allowed {
				times[an.RetryAfter] = true
				shortest = min(shortest, an.RetryAfter)
				if an.RetryAfter > 4100*time.Millisecond {
					t.Errorf("Retry-After %v", an.RetryAfter)
				}
			}
			time.Sleep(time.Millisecond)
		}
		if len(times) < 100 || shortest < 500*time.Millisecond {
			t.Errorf("%d different times, the shortest %v", len(times), shortest)
		}
	})
}

// Guards against a leader that trusts buckets from before its term, as the leader between may
// have spent full ones.
func TestNewTermBeginsEmpty(t *testing.T) {
	cfg, _ := withCustomer(10, 10)
	demand := []*schema.CustomerDemand{{Customer: "notary", Requests: 100}}
	for _, told := range []bool{true, false} {
		bu, now := NewBuckets(usual), time.Unix(1000, 0)
		grant := func(term uint64) (n uint32) {
			if told {
				bu.Lead(now, term)
			}
			for _, ca := range bu.Grant(now, "root", cfg, demand) {
				n += ca.GetRequests()
			}
			return n
		}
		if n := grant(1); n != 0 {
			t.Errorf("told %v: %d tokens at the start", told, n)
		}
		for range 10 {
			now = now.Add(200 * time.Millisecond)
			if n := grant(1); n != 2 {
				t.Errorf("told %v: %d tokens after 200 ms, want 2", told, n)
			}
		}
		now = now.Add(time.Minute)
		want := uint32(21)
		if !told {
			want = 0
		}
		if n := grant(1); n != want {
			t.Errorf("told %v: %d tokens after a pause, want %d", told, n, want)
		}
		now = now.Add(2 * time.Second)
		if n := grant(2); n != 0 {
			t.Errorf("told %v: %d tokens at the start of a term", told, n)
		}
	}
}

// Guards against customers without a cap that are refused while a node has not heard of it.
func TestUncapped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg, cu := withCustomer(0, 0)
		cu.Rate = 1
		ch := newChain(t, cfg, 2)
		for range 100 {
			if an := ch.nodes[1].Take(t.Context(), cu, 50*time.Millisecond); !an.Allowed {
				t.Fatalf("refused: %+v", an)
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
}

// Guards against allocations for each request while there are tokens.
func TestTakeDoesNotAllocate(t *testing.T) {
	cfg, cu := withCustomer(10_000, 1000)
	cd, err := config.Compile(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(1000, 0)
	al := New(Options{Bounds: usual, IsRoot: func() bool { return false }, Now: func() time.Time { return now }, AskNow: func() {}})
	al.SetConfiguration(cd)
	al.Receive(now, now, []*schema.CustomerAllowance{{Customer: "notary", Requests: 1_000_000}})
	if an := al.Take(t.Context(), cu, 0); !an.Allowed {
		t.Fatal("refused")
	}
	if n := testing.AllocsPerRun(1000, func() {
		if !al.Take(t.Context(), cu, 0).Allowed {
			t.Fatal("refused")
		}
	}); n > 0 {
		t.Errorf("%v allocations", n)
	}
}

// Guards against metrics and log lines that grow with the number of customers.
func TestManyRefusedCustomers(t *testing.T) {
	now := time.Unix(1000, 0)
	lines := memory.New()
	set := metrics.NewSet()
	al := New(Options{
		Bounds: usual, IsRoot: func() bool { return false }, Now: func() time.Time { return now }, AskNow: func() {},
		Metrics: set, Log: &log.Logger{Handler: lines, Level: log.InfoLevel},
	})
	const customers = 300
	for i := range customers {
		for range 1 + i {
			al.Take(t.Context(), &config.Customer{Name: call.Customer(fmt.Sprint("c", i)), Rate: 1}, 0)
		}
	}
	now = now.Add(11 * time.Second)
	al.Demands(now)
	if n := len(lines.Entries); n != maxLogLines {
		t.Errorf("%d log lines, want %d", n, maxLogLines)
	}
	var out bytes.Buffer
	set.WritePrometheus(&out)
	if n := strings.Count(out.String(), "\n"); n != 3*(maxMetricCustomers+1) {
		t.Errorf("%d lines of metrics", n)
	}
	for _, line := range []string{
		`camphortrail_allowance_requests_total{customer="c299",result="refused"} 300`,
		`camphortrail_allowance_requests_total{customer="(rest)",result="refused"} 27966`,
	} {
		if !strings.Contains(out.String(), line) {
			t.Errorf("no line %s", line)
		}
	}
	now = now.Add(logWindow)
	al.Take(t.Context(), &config.Customer{Name: "c1", Rate: 1}, 0)
	now = now.Add(11 * time.Second)
	al.Demands(now)
	last := lines.Entries[len(lines.Entries)-1]
	if !strings.Contains(last.Message, "no longer refused") || last.Fields["customer"] != call.Customer("c1") || last.Fields["refused"] != uint64(1) {
		t.Errorf("last line %q %v", last.Message, last.Fields)
	}
}

// Guards against tokens that are spent twice by requests, children and answers at the same time.
func TestConcurrentUse(t *testing.T) {
	now := time.Unix(1000, 0)
	al := New(Options{Bounds: usual, IsRoot: func() bool { return false }, Now: func() time.Time { return now }, AskNow: func() {}})
	cu := &config.Customer{Name: "notary", Rate: 10}
	const workers, rounds, tokens = 8, 100, 7
	var spent atomic.Uint64
	var wg sync.WaitGroup
	for wk := range workers {
		wg.Go(func() {
			for n := range rounds {
				asked := now.Add(-time.Duration(wk*rounds+n) * time.Microsecond)
				al.Receive(asked, now, []*schema.CustomerAllowance{{Customer: "notary", Requests: tokens}})
				for _, ca := range al.Grant(now, "child", []*schema.CustomerDemand{{Customer: "notary", Requests: 2}}) {
					spent.Add(uint64(ca.GetRequests()))
				}
				for range 10 {
					an := al.Take(t.Context(), cu, 0)
					switch {
					case an.Allowed && n%4 == 0:
						al.Return(cu, an)
					case an.Allowed:
						spent.Add(1)
					}
				}
				al.Demands(now)
			}
		})
	}
	wg.Wait()
	for al.Take(t.Context(), cu, 0).Allowed {
		spent.Add(1)
	}
	if got := spent.Load(); got == 0 || got > workers*rounds*tokens {
		t.Errorf("%d spent, want at most %d", got, workers*rounds*tokens)
	}
}
