package entry

import (
	"fmt"
	"math"
	"testing"
	"time"

	"camphortrail/call"
	"camphortrail/internal/traffic/allocation"
	"camphortrail/route"
)

// A demand is spread over the VMs that can be reached, by their slots.
func TestDemandGoesToReachableVMs(t *testing.T) {
	en, now := New(Options{VM: "a"}), time.Now()
	for n, slots := range []int{10, 30, 60, 100} {
		vm := call.VM(fmt.Sprint("cassa-", n))
		en.ApplyRouteEvent(route.Upsert{VM: vm, Service: "cassa", Slots: slots, Draining: n == 2})
		en.SetAddress(vm, "address")
	}
	en.ApplyRouteEvent(route.Suspect{VM: "cassa-3"})
	en.mu.Lock()
	defer en.mu.Unlock()
	got := make(map[call.VM]float64)
	wants := []allocation.RankDemand{{Rank: 1, Calls: []allocation.CallRate{{Class: "read", PerSecond: 8}}}}
	for _, qu := range en.splitDemand(now, "cassa", wants) {
		got[qu.vm] = qu.demand.Wants[0].Calls[0].PerSecond
	}
	if len(got) != 2 || got["cassa-0"] != 2 || got["cassa-1"] != 6 {
		t.Errorf("calls wanted by VM: %v, want 2 of cassa-0 and 6 of cassa-1", got)
	}
}

// Two VMs with the same slots differ threefold in what they run, and are asked for the
// same: the quick one has room that nobody is admitted for.
func TestSlowAndQuickVMsAreAskedAlike(t *testing.T) {
	en, now := New(Options{VM: "a"}), time.Now()
	for _, vm := range []call.VM{"quick", "slow", "new"} {
		en.ApplyRouteEvent(route.Upsert{VM: vm, Service: "cassa", Slots: 40})
		en.SetAddress(vm, "address")
	}
	wants := []allocation.RankDemand{{Rank: 1, Calls: []allocation.CallRate{{Class: "read", PerSecond: 60}}}}
	en.mu.Lock()
	en.splitDemand(now, "cassa", wants)
	en.mu.Unlock()
	for vm, took := range map[call.VM]time.Duration{"quick": 10 * time.Millisecond, "slow": 30 * time.Millisecond} {
		en.SetGrant(vm, "cassa", allocation.Grant{Shares: allocation.FullShares(), Slots: 40, SlotTimes: []allocation.SlotTime{{Class: "read", Time: took}}})
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	got := make(map[call.VM]float64)
	for _, qu := range en.splitDemand(time.Now(), "cassa", wants) {
		got[qu.vm] = math.Round(qu.demand.Wants[0].Calls[0].PerSecond)
	}
	// The new one has told nothing yet, and counts as the mean of the others.
	if got["quick"] != 30 || got["slow"] != 10 || got["new"] != 20 {
		t.Errorf("calls wanted by VM: %v, want 30 of quick, 10 of slow and 20 of new", got)
	}
}

// Of many VMs a bounded number is asked, and not the same by all entries.
func TestManyVMsAreNotAllAsked(t *testing.T) {
	asked := make(map[call.VM]int)
	for _, vm := range []call.VM{"a", "b", "c", "d", "e", "f", "g", "h"} {
		en := New(Options{VM: vm})
		for n := range 4 * maxAskedGuards {
			en.ApplyRouteEvent(route.Upsert{VM: call.VM(fmt.Sprint(n)), Service: "cassa", Slots: 10})
		}
		vms := en.askedUpstreams(time.Now(), "cassa")
		if len(vms) != maxAskedGuards {
			t.Fatalf("%d VMs are asked, want %d", len(vms), maxAskedGuards)
		}
		for _, up := range vms {
			asked[up.VM]++
		}
	}
	if len(asked) <= 2*maxAskedGuards {
		t.Errorf("8 entries ask %d VMs of %d, want more", len(asked), 4*maxAskedGuards)
	}
}

// What a guard said long ago does not count, as where it is cut off.
func TestOldAnswersOfGuardsDoNotCount(t *testing.T) {
	now := time.Now()
	half := allocation.FullShares()
	for rk := range half {
		half[rk] = 0.5
	}
	mean, ok := meanGrant(now, []guardGrant{
		{grant: allocation.Grant{Shares: half}, weight: 0.03, received: now},
		{grant: allocation.Grant{Shares: allocation.FullShares()}, weight: 0.01, received: now},
		{weight: 0.96, received: now.Add(-grantTTL)},
	})
	if !ok || mean.Shares[0] != 0.625 {
		t.Errorf("mean share %v, %t, want 0.625", mean.Shares[0], ok)
	}
	if _, ok := meanGrant(now, []guardGrant{{weight: 1}}); ok {
		t.Error("a guard that said nothing counts")
	}
}
