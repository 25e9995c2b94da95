package shares

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"camphortrail/call"
)

// trial asks for requests of customers at given rates, and serves those with positions below share
// once the warm-up is over.
type trial struct {
	rates []float64
	share float64
	// serve says whether the requests with positions below share are served.
	serve func(customer int, ps Position) bool
}

// run returns the served part of the requests of each customer and of all.
func (tr trial) run(seed uint64) (parts []float64, all float64) {
	const (
		warmUp = 30 * time.Second
		length = 300 * time.Second
	)
	rng := rand.New(rand.NewPCG(seed, 1))
	sum := 0.0
	for _, rate := range tr.rates {
		sum += rate
	}
	ctl, start := New(), time.Unix(0, 0)
	asked, served := make([]float64, len(tr.rates)), make([]float64, len(tr.rates))
	for now := start; now.Sub(start) < warmUp+length; now = now.Add(time.Duration(rng.ExpFloat64() / sum * float64(time.Second))) {
		point, cu := rng.Float64()*sum, 0
		for cu < len(tr.rates)-1 && point >= tr.rates[cu] {
			point -= tr.rates[cu]
			cu++
		}
		name := call.Customer(fmt.Sprint(cu))
		ps := ctl.Ask(now, name, 5, rng.Float64())
		ok := tr.serve(cu, ps)
		if ok {
			ctl.Served(now, name, 5)
		}
		if now.Sub(start) > warmUp {
			asked[cu]++
			if ok {
				served[cu]++
			}
		}
	}
	total, done := 0.0, 0.0
	for cu := range asked {
		parts = append(parts, served[cu]/max(asked[cu], 1))
		total += asked[cu]
		done += served[cu]
	}
	return parts, done / total
}

func (tr trial) admit(_ int, ps Position) bool { return ps.Value < tr.share }

// Whatever share is admitted by position, it must be admitted in sum, small customers must be
// served whole, and those above their fair share alike, but none less than MinServedRatio of all.
func TestPositionsAreMaxMinFair(t *testing.T) {
	for _, tt := range []struct {
		share float64
		rates []float64
		// within holds for each customer the least and the greatest part that is fair.
		within [][2]float64
	}{
		{0.5, []float64{10, 10, 10, 10}, [][2]float64{{0.45, 0.55}, {0.45, 0.55}, {0.45, 0.55}, {0.45, 0.55}}},
		// 11 of 22 a second are served: 4.5 of each of the large ones.
		{0.5, []float64{10, 10, 1, 1}, [][2]float64{{0.4, 0.5}, {0.4, 0.5}, {0.95, 1}, {0.95, 1}}},
		// 17.5 of 50 a second: 8.5 of the large one by max-min, but 0.4 of the share before that.
		{0.35, []float64{41, 3, 3, 3}, [][2]float64{{0.14, 0.25}, {0.85, 1}, {0.85, 1}, {0.85, 1}}},
		// A node that sees a few requests of each customer in a minute.
		{0.5, []float64{2, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1}, [][2]float64{{0.3, 0.45}, {0.8, 1}, {0.8, 1}, {0.8, 1}, {0.8, 1}, {0.8, 1}, {0.8, 1}}},
		{1, []float64{10, 1}, [][2]float64{{1, 1}, {1, 1}}},
	} {
		tr := trial{rates: tt.rates, share: tt.share}
		tr.serve = tr.admit
		parts, all := tr.run(1)
		t.Logf("share %v, rates %v: %.2f, all %.3f", tt.share, tt.rates, parts, all)
		if all < tt.share-0.03 || all > tt.share+0.03 {
			t.Errorf("share %v, rates %v: %.3f of all are served", tt.share, tt.rates, all)
		}
		for cu, part := range parts {
			if part < tt.within[cu][0] || part > tt.within[cu][1] {
				t.Errorf("share %v, rates %v: %.2f of customer %d are served, want %v", tt.share, tt.rates, part, cu, tt.within[cu])
			}
			if part < MinServedRatio*all {
				t.Errorf("share %v, rates %v: %.2f of customer %d are served, %.2f of all", tt.share, tt.rates, part, cu, all)
			}
		}
	}
}

