package quorum_test

import (
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
			nw.step(id, quorum.LiveReplicas{Replicas: alive})
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
