package allowance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"camphortrail/call"
	"camphortrail/schema"
)

// BenchmarkFleet reports what the caps cost in a fleet of the users' size and in one of the size to
// design for, at several demands relative to the caps: queries, bytes of their messages and the
// time that the state machines take, by node and second.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []struct{ domains, nodes, customers int }{{3, 100, 82}, {5, 220, 1000}} {
		for _, factor := range []float64{0.6, 3} {
			b.Run(fmt.Sprintf("nodes=%d/customers=%d/demand=%v", size.domains*size.nodes, size.customers, factor), func(b *testing.B) {
				for range b.N {
					playFleet(b, size.domains, size.nodes, size.customers, factor)
				}
			})
		}
	}
}

// playFleet plays a fleet and reports its cost.
func playFleet(b *testing.B, domains, nodes, customers int, factor float64) {
	rng := rand.New(rand.NewPCG(1, 2))
	caps := make(map[call.Customer]Cap)
	var list []Cap
	for i := range customers {
		// Rates from 0.5 to 300 per second, evenly on a logarithmic scale; 47 on the mean.
		rate := 0.5 * math.Pow(600, float64(i)/float64(customers-1))
		list = append(list, Cap{Rate: rate, Burst: rate / 2})
		caps[customerName(i)] = list[i]
	}
	fl := newFleet(domains, nodes, 16, caps, rng.IntN, mechanisms{})
	for i, cp := range list {
		fl.offer(customerName(i), rng.ExpFloat64, func(time.Time) float64 { return factor * cp.Rate }, func() *simNode {
			return fl.domains[rng.IntN(domains)].nodes[rng.IntN(nodes)]
		})
	}
	var bytes, rootBytes, rootQueries, entries int
	fl.measure = func(root bool, demands []Demand, grants []Grant) {
		n := messageBytes(demands, grants)
		bytes += n
		entries += len(demands)
		if root {
			rootBytes += n
			rootQueries++
		}
	}
	fl.sc.Advance(6 * time.Second)
	fl.queries, bytes, rootBytes, rootQueries, entries = 0, 0, 0, 0, 0
	for name := range fl.caps {
		fl.offered[name], fl.refused[name] = 0, 0
	}
	const length = 2 * time.Second
	fl.sc.Advance(length)
	var offered, refused int
	for name := range fl.caps {
		offered, refused = offered+fl.offered[name], refused+fl.refused[name]
	}
	perNode := float64(domains*nodes) * length.Seconds()
	b.ReportMetric(float64(offered)/perNode, "requests/node/s")
	b.ReportMetric(100*float64(refused)/float64(offered), "%refused")
	b.ReportMetric(float64(fl.queries)/perNode, "queries/node/s")
	b.ReportMetric(float64(entries)/max(1, float64(fl.queries)), "customers/query")
	b.ReportMetric(float64(bytes)/perNode, "B/node/s")
	b.ReportMetric(float64(rootQueries)/length.Seconds(), "queries/leader/s")
	b.ReportMetric(float64(rootBytes)/length.Seconds(), "B/leader/s")
}

// messageBytes returns the size of a query and its answer, without the headers of their transport.
func messageBytes(demands []Demand, grants []Grant) int {
	query := &schema.Renewal{From: "zapatera-mx-a-17", Number: 1 << 20}
	for _, de := range demands {
		query.Demands = append(query.Demands, &schema.CustomerDemand{
			Customer: string(de.Customer), Requests: de.Requests,
		})
	}
	answer := &schema.RenewalAnswer{Number: 1 << 20, Proved: true, Revision: 1 << 20, ProofAgeUs: 1 << 18}
	for _, gr := range grants {
		answer.Allowances = append(answer.Allowances, &schema.CustomerAllowance{
			Customer: string(gr.Customer), Requests: gr.Requests, AgeUs: uint64(gr.Age.Microseconds()),
			RetryAfterUs: uint64(gr.RetryAfter.Microseconds()), Uncapped: gr.Uncapped,
		})
	}
	return proto.Size(query) + proto.Size(answer)
}

// BenchmarkBucket measures the answer of the leader to a query for 82 customers of 1,000.
func BenchmarkBucket(b *testing.B) {
	caps := make(map[call.Customer]Cap)
	var demands []Demand
	for i := range 1000 {
		caps[customerName(i)] = Cap{Rate: 50, Burst: 25}
		if i < 82 {
			demands = append(demands, Demand{Customer: customerName(i), Requests: 3})
		}
	}
	now := epoch
	bu := NewBucket(usual)
	bu.Lead(now, 1)
	bu.Configure(now, 3, caps)
	var grants []Grant
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(10 * time.Millisecond)
		grants = bu.Grant(now, demands, grants[:0])
	}
}

// BenchmarkStock measures the answer of an inner node to a query for 5 customers, while it holds
// state of 1,000.
func BenchmarkStock(b *testing.B) {
	st := NewStock(usual, func(call.Customer) (Cap, bool) { return Cap{Rate: 50}, true })
	now := epoch
	all := make([]Demand, 0, 1000)
	tokens := make([]Grant, 0, 1000)
	for i := range 1000 {
		all = append(all, Demand{Customer: customerName(i), Requests: 1})
		tokens = append(tokens, Grant{Customer: customerName(i), Requests: 2})
	}
	st.Grant(now, "child", all, nil)
	var grants []Grant
	var demands []Demand
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		st.Receive(now, now, tokens[:5])
		grants = st.Grant(now, "child", all[:5], grants[:0])
		demands = st.Demands(now, demands[:0])
	}
}

// BenchmarkTake measures a request that finds a token.
func BenchmarkTake(b *testing.B) {
	nd := NewNode(usual, func(call.Customer) (Cap, bool) { return Cap{Rate: 50}, true })
	now := epoch
	nd.Receive(now, now, []Grant{{Customer: customerName(1), Requests: math.MaxInt32}})
	b.ReportAllocs()
	for b.Loop() {
		if _, ok, _ := nd.Arrive(now, customerName1); !ok {
			b.Fatal("refused")
		}
	}
}

var customerName1 = customerName(1)
