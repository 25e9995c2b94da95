package quorum_test

import (
	"fmt"
	"testing"
	"time"

	"camphortrail/quorum"
)

// settle runs until there is a leader and no learner, and returns the leader.
func (nw *network) settle(t *testing.T) quorum.Replica {
	t.Helper()
	for range 100 {
		nw.run(100 * time.Millisecond)
		if id, ok := nw.leader(); ok && nw.learnerCount() == 0 {
			return id
		}
	}
	t.Fatal("no leader")
	return ""
}

// TestRepairNeedsOtherVoters checks that an old leader and a replica that lost its disk
// cannot commit a change that makes that replica a voter. Another leader committed an
// entry with this replica before, which the two would lose.
func TestRepairNeedsOtherVoters(t *testing.T) {
	nw := newNetwork(t, 3, 1)
	old := nw.settle(t)
	nw.hosts[old].paused = true
	next := nw.settle(t)
	nw.propose(next)
	nw.run(time.Second)
	before := len(nw.applied)
	if before == 0 {
		t.Fatal("nothing accepted")
	}
	lost := nw.otherReplica(old, next)
	nw.stop(lost)
	nw.loseDisk(lost)
	nw.start(lost)
	nw.hosts[next].paused = true
	nw.hosts[old].paused = false
	nw.packets = nil
	for range 20 {
		nw.propose(old)
		nw.finishWrites(old)
		nw.now = nw.now.Add(5 * time.Millisecond)
		nw.deliver()
	}
	if len(nw.applied) != before {
		t.Fatalf("%d entries accepted, want %d", len(nw.applied), before)
	}
	if last := nw.hosts[lost].ma.Status().Last; last < 2 {
		t.Fatalf("replica without a disk holds %d entries, want those of the old leader", last)
	}
	nw.finish(t)
}

// otherReplica returns the replica of three that is neither a nor b.
func (nw *network) otherReplica(a, b quorum.Replica) quorum.Replica {
	for _, id := range nw.ids {
		if id != a && id != b {
			return id
		}
	}
	return ""
}

// TestSecondDiskLossAfterRepair wipes the disk of a random replica as soon as the one
// wiped before votes again, six times in a row. No accepted entry may be lost.
func TestSecondDiskLossAfterRepair(t *testing.T) {
	for seed := range uint64(20) {
		nw := newNetwork(t, 3, seed)
		for range 6 {
			id := nw.settle(t)
			nw.propose(id)
			nw.run(20 * time.Millisecond)
			lost := nw.ids[nw.rng.IntN(3)]
			nw.stop(lost)
			nw.loseDisk(lost)
			nw.start(lost)
		}
		nw.finish(t)
		if len(nw.applied) < 6 {
			t.Fatalf("%d entries accepted, want 6 or more", len(nw.applied))
		}
	}
}

// TestOlderTermIsNotCommittedAlone checks that a leader commits entries of an earlier
// term only together with one of its own term.
func TestOlderTermIsNotCommittedAlone(t *testing.T) {
	ids := []quorum.Replica{"a", "b", "c"}
	voters := quorum.Voters{"a": 1, "b": 2, "c": 3}
	now := time.Unix(1000, 0)
	ma := quorum.New(quorum.DefaultSettings("a", ids), quorum.State{
		Incarnation: 1,
		HardState:   quorum.HardState{Term: 5},
		Entries: []quorum.Entry{
			{Index: 1, Term: 4, Kind: quorum.VotersEntry, Voters: voters},
			{Index: 2, Term: 5, Kind: quorum.DataEntry, Data: []byte("old")},
		},
	})
	header := func(term quorum.Term) quorum.Header {
		return quorum.Header{From: "b", To: "a", Term: term, Incarnation: 2, ToIncarnation: 1}
	}
	step := func(ev quorum.Event) {
		for _, ac := range ma.Step(now, ev) {
			if pe, ok := ac.(quorum.Persist); ok {
				defer ma.Step(now, quorum.Persisted{Number: pe.Number})
			}
		}
	}
	step(quorum.Tick{})
	now = now.Add(time.Second)
	step(quorum.Tick{})
	step(quorum.Receive{Message: &quorum.VoteAnswer{Header: header(6), Pre: true}})
	step(quorum.Receive{Message: &quorum.VoteAnswer{Header: header(6)}})
	for _, tc := range []struct{ match, commit quorum.Index }{{2, 0}, {3, 3}} {
		step(quorum.Receive{Message: &quorum.AppendAnswer{Header: header(6), Match: tc.match, Sequence: 1}})
		if st := ma.Status(); st.Role != quorum.Leader || st.Commit != tc.commit {
			t.Fatalf("%v with commit index %d after match %d, want %d", st.Role, st.Commit, tc.match, tc.commit)
		}
	}
}

// TestElectionTimeAfterLeaderLoss checks, in virtual time, the bound on the time without
// a leader after the leader is lost.
func TestElectionTimeAfterLeaderLoss(t *testing.T) {
	const limit = 1500 * time.Millisecond
	var worst time.Duration
	for seed := range uint64(50) {
		nw := newNetwork(t, 3, seed)
		nw.stop(nw.settle(t))
		lost := nw.now
		for {
			nw.run(tick)
			if _, ok := nw.leader(); ok {
				break
			}
			if nw.now.Sub(lost) > limit {
				t.Fatalf("seed %d: no leader after %v", seed, limit)
			}
		}
		worst = max(worst, nw.now.Sub(lost))
	}
	t.Logf("longest of 50: %v", worst)
}

