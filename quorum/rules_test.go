package quorum_test

import (
	"fmt"
	"testing"
	"time"

	"camphortrail/quorum"
)

// settle runs until there is a leader and every vote counts.
func (nw *network) settle(t *testing.T) quorum.Replica {
	t.Helper()
	for range 100 {
		nw.run(100 * time.Millisecond)
		if id, ok := nw.leader(); ok && nw.learners() == 0 {
			return id
		}
	}
	t.Fatal("no leader")
	return ""
}

// TestRepairNeedsOtherVoters has an old leader meet a replica that lost its
// disk, after another leader committed an entry with that replica. The two
// must not make the empty replica a voter.
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
	lost := nw.third(old, next)
	nw.stop(lost)
	nw.loseDisk(lost)
	nw.start(lost)
	nw.hosts[next].paused = true
	nw.hosts[old].paused = false
	nw.packets = nil
	for range 20 {
		nw.propose(old)
		nw.sync(old)
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

func (nw *network) third(a, b quorum.Replica) quorum.Replica {
	for _, id := range nw.ids {
		if id != a && id != b {
			return id
		}
	}
	return ""
}

// TestOtherLostAfterRepair loses a second replica as soon as the first one
// that lost its disk is a voter again.
func TestOtherLostAfterRepair(t *testing.T) {
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

// TestOlderTermIsNotCommittedAlone checks that a leader commits entries of an
// earlier term only together with one of its own.
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

// TestLeaderlessTime measures in virtual time how long proposals wait after
// the leader is lost.
func TestLeaderlessTime(t *testing.T) {
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

// TestHandover checks that a leader that is stopped on purpose leaves no gap
// that takes an election timeout, and loses no proposal.
func TestHandover(t *testing.T) {
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

// cutFromLeader cuts one follower from the leader only.
func (nw *network) cutFromLeader(t *testing.T) (leader, cut, other quorum.Replica) {
	t.Helper()
	leader = nw.settle(t)
	cut = nw.ids[0]
	if cut == leader {
		cut = nw.ids[1]
	}
	nw.broken[link{leader, cut}], nw.broken[link{cut, leader}] = true, true
	return leader, cut, nw.third(leader, cut)
}

// TestLeaseIsNotOverruled cuts one follower from the leader only. The other
// follower, whose acknowledgements the lease rests on, must not elect it.
func TestLeaseIsNotOverruled(t *testing.T) {
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

// TestLeaseOutlivesRestart restarts the follower whose acknowledgements the
// lease rests on. It must not elect another leader before the lease is over;
// the network checks that there is one current leader at most.
func TestLeaseOutlivesRestart(t *testing.T) {
	for seed := range uint64(40) {
		nw := newNetwork(t, 3, seed)
		id, _, other := nw.cutFromLeader(t)
		nw.run(time.Second + time.Duration(seed)*tick)
		nw.stop(other)
		nw.broken[link{id, other}] = true
		nw.start(other)
		nw.run(2 * time.Second)
		if now, _ := nw.leader(); now == id {
			t.Fatalf("seed %d: %s still leads without being heard", seed, id)
		}
		nw.finish(t)
	}
}

// TestReturningFollowerDoesNotDisturb has a follower that was cut off for
// long come back. It must not make the leader lose its term.
func TestReturningFollowerDoesNotDisturb(t *testing.T) {
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

// TestDoubledMessagesDoNotMultiply doubles every message while a replica
// receives a snapshot in many parts; the network bounds what is on its way.
func TestDoubledMessagesDoNotMultiply(t *testing.T) {
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
	nw.double = 100
	nw.run(10 * time.Second)
	if nw.learner(lost) {
		t.Fatal("replica is still a learner")
	}
	nw.finish(t)
}
