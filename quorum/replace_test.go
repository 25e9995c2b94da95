package quorum_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"camphortrail/quorum"
)

// newReplacementNetwork returns a network of four replicas. The first three bootstrap the
// log, and the leader maintains three voters.
func newReplacementNetwork(t failer, seed uint64) *network {
	nw := newNetwork(t, 4, seed)
	for _, id := range nw.ids {
		ho := nw.hosts[id]
		ho.up = false
		ho.set.Replicas, ho.set.VoterCount = nw.ids[:3], 3
		nw.start(id)
	}
	return nw
}

// announceLive passes the list of running replicas to each of them.
func (nw *network) announceLive() {
	var alive []quorum.Replica
	for _, id := range nw.ids {
		if nw.hosts[id].up {
			alive = append(alive, id)
		}
	}
	for _, id := range nw.ids {
		if ho := nw.hosts[id]; ho.up && !ho.paused {
			nw.step(id, quorum.LiveReplicas{Replicas: alive, Domains: nw.domains})
		}
	}
}

// TestLiveReplicaReplacesSilentVoter stops a voter and checks that the fourth replica
// replaces it, so that the log then survives the loss of another voter.
func TestLiveReplicaReplacesSilentVoter(t *testing.T) {
	nw := newReplacementNetwork(t, 1)
	nw.announceLive()
	nw.run(3 * time.Second)
	if !nw.isLearner("d") || nw.learnerCount() != 1 {
		t.Fatalf("%d learners, want d only", nw.learnerCount())
	}
	for _, lost := range []quorum.Replica{"a", "b"} {
		leader, ok := nw.leader()
		if !ok {
			t.Fatalf("no leader before %s is lost", lost)
		}
		nw.propose(leader)
		nw.stop(lost)
		nw.announceLive()
		nw.run(5 * time.Second)
		if lost == "a" && nw.isLearner("d") {
			t.Fatal("d has not taken the place of a")
		}
		nw.start("a")
		nw.announceLive()
		nw.run(5 * time.Second)
	}
	if _, ok := nw.leader(); !ok {
		t.Error("no leader after the second loss")
	}
}

// TestVoterReplacementLosesNoEntries runs the random faults while live replicas replace
// voters, and checks that accepted entries are never lost.
func TestVoterReplacementLosesNoEntries(t *testing.T) {
	replaced := 0
	rapid.Check(t, func(t *rapid.T) {
		nw := newReplacementNetwork(t, rapid.Uint64().Draw(t, "seed"))
		nw.announceLive()
		nw.run(3 * time.Second)
		actions := faults(nw)
		delete(actions, "lose disk")
		actions["known"] = func(*rapid.T) { nw.announceLive() }
		actions["lose for long"] = func(t *rapid.T) {
			id := rapid.SampledFrom(nw.ids).Draw(t, "replica")
			nw.stop(id)
			nw.announceLive()
			nw.run(4 * time.Second)
			if !nw.isLearner("d") {
				replaced++
			}
			nw.start(id)
			nw.announceLive()
		}
		t.Repeat(actions)
		nw.heal()
		nw.announceLive()
		nw.run(10 * time.Second)
		nw.checkAccepts(t)
	})
	if replaced == 0 {
		t.Error("no voter was replaced")
	}
}

// voters returns the replicas that are no learners.
func (nw *network) voters() []quorum.Replica {
	return slices.DeleteFunc(slices.Clone(nw.ids), nw.isLearner)
}

// TestReplacedVoterSharesNoFailureDomain replaces a voter by a replica of the failure domain of
// another voter, as there is no other. Once the first is back, the loss of all disks of that
// failure domain, while the others restart, must not end the log.
func TestReplacedVoterSharesNoFailureDomain(t *testing.T) {
	nw := newReplacementNetwork(t, 1)
	nw.domains = map[quorum.Replica]quorum.FailureDomain{"a": "1", "b": "2", "c": "3", "d": "1"}
	nw.announceLive()
	nw.run(3 * time.Second)
	nw.stop("c")
	nw.announceLive()
	nw.run(5 * time.Second)
	if nw.isLearner("d") {
		t.Fatal("d has not taken the place of c")
	}
	nw.start("c")
	nw.announceLive()
	nw.run(5 * time.Second)
	leader, ok := nw.leader()
	if !ok {
		t.Fatal("no leader once c is back")
	}
	nw.propose(leader)
	nw.run(time.Second)
	before := nw.voters()
	for _, id := range nw.ids {
		nw.stop(id)
	}
	nw.loseDisk("a")
	nw.loseDisk("d")
	for _, id := range nw.ids {
		nw.start(id)
	}
	nw.announceLive()
	nw.run(10 * time.Second)
	if _, ok := nw.leader(); !ok {
		t.Fatalf("voters were %v, and no leader after the loss of the disks of a and d", before)
	}
	nw.checkAccepts(t)
}

// TestVotersSpreadOverFailureDomains begins with voters of one failure domain. The leader must
// spread them, and keep those that are spread.
func TestVotersSpreadOverFailureDomains(t *testing.T) {
	nw := newNetwork(t, 6, 1)
	nw.domains = map[quorum.Replica]quorum.FailureDomain{"a": "1", "b": "1", "c": "1", "d": "2", "e": "2", "f": "3"}
	for _, id := range nw.ids {
		ho := nw.hosts[id]
		ho.up = false
		ho.set.Replicas, ho.set.VoterCount = nw.ids[:3], 3
		nw.start(id)
	}
	nw.announceLive()
	nw.run(5 * time.Second)
	spread := nw.voters()
	domains := map[quorum.FailureDomain]bool{}
	for _, id := range spread {
		domains[nw.domains[id]] = true
	}
	if len(spread) != 3 || len(domains) != 3 {
		t.Fatalf("voters are %v", spread)
	}
	nw.run(5 * time.Second)
	if after := nw.voters(); !slices.Equal(after, spread) {
		t.Errorf("voters were %v and are %v", spread, after)
	}
}

// TestFiveVotersOutlastTwoDisks loses the disks of each pair of replicas right after an entry was
// accepted, while all others restart.
func TestFiveVotersOutlastTwoDisks(t *testing.T) {
	for first := range 6 {
		for second := range first {
			nw := newNetwork(t, 6, uint64(6*first+second))
			for _, id := range nw.ids {
				ho := nw.hosts[id]
				ho.up = false
				ho.set.Replicas, ho.set.VoterCount = nw.ids[:3], 5
				nw.start(id)
			}
			nw.announceLive()
			nw.run(5 * time.Second)
			leader, ok := nw.leader()
			if !ok || nw.learnerCount() != 1 {
				t.Fatalf("leader %q, voters %v", leader, nw.voters())
			}
			nw.propose(leader)
			for nw.answered == 0 {
				nw.run(tick)
			}
			for _, id := range nw.ids {
				nw.stop(id)
			}
			lost := []quorum.Replica{nw.ids[second], nw.ids[first]}
			for _, id := range lost {
				nw.loseDisk(id)
			}
			for _, id := range nw.ids {
				nw.start(id)
			}
			nw.announceLive()
			nw.run(5 * time.Second)
			if leader, ok := nw.leader(); !ok {
				t.Errorf("no leader after the loss of the disks of %v", lost)
			} else if nw.hosts[leader].ma.Status().Commit < nw.answered {
				t.Errorf("what was accepted is gone after the loss of the disks of %v", lost)
			}
		}
	}
}
