package quorum_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"camphortrail/quorum"
)

// newElasticNetwork has four replicas, of which the first three found the log
// and three are to be voters.
func newElasticNetwork(t fataler, seed uint64) *network {
	nw := newNetwork(t, 4, seed)
	for _, id := range nw.ids {
		ho := nw.hosts[id]
		ho.up = false
		ho.set.Replicas, ho.set.VoterCount = nw.ids[:3], 3
		nw.start(id)
	}
	return nw
}

// tellKnown tells the replicas which are up.
func (nw *network) tellKnown() {
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

// A known replica takes the place of a voter that fell silent, and the log
// bears the loss of another one then.
func TestKnownReplicaTakesPlace(t *testing.T) {
	nw := newElasticNetwork(t, 1)
	nw.tellKnown()
	nw.run(3 * time.Second)
	if !nw.learner("d") || nw.learners() != 1 {
		t.Fatalf("%d learners, want d only", nw.learners())
	}
	for _, lost := range []quorum.Replica{"a", "b"} {
		leader, ok := nw.leader()
		if !ok {
			t.Fatalf("no leader before %s is lost", lost)
		}
		nw.propose(leader)
		nw.stop(lost)
		nw.tellKnown()
		nw.run(5 * time.Second)
		if lost == "a" && nw.learner("d") {
			t.Fatal("d has not taken the place of a")
		}
		nw.start("a")
		nw.tellKnown()
		nw.run(5 * time.Second)
	}
	if _, ok := nw.leader(); !ok {
		t.Error("no leader after the second loss")
	}
}

// TestElasticVotersKeepEntries runs replicas that replace each other under
// faults: accepted entries are never lost.
func TestElasticVotersKeepEntries(t *testing.T) {
	replaced := 0
	rapid.Check(t, func(t *rapid.T) {
		nw := newElasticNetwork(t, rapid.Uint64().Draw(t, "seed"))
		nw.tellKnown()
		nw.run(3 * time.Second)
		actions := faults(nw)
		delete(actions, "lose disk")
		actions["known"] = func(*rapid.T) { nw.tellKnown() }
		actions["lose for long"] = func(t *rapid.T) {
			id := rapid.SampledFrom(nw.ids).Draw(t, "replica")
			nw.stop(id)
			nw.tellKnown()
			nw.run(4 * time.Second)
			if !nw.learner("d") {
				replaced++
			}
			nw.start(id)
			nw.tellKnown()
		}
		t.Repeat(actions)
		nw.heal()
		nw.tellKnown()
		nw.run(10 * time.Second)
		nw.acceptOne(t)
	})
	if replaced == 0 {
		t.Error("no voter was replaced")
	}
}
