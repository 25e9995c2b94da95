package route_test

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"camphortrail/call"
	"camphortrail/route"
)

// Without placement by cost, each choice must be the one of the rule before it (commit d53504a,
// whose choices have these digests), also when answers report loads and requests state costs.
func TestDefaultPlacementIsUnchanged(t *testing.T) {
	for seed, want := range []uint64{0xfa4be66fadf2825b, 0x4ff80bd4a83c543a, 0x3e46646d0fc40c08} {
		if got := choicesDigest(uint64(seed)); got != want {
			t.Errorf("seed %d: digest %#x of the choices, want %#x", seed, got, want)
		}
	}
}

// choicesDigest returns a digest of the choices of a table that gets random events.
func choicesDigest(seed uint64) uint64 {
	rng := rand.New(rand.NewPCG(seed, 7))
	tb := route.New(route.Settings{Domain: "d0"}, rand.New(rand.NewPCG(seed, 8)))
	now := time.Unix(1000, 0)
	vmOf := func() call.VM { return call.VM(fmt.Sprint("vm", rng.IntN(24))) }
	importanceOf := func() call.Importance { return call.Importance(1 + rng.IntN(int(call.MaxImportance))) }
	tb.Step(now, route.SameRegion{Domains: []call.FailureDomain{"d1", "d2"}})
	type sent struct {
		vm  call.VM
		imp call.Importance
		at  time.Time
	}
	var open []sent
	digest := fnv.New64a()
	for range 60_000 {
		now = now.Add(time.Duration(rng.IntN(2_000_000)))
		switch draw := rng.IntN(1000); {
		case draw < 15:
			vm := vmOf()
			tb.Step(now, route.Upsert{
				VM: vm, Service: "s", Domain: call.FailureDomain("d" + string(vm[len(vm)-1]%4+'0')), Slots: 1 + rng.IntN(60),
				WarmUp: time.Duration(rng.IntN(2)) * time.Second, Draining: rng.IntN(8) == 0, Incarnation: uint64(rng.IntN(3)),
			})
		case draw < 17:
			tb.Step(now, route.Remove{VM: vmOf(), Service: "s"})
		case draw < 20:
			tb.Step(now, route.Suspect{VM: vmOf()})
		case draw < 30:
			tb.Step(now, route.Alive{VM: vmOf()})
		case draw < 500 && len(open) > 0:
			at := rng.IntN(len(open))
			sn := open[at]
			open[at], open = open[len(open)-1], open[:len(open)-1]
			if rng.IntN(40) == 0 {
				tb.Step(now, route.Failed{Service: "s", VM: sn.vm, Importance: sn.imp, Latency: now.Sub(sn.at), Cancelled: rng.IntN(2) == 0})
				continue
			}
			ev := route.Answered{
				Service: "s", VM: sn.vm, Importance: sn.imp, Latency: now.Sub(sn.at), Outcome: call.Done,
				Occupancy: call.Occupancy(rng.IntN(120)),
			}
			if rng.IntN(4) == 0 {
				ev.Level = call.LevelOf(importanceOf(), call.Cohort(rng.IntN(256)))
			}
			if rng.IntN(3) == 0 {
				ev.DelayedLevel = call.LevelOf(importanceOf(), call.Cohort(rng.IntN(256)))
			}
			if rng.IntN(20) == 0 {
				ev.Outcome, ev.Overload, ev.Leaving = call.NotRun, rng.IntN(2) == 0, rng.IntN(10) == 0
			}
			ev.Load = route.Load{
				Reported: true, Own: time.Duration(1 + rng.IntN(50_000_000)), Cost: 20 * time.Millisecond,
				Ahead: time.Duration(rng.IntN(50_000_000)), Slowness: 1.5,
			}
			tb.Step(now, ev)
		default:
			rq := route.Request{Service: "s", Importance: importanceOf(), Cohort: call.Cohort(rng.IntN(256))}
			rq.Cost = time.Duration(rng.IntN(50_000_000))
			if rng.IntN(5) == 0 {
				rq.Exclude = []call.VM{vmOf()}
			}
			vm, err := tb.Choose(now, rq)
			fmt.Fprint(digest, vm, err)
			if err == nil {
				tb.Step(now, route.Sent{Service: "s", VM: vm, Importance: rq.Importance})
				open = append(open, sent{vm, rq.Importance, now})
			}
		}
	}
	return digest.Sum64()
}
