package quorum_test

import (
	"testing"
	"time"
)

// TestElectionWithSlowSyncs stops the leader of three replicas whose writes take a time each. The
// two others must elect a leader within the time in which changes have to be acknowledged.
func TestElectionWithSlowSyncs(t *testing.T) {
	const seeds, limit = 20, 4 * time.Second
	for _, syncTime := range []time.Duration{0, 25 * time.Millisecond, 75 * time.Millisecond, 125 * time.Millisecond, 200 * time.Millisecond} {
		longest, late := time.Duration(0), 0
		for seed := range uint64(seeds) {
			nw := newNetwork(t, 3, seed)
			nw.run(5 * time.Second)
			nw.syncTime = syncTime
			nw.run(time.Second)
			id, ok := nw.leader()
			if !ok {
				t.Fatalf("seed %d: no leader before the stop", seed)
			}
			nw.stop(id)
			stopped := nw.now
			for ok = false; !ok && nw.now.Sub(stopped) < 2*limit; _, ok = nw.leader() {
				nw.run(tick)
			}
			longest = max(longest, nw.now.Sub(stopped))
			if nw.now.Sub(stopped) > limit {
				late++
			}
		}
		t.Logf("writes of %v: longest time without a leader %v", syncTime, longest)
		if late > 0 {
			t.Errorf("writes of %v: no leader within %v of a stop with %d of %d seeds", syncTime, limit, late, seeds)
		}
	}
}
