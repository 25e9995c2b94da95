package quorum_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"camphortrail/quorum"
)

const (
	// catchUpTime is the time in which every replica holds the log of the leader once messages
	// flow. It covers elections, repairs of voters one after the other, and repeated parts of
	// snapshots, of which each has hundreds here.
	catchUpTime = 60 * time.Second
	// maxQuietMessages bounds the messages of one replica to another, and the answers to them, in
	// a second in which all are up to date: twice the heartbeats.
	maxQuietMessages = 2 * 2 * 14
)

// newWalk returns a network whose replicas retain few entries behind a snapshot, so that those that
// are away for a while need one.
func newWalk(t failer, size int, seed uint64) *network {
	nw := newNetwork(t, size, seed)
	for _, id := range nw.ids {
		ho := nw.hosts[id]
		ho.up = false
		ho.set.RetainedEntries = 4
		nw.start(id)
	}
	return nw
}

// checkCatchUp ends all faults, but restarts no replica that runs, and checks that all hold the log
// of the leader after catchUpTime and then send few messages.
func (nw *network) checkCatchUp(t failer) {
	t.Helper()
	nw.heal()
	nw.announceLive()
	nw.run(catchUpTime)
	id, ok := nw.leader()
	if !ok {
		t.Fatalf("no leader after the faults ended")
	}
	want := nw.hosts[id].ma.Status()
	for _, id := range nw.ids {
		if st := nw.hosts[id].ma.Status(); st.Commit != want.Commit {
			t.Fatalf("%s has committed up to %d, the leader up to %d", id, st.Commit, want.Commit)
		}
	}
	before := nw.sent
	nw.run(time.Second)
	if sent, most := nw.sent-before, maxQuietMessages*len(nw.ids); sent > most {
		t.Fatalf("%d messages in a quiet second, want at most %d", sent, most)
	}
}

// catchUpFaults returns the random actions: those of faults, and long absences with compactions.
func catchUpFaults(nw *network) map[string]func(*rapid.T) {
	actions := faults(nw)
	fill := func(t *rapid.T) {
		for range rapid.IntRange(1, 3).Draw(t, "compactions") {
			for range rapid.IntRange(1, 12).Draw(t, "rounds") {
				for _, id := range nw.ids {
					nw.propose(id)
				}
				nw.run(2 * tick)
			}
			for _, id := range nw.ids {
				nw.compact(id)
			}
			nw.run(time.Duration(rapid.IntRange(0, 60).Draw(t, "ticks")) * tick)
		}
	}
	// A replica that handed its leadership over stops next.
	actions["transfer"] = func(t *rapid.T) {
		id := rapid.SampledFrom(nw.ids).Draw(t, "replica")
		if ho := nw.hosts[id]; ho.up && !ho.paused {
			nw.step(id, quorum.Transfer{})
			nw.run(time.Duration(rapid.IntRange(0, 60).Draw(t, "ticks")) * tick)
			nw.stop(id)
			nw.start(id)
		}
	}
	actions["fill"], actions["fill again"] = fill, fill
	actions["absence"] = func(t *rapid.T) {
		id := rapid.SampledFrom(nw.ids).Draw(t, "replica")
		nw.stop(id)
		nw.run(time.Duration(rapid.IntRange(0, 120).Draw(t, "ticks")) * tick)
		fill(t)
		nw.start(id)
		nw.run(time.Duration(rapid.IntRange(0, 30).Draw(t, "ticks before")) * tick)
		fill(t)
	}
	return actions
}

// TestEveryReplicaCatchesUp guards against a replica that is never brought up to date, though it
// answers: random absences, compactions, snapshots under way, lost disks and changes of leader end
// with all replicas at the index of the leader.
func TestEveryReplicaCatchesUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nw := newWalk(t, rapid.SampledFrom([]int{2, 3, 3, 4, 5}).Draw(t, "size"), rapid.Uint64().Draw(t, "seed"))
		nw.run(3 * time.Second)
		t.Repeat(catchUpFaults(nw))
		nw.checkCatchUp(t)
	})
}

// TestReplacedReplicaCatchesUp is TestEveryReplicaCatchesUp where live replicas replace voters.
func TestReplacedReplicaCatchesUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nw := newReplacementNetwork(t, rapid.Uint64().Draw(t, "seed"))
		for _, id := range nw.ids {
			nw.hosts[id].up = false
			nw.hosts[id].set.RetainedEntries = 4
			nw.start(id)
		}
		nw.announceLive()
		nw.run(3 * time.Second)
		actions := catchUpFaults(nw)
		delete(actions, "lose disk")
		actions["known"] = func(*rapid.T) { nw.announceLive() }
		t.Repeat(actions)
		nw.checkCatchUp(t)
	})
}

// TestReplicaWithOldSnapshotCatchesUp is the case of review/6: a snapshot is under way to a replica
// that is away, and the leader compacts its log twice meanwhile.
func TestReplicaWithOldSnapshotCatchesUp(t *testing.T) {
	nw := newWalk(t, 3, 1)
	id := nw.settle(t)
	away := nw.otherReplica(id, "")
	nw.stop(away)
	for range 3 {
		for range 20 {
			nw.propose(id)
			nw.run(2 * tick)
		}
		nw.compact(id)
		nw.run(time.Second)
	}
	nw.start(away)
	nw.checkCatchUp(t)
	if len(nw.applied) != 60 {
		t.Errorf("%d entries accepted, want 60", len(nw.applied))
	}
}
