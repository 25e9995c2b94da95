package entry

import (
	"fmt"
	"testing"
	"time"

	"camphortrail/call"
	"camphortrail/internal/traffic/allocation"
	"camphortrail/route"
)

// aggregateFleet is a deployment of entries in failure domains of equal size. Each service has
// a part of the VMs in each domain.
type aggregateFleet struct {
	entries map[call.VM]*Entry
	now     time.Time
	sent    map[call.VM]int
	asked   map[call.VM]int
	// shares are those that the guards grant.
	shares allocation.Shares
}

// newAggregateFleet returns a fleet of the given number of nodes in domains, with the given
// number of VMs of the service cassa.
func newAggregateFleet(nodes, domains, cassa int) *aggregateFleet {
	af := &aggregateFleet{entries: make(map[call.VM]*Entry), now: time.Now()}
	var ups []route.Upsert
	for n := range nodes {
		svc := call.Service("sportello")
		if n < cassa {
			svc = "cassa"
		}
		ups = append(ups, route.Upsert{
			VM: call.VM(fmt.Sprint("vm-", n)), Service: svc, Domain: call.FailureDomain(fmt.Sprint("domain-", n%domains)), Slots: 10,
		})
	}
	for _, own := range ups {
		en := New(Options{VM: own.VM, Domain: own.Domain})
		for _, up := range ups {
			en.ApplyRouteEvent(up)
			en.SetAddress(up.VM, string(up.VM))
		}
		af.entries[own.VM] = en
	}
	return af
}

// interval sends the demands of one interval. Nodes that are silent neither send nor answer.
func (af *aggregateFleet) interval(perEntry float64, silent map[call.VM]bool) {
	af.sent, af.asked = make(map[call.VM]int), make(map[call.VM]int)
	af.now = af.now.Add(demandInterval)
	var list []addressedDemand
	for vm, en := range af.entries {
		if silent[vm] {
			continue
		}
		en.mu.Lock()
		own := []allocation.RankDemand{{Rank: 4, Calls: []allocation.CallRate{{Class: "read", PerSecond: perEntry}}}}
		due := append(en.routeDemand(af.now, "cassa", own), en.aggregatedDemands(af.now, false)...)
		en.mu.Unlock()
		af.sent[vm] = len(due)
		list = append(list, due...)
	}
	for _, ad := range list {
		if silent[ad.vm] {
			continue
		}
		de := ad.demand
		if de.Aggregate {
			en := af.entries[ad.vm]
			en.mu.Lock()
			en.aggregation(de.Service).sum.SetDemand(af.now, de.Entry, de.Wants)
			mean, ok := meanGrant(af.now, en.grants[de.Service])
			en.mu.Unlock()
			if ok {
				af.grant(de.Entry, ad.vm, mean)
			}
			continue
		}
		af.asked[ad.vm]++
		af.grant(de.Entry, ad.vm, allocation.Grant{Shares: af.shares, Slots: 10})
	}
}

// grant delivers a grant to an entry, at the time of the fleet.
func (af *aggregateFleet) grant(to, from call.VM, gr allocation.Grant) {
	en := af.entries[to]
	en.mu.Lock()
	defer en.mu.Unlock()
	if gg, asked := en.grants["cassa"][from]; asked {
		gg.grant, gg.received = gr, af.now
		en.grants["cassa"][from] = gg
	}
}

// granted returns the number of entries with a recent grant.
func (af *aggregateFleet) granted() (count int) {
	for _, en := range af.entries {
		en.mu.Lock()
		if _, ok := meanGrant(af.now, en.grants["cassa"]); ok {
			count++
		}
		en.mu.Unlock()
	}
	return count
}

