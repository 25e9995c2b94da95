package quorum_test

import (
	"testing"
	"time"

	"camphortrail/quorum"
)

// TestFourthVoterKeepsFailureDomainReplaceable has four replicas in three failure domains where five
// voters are wanted. Three voters in different ones outlast the loss of any of them. A fourth voter
// must not end that: two of four are lost with failure domain 1 then.
func TestFourthVoterKeepsFailureDomainReplaceable(t *testing.T) {
	nw := newReplacementNetwork(t, 1)
	for _, id := range nw.ids {
		nw.stop(id)
		nw.hosts[id].set.VoterCount = 5
		nw.start(id)
	}
	nw.domains = map[quorum.Replica]quorum.FailureDomain{"a": "1", "b": "2", "c": "3", "d": "1"}
	nw.announceLive()
	nw.run(5 * time.Second)
	before := nw.voters()
	nw.stop("a")
	nw.stop("d")
	nw.announceLive()
	nw.run(10 * time.Second)
	if _, ok := nw.leader(); !ok {
		t.Fatalf("voters were %v, and no leader after the loss of failure domain 1", before)
	}
}

// TestFiveVotersInThreeFailureDomains adds voters where only both together leave a majority after the
// loss of a failure domain.
func TestFiveVotersInThreeFailureDomains(t *testing.T) {
	nw := newNetwork(t, 6, 1)
	nw.domains = map[quorum.Replica]quorum.FailureDomain{"a": "1", "b": "2", "c": "3", "d": "1", "e": "2", "f": "3"}
	for _, id := range nw.ids {
		ho := nw.hosts[id]
		ho.up = false
		ho.set.Replicas, ho.set.VoterCount = nw.ids[:3], 5
		nw.start(id)
	}
	nw.announceLive()
	nw.run(5 * time.Second)
	if before := nw.voters(); len(before) != 5 {
		t.Fatalf("voters are %v", before)
	}
	nw.stop("a")
	nw.stop("d")
	nw.announceLive()
	nw.run(5 * time.Second)
	if _, ok := nw.leader(); !ok {
		t.Fatal("no leader after the loss of failure domain 1")
	}
}
