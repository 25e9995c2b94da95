package quorum_test

import (
	"testing"
	"time"

	"camphortrail/quorum"
)

// TestVoteRequestLostAfterLongSync has one replica with the newest log, whose own vote takes long to
// save as its disk hangs, and whose requests for the other vote are then lost. It must ask again
// within the time in which changes have to be acknowledged, not only after twice as long as
// its disk hung.
func TestVoteRequestLostAfterLongSync(t *testing.T) {
	const hang, limit = 8 * time.Second, 4 * time.Second
	for seed := range uint64(10) {
		nw := newNetwork(t, 3, seed)
		nw.run(5 * time.Second)
		leader, ok := nw.leader()
		if !ok {
			t.Fatalf("seed %d: no leader", seed)
		}
		var others []quorum.Replica
		for _, id := range nw.ids {
			if id != leader {
				others = append(others, id)
			}
		}
		newest, behind := others[0], others[1]
		nw.cut[behind] = true
		nw.propose(leader)
		nw.run(200 * time.Millisecond)
		nw.stop(leader)
		nw.cut[behind] = false
		nw.syncTime = hang
		for ho := nw.hosts[newest]; ho.ma.Status().Role != quorum.Candidate || ho.write == nil; {
			nw.run(tick)
		}
		nw.run(hang - 100*time.Millisecond)
		li := link{newest, behind}
		nw.brokenLinks[li] = true
		nw.syncTime = 0
		nw.run(200 * time.Millisecond)
		delete(nw.brokenLinks, li)
		begun := nw.now
		for ok = false; !ok && nw.now.Sub(begun) < 4*hang; _, ok = nw.leader() {
			nw.run(tick)
		}
		if took := nw.now.Sub(begun); took > limit {
			t.Errorf("seed %d: no leader within %v, but after %v (%v)", seed, limit, took, ok)
		}
	}
}
