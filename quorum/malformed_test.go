package quorum_test

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"camphortrail/quorum"
	"camphortrail/schema"
)

// outOfRangeMessages are messages with a number so large that incrementing it would
// overflow. The key is the text by which the error names the field.
var outOfRangeMessages = map[string]*schema.QuorumMessage{
	"term 18446744073709551615": {Kind: schema.QuorumMessage_KIND_APPEND, Term: math.MaxUint64},
	"term 9223372036854775807":  {Kind: schema.QuorumMessage_KIND_VOTE, Term: math.MaxInt64},
	"index 18446744073709551615": {
		Kind: schema.QuorumMessage_KIND_SNAPSHOT, Term: 1000, Index: math.MaxUint64, LogTerm: 1000, Size: 1, Snapshot: []byte("x"),
		Voters: []*schema.Voter{{Name: "a", Incarnation: 1000}},
	},
	"offset 18446744073709551615": {
		Kind: schema.QuorumMessage_KIND_SNAPSHOT, Term: 1000, Index: 1000, LogTerm: 1000, Offset: math.MaxUint64, Snapshot: []byte("x"),
		Voters: []*schema.Voter{{Name: "a", Incarnation: 1000}},
	},
	"size 18446744073709551615": {
		Kind: schema.QuorumMessage_KIND_SNAPSHOT, Term: 1000, Index: 1000, LogTerm: 1000, Size: math.MaxUint64,
		Voters: []*schema.Voter{{Name: "a", Incarnation: 1000}},
	},
	"commit 18446744073709551615":   {Kind: schema.QuorumMessage_KIND_APPEND, Commit: math.MaxUint64},
	"log_term 18446744073709551615": {Kind: schema.QuorumMessage_KIND_VOTE, LogTerm: math.MaxUint64},
	"last 18446744073709551615":     {Kind: schema.QuorumMessage_KIND_APPEND_ANSWER, Index: 1, Refused: true, Last: math.MaxUint64, Sequence: 1},
	"entry 1: term 18446744073709551615": {
		Kind: schema.QuorumMessage_KIND_APPEND, Entries: []*schema.LogEntry{{Index: 1, Term: math.MaxUint64, Kind: schema.LogEntry_KIND_DATA}},
	},
}

// TestOutOfRangeNumbersAreRefused checks that one message with a number near the maximum
// is refused, and that the replicas elect leaders afterwards. If a replica adopted such a
// term or index, no later election could exceed it.
func TestOutOfRangeNumbersAreRefused(t *testing.T) {
	for errText, invalid := range outOfRangeMessages {
		t.Run(errText, func(t *testing.T) {
			nw := newNetwork(t, 3, 1)
			nw.run(3 * time.Second)
			if id, ok := nw.leader(); ok {
				nw.propose(id)
			}
			nw.run(time.Second)
			for i, id := range nw.ids {
				from := nw.ids[(i+1)%len(nw.ids)]
				qm := proto.CloneOf(invalid)
				qm.From, qm.To, qm.Incarnation = string(from), string(id), uint64(nw.hosts[from].disk.Incarnation)
				msg, err := quorum.Decode(qm)
				if err == nil {
					nw.step(id, quorum.Receive{Message: msg})
					nw.finishWrites(id)
				}
				if !errors.Is(err, quorum.ErrBadMessage) || !strings.Contains(err.Error(), errText) {
					t.Errorf("error %v, want one that names %s", err, errText)
				}
			}
			// Two further elections succeed.
			for range 2 {
				nw.run(3 * time.Second)
				id, ok := nw.leader()
				if !ok {
					t.Fatalf("no leader\n%s", nw.print())
				}
				nw.propose(id)
				nw.run(time.Second)
				nw.stop(id)
				nw.run(3 * time.Second)
				nw.start(id)
			}
			nw.run(3 * time.Second)
			if len(nw.applied) != 3 {
				t.Errorf("%d entries were accepted, want 3", len(nw.applied))
			}
		})
	}
}

// FuzzMessage sends an arbitrary message of an unknown replica to three replicas, one of
// which leads. None may panic, and Decode may only fail with ErrBadMessage.
func FuzzMessage(f *testing.F) {
	for _, invalid := range outOfRangeMessages {
		data, err := proto.Marshal(invalid)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	for kind := range schema.QuorumMessage_Kind_name {
		data, err := proto.Marshal(&schema.QuorumMessage{
			Kind: schema.QuorumMessage_Kind(kind), Term: 1, Index: 1, LogTerm: 1, Commit: 1, Last: 1, Sequence: 1, Size: 1,
			Voters: []*schema.Voter{{Name: "a", Incarnation: 1000}},
		})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		qm := new(schema.QuorumMessage)
		if len(data) > 4096 || proto.Unmarshal(data, qm) != nil {
			t.Skip()
		}
		qm.From, qm.Incarnation, qm.ToIncarnation = "z", 1, 0
		if _, err := quorum.Decode(qm); err != nil {
			if !errors.Is(err, quorum.ErrBadMessage) {
				t.Errorf("error %v, want ErrBadMessage", err)
			}
			return
		}
		nw := newNetwork(t, 3, 1)
		nw.run(time.Second)
		for _, id := range nw.ids {
			qm.To = string(id)
			msg, err := quorum.Decode(qm)
			if err != nil {
				t.Fatal(err)
			}
			ma := nw.hosts[id].ma
			ma.Step(nw.now, quorum.Receive{Message: msg})
			for range 20 {
				nw.now = nw.now.Add(tick)
				ma.Step(nw.now, quorum.Tick{})
			}
		}
	})
}
