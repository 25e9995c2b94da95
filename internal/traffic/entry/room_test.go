package entry

import (
	"fmt"
	"testing"
	"time"

	"camphortrail/call"
	"camphortrail/internal/traffic/room"
	"camphortrail/route"
)

// A demand is spread over the VMs that can be reached, by their slots.
func TestDemandGoesToReachableVMs(t *testing.T) {
	en, now := New(Options{VM: "a"}), time.Now()
	for n, slots := range []int{10, 30, 60, 100} {
		vm := call.VM(fmt.Sprint("cassa-", n))
		en.Route(route.Upsert{VM: vm, Service: "cassa", Slots: slots, Draining: n == 2})
		en.SetAddress(vm, "address")
	}
	en.Route(route.Suspect{VM: "cassa-3"})
	en.mu.Lock()
	defer en.mu.Unlock()
	got := make(map[call.VM]float64)
	for _, qu := range en.questionsTo(now, "cassa", []room.Want{{Rank: 1, Slots: 8}}) {
		got[qu.vm] = qu.demand.Wants[0].Slots
	}
	if len(got) != 2 || got["cassa-0"] != 2 || got["cassa-1"] != 6 {
		t.Errorf("slots wanted by VM: %v, want 2 of cassa-0 and 6 of cassa-1", got)
	}
}

// Of many VMs a bounded number is asked, and not the same by all entries.
func TestManyVMsAreNotAllAsked(t *testing.T) {
	asked := make(map[call.VM]int)
	for _, vm := range []call.VM{"a", "b", "c", "d", "e", "f", "g", "h"} {
		en := New(Options{VM: vm})
		for n := range 4 * maxAsked {
			en.Route(route.Upsert{VM: call.VM(fmt.Sprint(n)), Service: "cassa", Slots: 10})
		}
		vms := en.askable(time.Now(), "cassa")
		if len(vms) != maxAsked {
			t.Fatalf("%d VMs are asked, want %d", len(vms), maxAsked)
		}
		for _, up := range vms {
			asked[up.VM]++
		}
	}
	if len(asked) <= 2*maxAsked {
		t.Errorf("8 entries ask %d VMs of %d, want more", len(asked), 4*maxAsked)
	}
}

// What a guard said long ago does not count, as where it is cut off.
func TestOldAnswersOfGuardsDoNotCount(t *testing.T) {
	now := time.Now()
	half := room.All()
	for rk := range half {
		half[rk] = 0.5
	}
	mean, ok := meanRoom(now, []told{
		{shares: half, slots: 30, at: now}, {shares: room.All(), slots: 10, at: now}, {slots: 1000, at: now.Add(-toldLife)},
	})
	if !ok || mean[0] != 0.625 {
		t.Errorf("mean share %v, %t, want 0.625", mean[0], ok)
	}
	if _, ok := meanRoom(now, []told{{slots: 10}}); ok {
		t.Error("a guard that said nothing counts")
	}
}
