package quorum_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"camphortrail/quorum"
)

// TestArbitraryMessages feeds a machine, in any role, messages that no correct replica
// sends. The machine must not panic, and must never hold a lease longer than
// Settings.Lease.
func TestArbitraryMessages(t *testing.T) {
	ids := []quorum.Replica{"a", "b", "c"}
	leaders := 0
	rapid.Check(t, func(t *rapid.T) {
		set := quorum.DefaultSettings("a", ids)
		set.MaxMessageBytes = 8
		ma := quorum.New(set, quorum.State{Incarnation: 1})
		now := time.Unix(1000, 0)
		step := func(ev quorum.Event) {
			for events := []quorum.Event{ev}; len(events) > 0; events = events[1:] {
				for _, ac := range ma.Step(now, events[0]) {
					if pe, ok := ac.(quorum.Persist); ok {
						events = append(events, quorum.Persisted{Number: pe.Number})
					}
				}
			}
			if until, _ := ma.Lease(); until.Sub(now) > set.Lease {
				t.Fatalf("lease lasts %v", until.Sub(now))
			}
		}
		if rapid.Bool().Draw(t, "elected") {
			bootstrapAndElect(step, &now, ids)
			if ma.Status().Role == quorum.Leader {
				leaders++
			}
		}
		for range 60 {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				step(quorum.Tick{})
			case 1:
				step(quorum.Propose{Proposal: 1, Data: []byte("data")})
			case 2:
				step(quorum.Compact{Index: ma.Status().Commit, Data: []byte("long snapshot")})
			default:
				step(quorum.Receive{Message: arbitraryMessage(t, ma.Status())})
			}
		}
	})
	if leaders == 0 {
		t.Fatal("no run elected a leader")
	}
}

// bootstrapAndElect makes the machine create the log and become the leader.
func bootstrapAndElect(step func(quorum.Event), now *time.Time, ids []quorum.Replica) {
	step(quorum.Tick{})
	*now = now.Add(time.Second)
	step(quorum.Tick{})
	for i, id := range ids[1:] {
		he := quorum.Header{From: id, To: "a", Incarnation: quorum.Incarnation(i + 2)}
		step(quorum.Receive{Message: &quorum.BootstrapAnswer{Header: he}})
	}
	he := quorum.Header{From: "b", To: "a", Incarnation: 2, Term: 2}
	step(quorum.Receive{Message: &quorum.VoteAnswer{Header: he, Pre: true}})
	step(quorum.Receive{Message: &quorum.VoteAnswer{Header: he}})
}

// arbitraryMessage draws a message whose numbers are often near those of the machine.
func arbitraryMessage(t *rapid.T, st quorum.Status) quorum.Message {
	number := func(name string, near uint64) uint64 {
		return rapid.OneOf(rapid.Uint64Range(0, 6), rapid.Uint64Range(near, near+3), rapid.Uint64Range(0, 1<<60)).Draw(t, name)
	}
	index := func(name string) quorum.Index { return quorum.Index(number(name, uint64(st.Last))) }
	he := quorum.Header{
		From: rapid.SampledFrom([]quorum.Replica{"b", "c"}).Draw(t, "from"), To: "a",
		Term:        quorum.Term(uint64(st.Term) + rapid.Uint64Range(0, 20).Draw(t, "term")/20),
		Incarnation: quorum.Incarnation(rapid.Uint64Range(1, 4).Draw(t, "incarnation")),
	}
	voters := quorum.Voters{"a": 1, "b": 2, "c": 3}
	refused := rapid.Bool().Draw(t, "refused")
	switch rapid.IntRange(0, 7).Draw(t, "kind") {
	case 0:
		return &quorum.VoteRequest{Header: he, Pre: refused, LastIndex: index("index"), LastTerm: he.Term}
	case 1:
		return &quorum.VoteAnswer{Header: he, Pre: refused}
	case 2:
		ap := &quorum.Append{Header: he, PrevIndex: index("index"), PrevTerm: st.Term, Commit: index("commit"), Sequence: 1}
		for i := range rapid.IntRange(0, 3).Draw(t, "entries") {
			ap.Entries = append(ap.Entries, quorum.Entry{
				Index: ap.PrevIndex + quorum.Index(i) + 1, Term: he.Term, Kind: quorum.DataEntry, Data: []byte("data"),
			})
		}
		return ap
	case 3, 4:
		return &quorum.AppendAnswer{
			Header: he, Match: index("match"), Refused: refused, LastPossibleMatch: index("last"), Sequence: number("sequence", uint64(time.Second)),
		}
	case 5:
		sn := quorum.Snapshot{Index: max(1, index("index")), Term: st.Term, Voters: voters, Data: []byte("part")}
		return &quorum.SnapshotChunk{Header: he, Snapshot: sn, Offset: number("offset", 4), Size: number("size", 8), Sequence: 1}
	case 6:
		return &quorum.SnapshotChunkAnswer{Header: he, Index: index("index"), Offset: number("offset", 4), Sequence: 1}
	default:
		return &quorum.StartElection{Header: he}
	}
}
