package throttle

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"camphortrail/call"
	"camphortrail/internal/traffic/allocation"
)

// TestDecisionsWithoutCustomersAreUnchanged guards against changes for deployments without
// customers: the digests are those of all decisions in the same replays at eed752f, the last
// revision before fair shares. There are two classes, as sums over more
// depend on the order of a map. Other processors round sums of products differently.
func TestDecisionsWithoutCustomersAreUnchanged(t *testing.T) {
	for seed, want := range []uint64{0xf1af2f99fae96a27, 0x48e90eb7fbfa6ede, 0xb874e0d6700ddc95} {
		if got := decisionDigest(uint64(seed)); got != want {
			t.Errorf("seed %d: digest %#x, want %#x", seed, got, want)
		}
	}
}

// decisionDigest returns a digest of the decisions on 20,000 requests, with results, grants and
// departures of callers at random.
func decisionDigest(seed uint64) uint64 {
	rng := rand.New(rand.NewPCG(seed, 1))
	digest := fnv.New64a()
	ctl := New()
	if seed == 1 {
		ctl.SlowStart()
	}
	type admitted struct {
		rq Request
		de Decision
	}
	var running []admitted
	now := time.Unix(0, 0)
	for n := range 20000 {
		now = now.Add(time.Duration(rng.ExpFloat64() * float64(2*time.Millisecond)))
		rq := Request{Class: lookUp, Importance: 5, Target: 500 * time.Millisecond}
		if rng.Float64() < 0.4 {
			rq.Class, rq.Importance = release, 7
		}
		if rng.Float64() < 0.2 {
			rq.Waited = time.Duration(rng.Int64N(int64(600 * time.Millisecond)))
		}
		if rng.Float64() < 0.1 {
			rq.Blocks = time.Duration(rng.Int64N(int64(300 * time.Millisecond)))
		}
		de := ctl.Admit(now, rq, rng.Float64())
		if de.Settle > 0 {
			de = ctl.Confirm(now.Add(de.Settle), rq, de)
		}
		fmt.Fprintln(digest, de.Admitted, uint8(de.By), de.Share, de.Settle, de.RetryAfter)
		if de.Admitted {
			running = append(running, admitted{rq, de})
		}
		for len(running) > 40 {
			at := running[0]
			running = running[1:]
			finishAtRandom(ctl, now, at.rq, at.de, rng)
		}
		if n%300 == 0 && n/3000%2 == 1 {
			gr := allocation.Grant{SlotTimes: []allocation.SlotTime{{Class: lookUp, Time: 15 * time.Millisecond}}}
			for rank := range gr.Shares {
				gr.Shares[rank] = rng.Float64()
			}
			ctl.SetGrant(now, service0, gr)
		}
	}
	return digest.Sum64()
}

// finishAtRandom ends an admitted request by chance with a success, a failure, or as its caller
// has left.
func finishAtRandom(ctl *Controller, now time.Time, rq Request, de Decision, rng *rand.Rand) {
	oc := call.Occupancy(60 + rng.IntN(140))
	switch draw := rng.Float64(); {
	case draw < 0.05:
		ctl.CallerLeft(now, rq.Class, Result{Share: de.Share}, draw < 0.02)
	default:
		rs := Result{Succeeded: draw < 0.7, Unreachable: draw > 0.98, Occupancy: oc, Took: 80 * time.Millisecond, Share: de.Share}
		ctl.Finish(now, rq.Class, rs)
		ctl.LearnCalls(now, rq.Class, []call.FanOut{{Service: service0, Class: lookUp, Calls: 4, Occupancy: oc}})
	}
}