// A customer whose requests fail for reasons other than positions must get lower positions.
func TestCustomerShortOfServiceComesFirst(t *testing.T) {
	rates := []float64{10, 10, 10}
	place := 0.0
	count := 0
	tr := trial{rates: rates, share: 0.6}
	rng := rand.New(rand.NewPCG(3, 3))
	tr.serve = func(cu int, ps Position) bool {
		if cu == 0 {
			place += ps.Value
			count++
			return rng.Float64() < 0.05
		}
		return ps.Value < tr.share
	}
	tr.run(2)
	if mean := place / float64(count); mean > 0.35 {
		t.Errorf("the mean position of a customer of which 1 in 20 is served is %.2f", mean)
	}
}

// Many customers must neither take memory without bound nor change the order of the large ones.
func TestCustomersAreBounded(t *testing.T) {
	ctl, now := New(), time.Unix(0, 0)
	for n := range 20 * maxCustomers {
		now = now.Add(time.Millisecond)
		ctl.Ask(now, call.Customer(fmt.Sprint(n)), 5, 0.5)
		if n%10 == 0 {
			ctl.Ask(now, "large", 5, 0.5)
		}
	}
	if len(ctl.accounts) > maxCustomers || len(ctl.index) > maxCustomers {
		t.Errorf("%d accounts and %d names, want at most %d", len(ctl.accounts), len(ctl.index), maxCustomers)
	}
	small, large := ctl.Ask(now, "new", 5, 0.5), ctl.Ask(now, "large", 5, 0.5)
	if small.Value >= large.Value || small.Cohort() <= large.Cohort() {
		t.Errorf("positions %v of a new customer and %v of a large one", small.Value, large.Value)
	}
}

// Importances compete apart from each other: positions of one say nothing about another.
func TestImportancesAreApart(t *testing.T) {
	ctl, now := New(), time.Unix(0, 0)
	for range 1000 {
		now = now.Add(5 * time.Millisecond)
		ctl.Ask(now, "a", 7, 0.5)
	}
	if ps := ctl.Ask(now, "a", 5, 0.5); ps.Value != 0.5 {
		t.Errorf("position %v, want the draw", ps.Value)
	}
}

// What a customer is owed follows from the positions.
func TestOwed(t *testing.T) {
	ctl, now := New(), time.Unix(0, 0)
	rng := rand.New(rand.NewPCG(1, 1))
	var large Position
	for n := range 20000 {
		now = now.Add(5 * time.Millisecond)
		if n%10 < 8 {
			large = ctl.Ask(now, "large", 5, rng.Float64())
		} else {
			ctl.Ask(now, call.Customer(fmt.Sprint(n%10)), 5, rng.Float64())
		}
	}
	// 100 of 200 a second are admitted: 40 of the small ones, which ask no more, and 60.
	owed, asked := ctl.Owed(5, large, 0.5)
	if owed < 50 || owed > 75 || asked < 145 || asked > 175 {
		t.Errorf("owed %.0f of %.0f a second, want 60 of 160", owed, asked)
	}
}

// Nothing may be allocated for a request of a known customer.
func TestNoAllocations(t *testing.T) {
	ctl, now := New(), time.Unix(0, 0)
	ctl.Ask(now, "a", 5, 0.5)
	if allocs := testing.AllocsPerRun(1000, func() {
		now = now.Add(time.Millisecond)
		ctl.Ask(now, "a", 5, 0.5)
		ctl.Served(now, "a", 5)
	}); allocs != 0 {
		t.Errorf("%v allocations", allocs)
	}
}

func ExampleController() {
	ctl, now := New(), time.Unix(0, 0)
	for range 2000 {
		now = now.Add(5 * time.Millisecond)
		ctl.Ask(now, "large", 5, 0.5)
	}
	fmt.Println(ctl.Ask(now, "small", 5, 0.5).Cohort() > ctl.Ask(now, "large", 5, 0.5).Cohort())
	// Output: true
}

func BenchmarkAsk(b *testing.B) {
	ctl, now := New(), time.Unix(0, 0)
	rng := rand.New(rand.NewPCG(1, 1))
	names := make([]call.Customer, 2000)
	for n := range names {
		names[n] = call.Customer(fmt.Sprint(n))
	}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		now = now.Add(time.Millisecond)
		cu := names[n%len(names)]
		ctl.Ask(now, cu, 5, rng.Float64())
		ctl.Served(now, cu, 5)
	}
}