// The demands and grants of a busy service must not outnumber the requests. 188 entries with
// 12 guards sent 12 demands each, 2,256 per interval.
func TestDemandsDoNotGrowWithTheNodes(t *testing.T) {
	for _, tt := range []struct{ nodes, domains, guards int }{{90, 3, 22}, {188, 6, 12}, {188, 6, 100}, {1100, 5, 39}} {
		af := newAggregateFleet(tt.nodes, tt.domains, tt.guards)
		for range 4 {
			af.interval(3, nil)
		}
		total, most, perGuard := 0, 0, 0
		for _, count := range af.sent {
			total += count
			most = max(most, count)
		}
		for _, count := range af.asked {
			perGuard = max(perGuard, count)
		}
		groups := (tt.nodes + maxGroupNodes - 1) / maxGroupNodes
		t.Logf("%d nodes, %d guards: %d demands, %d of one node, %d to one guard", tt.nodes, tt.guards, total, most, perGuard)
		if limit := tt.nodes + 2*groups*tt.guards; total > limit {
			t.Errorf("%d nodes, %d guards: %d demands per interval, want %d at most", tt.nodes, tt.guards, total, limit)
		}
		if most > tt.guards+1 || perGuard > 2*groups {
			t.Errorf("%d nodes, %d guards: %d demands of one node, %d to one guard", tt.nodes, tt.guards, most, perGuard)
		}
		if granted := af.granted(); granted != tt.nodes {
			t.Errorf("%d nodes, %d guards: %d entries with a grant", tt.nodes, tt.guards, granted)
		}
	}
}

// The sum of the demands that reach the guards is that of all entries.
func TestAggregatedDemandIsComplete(t *testing.T) {
	af := newAggregateFleet(188, 6, 12)
	for range 3 {
		af.interval(3, nil)
	}
	sum := 0.0
	for _, en := range af.entries {
		for _, ad := range en.aggregatedDemands(af.now, false) {
			for _, rd := range ad.demand.Wants {
				sum += rd.Calls[0].PerSecond
			}
		}
	}
	if want := 3.0 * 188; sum < 0.999*want || sum > 1.001*want {
		t.Errorf("guards get a demand of %.1f calls per second, want %.1f", sum, want)
	}
}

// An aggregator that does not answer is replaced within aggregatorTimeout, and in a small
// deployment there is none.
func TestSilentAggregatorIsReplaced(t *testing.T) {
	af := newAggregateFleet(188, 6, 12)
	for range 4 {
		af.interval(3, nil)
	}
	silent := make(map[call.VM]bool)
	for vm, count := range af.sent {
		if count > 1 {
			silent[vm] = true
		}
	}
	for range 5 + grantTTL/demandInterval {
		af.interval(3, silent)
	}
	if granted := af.granted(); len(silent) == 0 || granted != 188-len(silent) {
		t.Errorf("%d aggregators silent: %d entries with a grant", len(silent), granted)
	}
	af = newAggregateFleet(maxDirectNodes, 3, 12)
	af.interval(3, nil)
	for vm, count := range af.sent {
		if count != 12 {
			t.Errorf("%s sends %d demands, want one to each guard", vm, count)
		}
	}
}

// While the guards grant all that is demanded, they are asked less often, and entries still have
// grants all the time.
func TestGuardsOfAnIdleServiceAreAskedLess(t *testing.T) {
	const intervals = 12
	for _, tt := range []struct {
		name   string
		shares allocation.Shares
		want   int
	}{{"refusing", allocation.Shares{}, intervals}, {"idle", allocation.FullShares(), intervals / idleDemandIntervals}} {
		af := newAggregateFleet(90, 3, 22)
		af.shares = tt.shares
		for range 4 {
			af.interval(3, nil)
		}
		asked := 0
		for range intervals {
			af.interval(3, nil)
			asked += af.asked["vm-0"]
			if granted := af.granted(); granted != 90 {
				t.Errorf("%s: %d entries with a grant, want 90", tt.name, granted)
			}
		}
		if aggregators := 3; asked != tt.want*aggregators {
			t.Errorf("%s: a guard gets %d demands in %d intervals, want %d", tt.name, asked, intervals, tt.want*aggregators)
		}
	}
}
