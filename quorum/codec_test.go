package quorum_test

import (
	"reflect"
	"testing"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"camphortrail/quorum"
	"camphortrail/schema"
)

// TestEncodeDecodeRoundTrip checks that each kind of message decodes to what was encoded.
func TestEncodeDecodeRoundTrip(t *testing.T) {
	he := quorum.Header{From: "a", To: "b", Term: 3, Incarnation: 7, ToIncarnation: 8}
	voters := quorum.Voters{"a": 7, "b": 8}
	for _, msg := range []quorum.Message{
		&quorum.VoteRequest{Header: he, Pre: true, LastIndex: 4, LastTerm: 2},
		&quorum.VoteRequest{Header: he, LastIndex: 4, LastTerm: 2, Transfer: true},
		&quorum.VoteAnswer{Header: he, Pre: true},
		&quorum.VoteAnswer{Header: he, Refused: true},
		&quorum.Append{Header: he, PrevIndex: 4, PrevTerm: 2, Commit: 3, Sequence: 9, Entries: []quorum.Entry{
			{Index: 5, Term: 2, Kind: quorum.DataEntry, Data: []byte("data")},
			{Index: 6, Term: 3, Kind: quorum.EmptyEntry},
			{Index: 7, Term: 3, Kind: quorum.VotersEntry, Voters: voters},
		}},
		&quorum.AppendAnswer{Header: he, Match: 4, Refused: true, LastPossibleMatch: 2, Sequence: 9},
		&quorum.SnapshotChunk{
			Header: he, Offset: 2, Size: 6, Sequence: 9,
			Snapshot: quorum.Snapshot{Index: 4, Term: 2, Voters: voters, Data: []byte("data")},
		},
		&quorum.SnapshotChunkAnswer{Header: he, Index: 4, Offset: 6, Sequence: 9},
		&quorum.StartElection{Header: he},
		&quorum.BootstrapQuery{Header: he},
		&quorum.BootstrapAnswer{Header: he, Refused: true},
	} {
		data, err := proto.Marshal(quorum.Encode(msg))
		if err != nil {
			t.Fatal(err)
		}
		qm := new(schema.QuorumMessage)
		if err := proto.Unmarshal(data, qm); err != nil {
			t.Fatal(err)
		}
		if got, err := quorum.Decode(qm); err != nil || !reflect.DeepEqual(got, msg) {
			t.Errorf("%T arrives as %+v, %v; want %+v", msg, got, err, msg)
		}
	}
}

// TestMalformedMessagesAreRefused checks that Decode returns ErrBadMessage for messages
// that break the rules of the protocol.
func TestMalformedMessagesAreRefused(t *testing.T) {
	gap := &schema.QuorumMessage{
		Kind: schema.QuorumMessage_KIND_APPEND, Incarnation: 1, Index: 1,
		Entries: []*schema.LogEntry{{Index: 3, Kind: schema.LogEntry_KIND_DATA}},
	}
	for name, qm := range map[string]*schema.QuorumMessage{
		"no kind":            {Incarnation: 1},
		"no incarnation":     {Kind: schema.QuorumMessage_KIND_JOIN},
		"gap in the entries": gap,
		"entry without kind": {Kind: schema.QuorumMessage_KIND_APPEND, Incarnation: 1, Entries: []*schema.LogEntry{{Index: 1}}},
		"snapshot of no one": {Kind: schema.QuorumMessage_KIND_SNAPSHOT, Incarnation: 1, Index: 3},
		"chunk beyond size": {
			Kind: schema.QuorumMessage_KIND_SNAPSHOT, Incarnation: 1, Index: 3, Offset: 4, Size: 5,
			Voters: []*schema.Voter{{Name: "a", Incarnation: 1}}, Snapshot: []byte("ab"),
		},
	} {
		if msg, err := quorum.Decode(qm); !errors.Is(err, quorum.ErrBadMessage) {
			t.Errorf("%s: decoded as %+v, %v; want ErrBadMessage", name, msg, err)
		}
	}
}