// TestLeadershipTransfer checks that a planned stop of the leader takes less time than an
// election timeout, and that no proposal is rejected or lost.
func TestLeadershipTransfer(t *testing.T) {
	for seed := range uint64(20) {
		nw := newNetwork(t, 3, seed)
		id := nw.settle(t)
		nw.propose(id)
		begin := nw.now
		nw.step(id, quorum.Transfer{})
		for next := id; next == id || next == ""; next, _ = nw.leader() {
			nw.run(tick)
			if nw.now.Sub(begin) > 200*time.Millisecond {
				t.Fatalf("seed %d: no other leader after %v", seed, nw.now.Sub(begin))
			}
		}
		if nw.rejected != 0 || len(nw.applied) != 1 {
			t.Fatalf("%d rejected and %d accepted, want 0 and 1", nw.rejected, len(nw.applied))
		}
	}
}

func ExampleMachine() {
	ma := quorum.New(quorum.DefaultSettings("a", []quorum.Replica{"a"}), quorum.State{Incarnation: 1})
	now := time.Unix(0, 0)
	handle := func(ev quorum.Event) {
		events := []quorum.Event{ev}
		for len(events) > 0 {
			actions := ma.Step(now, events[0])
			events = events[1:]
			for _, ac := range actions {
				switch ac := ac.(type) {
				case quorum.Persist:
					// A daemon writes to its disk here.
					events = append(events, quorum.Persisted{Number: ac.Number})
				case quorum.Apply:
					fmt.Printf("entry %d: %s\n", ac.Entry.Index, ac.Entry.Data)
				case quorum.RoleChanged:
					fmt.Println(ac.Role)
				}
			}
		}
	}
	handle(quorum.Tick{})
	handle(quorum.Propose{Proposal: 1, Data: []byte("hello")})
	// Output:
	// leader
	// entry 3: hello
}

// cutFromLeader breaks the links between the leader and one follower, in both directions.
func (nw *network) cutFromLeader(t *testing.T) (leader, cut, other quorum.Replica) {
	t.Helper()
	leader = nw.settle(t)
	cut = nw.ids[0]
	if cut == leader {
		cut = nw.ids[1]
	}
	nw.brokenLinks[link{leader, cut}], nw.brokenLinks[link{cut, leader}] = true, true
	return leader, cut, nw.otherReplica(leader, cut)
}

// TestNoElectionDuringLease cuts one follower off from the leader only. The other
// follower, whose acknowledgements support the lease, must not elect the one that was cut
// off.
func TestNoElectionDuringLease(t *testing.T) {
	for seed := range uint64(20) {
		nw := newNetwork(t, 3, seed)
		id, _, _ := nw.cutFromLeader(t)
		nw.run(3 * time.Second)
		if now, _ := nw.leader(); now != id {
			t.Fatalf("seed %d: leader %s, want %s", seed, now, id)
		}
		nw.finish(t)
	}
}

// TestLeaseHoldsAcrossFollowerRestart restarts the follower whose acknowledgements
// support the lease. It must not elect another leader before the lease ends: checkLeases
// fails if two replicas hold a lease.
func TestLeaseHoldsAcrossFollowerRestart(t *testing.T) {
	for seed := range uint64(40) {
		nw := newNetwork(t, 3, seed)
		id, _, other := nw.cutFromLeader(t)
		nw.run(time.Second + time.Duration(seed)*tick)
		nw.stop(other)
		nw.brokenLinks[link{id, other}] = true
		nw.start(other)
		nw.run(2 * time.Second)
		if now, _ := nw.leader(); now == id {
			t.Fatalf("seed %d: %s still leads without acknowledgements", seed, id)
		}
		nw.finish(t)
	}
}

// TestReturningFollowerForcesNoElection reconnects a follower that was cut off for a long
// time. The leader must stay leader in the same term.
func TestReturningFollowerForcesNoElection(t *testing.T) {
	for seed := range uint64(20) {
		nw := newNetwork(t, 3, seed)
		id, cut, _ := nw.cutFromLeader(t)
		nw.cut[cut] = true
		term := nw.hosts[id].ma.Status().Term
		nw.run(5 * time.Second)
		nw.heal()
		nw.run(2 * time.Second)
		if st := nw.hosts[id].ma.Status(); st.Term != term || st.Role != quorum.Leader {
			t.Fatalf("seed %d: %v in term %d, want the leader in term %d", seed, st.Role, st.Term, term)
		}
	}
}

// TestDuplicateMessagesDoNotMultiply duplicates every message while a replica receives a
// snapshot in many parts. The messages in transit must stay below maxPackets.
func TestDuplicateMessagesDoNotMultiply(t *testing.T) {
	nw := newNetwork(t, 3, 1)
	id, lost, _ := nw.cutFromLeader(t)
	for range 300 {
		nw.propose(id)
		nw.run(tick)
	}
	nw.compact(id)
	nw.stop(lost)
	nw.loseDisk(lost)
	nw.heal()
	nw.duplicate = 100
	nw.run(10 * time.Second)
	if nw.isLearner(lost) {
		t.Fatal("replica is still a learner")
	}
	nw.finish(t)
}
