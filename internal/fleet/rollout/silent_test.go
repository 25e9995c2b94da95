package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"camphortrail/schema"
)

// TestSilentPeersDelayConfiguration lets some peers that have reported a new revision go silent, as
// machines do that are suspended or cut off. Control replicas and other peers answer. The node must
// have the revision in force within the time in which changes have to apply.
func TestSilentPeersDelayConfiguration(t *testing.T) {
	const limit, peerCount, seeds = 2 * time.Second, 19, 100
	for _, silent := range []int{0, 3, 6} {
		longest, late := time.Duration(0), 0
		for seed := range uint64(seeds) {
			took := timeOfChange(rand.New(rand.NewPCG(seed, 0)), peerCount, silent)
			longest = max(longest, took)
			if took > limit {
				late++
			}
		}
		t.Logf("%d of %d peers silent: in force after %v at most", silent, peerCount, longest)
		if late > 0 {
			t.Errorf("%d of %d peers silent: in force after more than %v with %d of %d seeds", silent, peerCount, limit, late, seeds)
		}
	}
}

// timeOfChange returns the time from the first hint of revision 2 until a node has it in force. Hints
// come from all peers and four control replicas, in random order, within 100 ms. The first peers are
// silent from then on: fetches from them fail after fetchTimeout.
func timeOfChange(rng *rand.Rand, peerCount, silent int) time.Duration {
	var peers []string
	controls := []string{"control-0", "control-1", "control-2", "control-3"}
	var hints []Source
	for i := range peerCount {
		peers = append(peers, fmt.Sprintf("peer-%d", i))
		hints = append(hints, Source{PeerSource, peers[i]})
	}
	for _, address := range controls {
		hints = append(hints, Source{ControlSource, address})
	}
	rng.Shuffle(len(hints), func(i, j int) { hints[i], hints[j] = hints[j], hints[i] })
	fo := NewFollower(controls, DefaultCheckInterval, rng)
	begin := time.Unix(1000, 0)
	fails := make(map[Source]time.Time)
	var step func(now time.Time, ev Event)
	step = func(now time.Time, ev Event) {
		for _, ac := range append([]Action(nil), fo.Step(now, ev)...) {
			switch ac := ac.(type) {
			case Fetch:
				isSilent := false
				for _, address := range peers[:silent] {
					isSilent = isSilent || ac.Source.Address == address
				}
				switch {
				case isSilent:
					fails[ac.Source] = now.Add(fetchTimeout)
				case ac.Source.Kind == ControlSource && ac.Source.Address != controls[0]:
					step(now, FetchFailed{ac.Source}) // it does not lead
				default:
					step(now, Fetched{Source: ac.Source, Revision: 2, Configuration: &schema.Configuration{}})
				}
			case Adopt:
				step(now, Adopted{ac.Revision})
			}
		}
	}
	step(begin, Fetched{Source{ControlSource, controls[0]}, 1, &schema.Configuration{}})
	for now := begin; ; now = now.Add(tickInterval) {
		if fo.InForce() == 2 || now.Sub(begin) > DefaultCheckInterval {
			return now.Sub(begin)
		}
		for source, at := range fails {
			if !now.Before(at) {
				delete(fails, source)
				step(now, FetchFailed{source})
			}
		}
		if elapsed := now.Sub(begin); elapsed <= 100*time.Millisecond {
			for i, source := range hints {
				if time.Duration(i)*100*time.Millisecond/time.Duration(len(hints)) <= elapsed {
					step(now, Hinted{2, source})
				}
			}
		}
		step(now, Tick{Peers: peers, Controls: controls})
	}
}
