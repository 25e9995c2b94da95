package quorum

import (
	"slices"
	"strings"

	"github.com/pkg/errors"

	"camphortrail/schema"
)

// ErrBadMessage is returned for a message that can't be decoded.
var ErrBadMessage = errors.New("quorum: malformed message")

// maxNumber bounds terms, indexes and positions, so that the next ones do not
// overflow.
const maxNumber = 1 << 62

// Encode returns the message as it is sent between processes.
func Encode(msg Message) *schema.QuorumMessage {
	he := msg.header()
	qm := &schema.QuorumMessage{
		From: string(he.From), To: string(he.To), Term: uint64(he.Term),
		Incarnation: uint64(he.Incarnation), ToIncarnation: uint64(he.ToIncarnation),
	}
	switch msg := msg.(type) {
	case *VoteRequest:
		qm.Kind = voteKind(msg.Pre, schema.QuorumMessage_KIND_PRE_VOTE, schema.QuorumMessage_KIND_VOTE)
		qm.Index, qm.LogTerm, qm.Transfer = uint64(msg.LastIndex), uint64(msg.LastTerm), msg.Transfer
	case *VoteAnswer:
		qm.Kind = voteKind(msg.Pre, schema.QuorumMessage_KIND_PRE_VOTE_ANSWER, schema.QuorumMessage_KIND_VOTE_ANSWER)
		qm.Refused = msg.Refused
	case *Append:
		qm.Kind = schema.QuorumMessage_KIND_APPEND
		qm.Index, qm.LogTerm, qm.Commit = uint64(msg.PrevIndex), uint64(msg.PrevTerm), uint64(msg.Commit)
		qm.Entries, qm.Sequence = EncodeEntries(msg.Entries), msg.Sequence
	case *AppendAnswer:
		qm.Kind = schema.QuorumMessage_KIND_APPEND_ANSWER
		qm.Index, qm.Refused, qm.Last, qm.Sequence = uint64(msg.Match), msg.Refused, uint64(msg.LastPossibleMatch), msg.Sequence
	case *SnapshotChunk:
		qm.Kind = schema.QuorumMessage_KIND_SNAPSHOT
		qm.Index, qm.LogTerm = uint64(msg.Snapshot.Index), uint64(msg.Snapshot.Term)
		qm.Voters, qm.Snapshot = EncodeVoters(msg.Snapshot.Voters), msg.Snapshot.Data
		qm.Offset, qm.Size, qm.Sequence = msg.Offset, msg.Size, msg.Sequence
	case *SnapshotChunkAnswer:
		qm.Kind = schema.QuorumMessage_KIND_SNAPSHOT_ANSWER
		qm.Index, qm.Offset, qm.Sequence = uint64(msg.Index), msg.Offset, msg.Sequence
	case *StartElection:
		qm.Kind = schema.QuorumMessage_KIND_TRANSFER
	case *BootstrapQuery:
		qm.Kind = schema.QuorumMessage_KIND_JOIN
	case *BootstrapAnswer:
		qm.Kind, qm.Refused = schema.QuorumMessage_KIND_JOIN_ANSWER, msg.Refused
	}
	return qm
}

func voteKind(pre bool, ifPre, otherwise schema.QuorumMessage_Kind) schema.QuorumMessage_Kind {
	if pre {
		return ifPre
	}
	return otherwise
}

// Decode returns the message encoded as qm. An error wraps ErrBadMessage, and
// names the field and its value.
func Decode(qm *schema.QuorumMessage) (Message, error) {
	for _, nu := range []struct {
		field string
		value uint64
	}{
		{"term", qm.GetTerm()},
		{"index", qm.GetIndex()},
		{"log_term", qm.GetLogTerm()},
		{"commit", qm.GetCommit()},
		{"last", qm.GetLast()},
		{"offset", qm.GetOffset()},
		{"size", qm.GetSize()},
	} {
		if nu.value > maxNumber {
			return nil, errors.Wrapf(ErrBadMessage, "%s %d", nu.field, nu.value)
		}
	}
	he := Header{
		From: Replica(qm.GetFrom()), To: Replica(qm.GetTo()), Term: Term(qm.GetTerm()),
		Incarnation: Incarnation(qm.GetIncarnation()), ToIncarnation: Incarnation(qm.GetToIncarnation()),
	}
	if he.Incarnation == 0 {
		return nil, errors.Wrap(ErrBadMessage, "incarnation 0")
	}
	index := Index(qm.GetIndex())
	switch kind := qm.GetKind(); kind {
	case schema.QuorumMessage_KIND_PRE_VOTE, schema.QuorumMessage_KIND_VOTE:
		return &VoteRequest{
			Header: he, Pre: kind == schema.QuorumMessage_KIND_PRE_VOTE,
			LastIndex: index, LastTerm: Term(qm.GetLogTerm()), Transfer: qm.GetTransfer(),
		}, nil
	case schema.QuorumMessage_KIND_PRE_VOTE_ANSWER, schema.QuorumMessage_KIND_VOTE_ANSWER:
		return &VoteAnswer{
			Header: he, Pre: kind == schema.QuorumMessage_KIND_PRE_VOTE_ANSWER, Refused: qm.GetRefused(),
		}, nil
	case schema.QuorumMessage_KIND_APPEND:
		return decodeAppend(he, qm)
	case schema.QuorumMessage_KIND_APPEND_ANSWER:
		return &AppendAnswer{
			Header: he, Match: index, Refused: qm.GetRefused(),
			LastPossibleMatch: Index(qm.GetLast()), Sequence: qm.GetSequence(),
		}, nil
	case schema.QuorumMessage_KIND_SNAPSHOT:
		return decodeChunk(he, qm)
	case schema.QuorumMessage_KIND_SNAPSHOT_ANSWER:
		return &SnapshotChunkAnswer{Header: he, Index: index, Offset: qm.GetOffset(), Sequence: qm.GetSequence()}, nil
	case schema.QuorumMessage_KIND_TRANSFER:
		return &StartElection{he}, nil
	case schema.QuorumMessage_KIND_JOIN:
		return &BootstrapQuery{he}, nil
	case schema.QuorumMessage_KIND_JOIN_ANSWER:
		return &BootstrapAnswer{Header: he, Refused: qm.GetRefused()}, nil
	}
	return nil, errors.Wrapf(ErrBadMessage, "kind %d", qm.GetKind())
}

func decodeAppend(he Header, qm *schema.QuorumMessage) (Message, error) {
	ap := &Append{
		Header: he, PrevIndex: Index(qm.GetIndex()), PrevTerm: Term(qm.GetLogTerm()),
		Commit: Index(qm.GetCommit()), Sequence: qm.GetSequence(),
	}
	list, err := DecodeEntries(qm.GetEntries(), ap.PrevIndex+1)
	if err != nil {
		return nil, err
	}
	ap.Entries = list
	return ap, nil
}

func decodeChunk(he Header, qm *schema.QuorumMessage) (Message, error) {
	sc := &SnapshotChunk{
		Header: he, Offset: qm.GetOffset(), Size: qm.GetSize(), Sequence: qm.GetSequence(),
		Snapshot: Snapshot{
			Index: Index(qm.GetIndex()), Term: Term(qm.GetLogTerm()),
			Voters: DecodeVoters(qm.GetVoters()), Data: qm.GetSnapshot(),
		},
	}
	switch {
	case sc.Snapshot.Index == 0:
		return nil, errors.Wrap(ErrBadMessage, "index 0")
	case len(sc.Snapshot.Voters) == 0:
		return nil, errors.Wrap(ErrBadMessage, "no voters")
	case sc.Offset+uint64(len(sc.Snapshot.Data)) > sc.Size:
		return nil, errors.Wrapf(ErrBadMessage, "offset %d, %d bytes of %d", sc.Offset, len(sc.Snapshot.Data), sc.Size)
	}
	return sc, nil
}

// EncodeEntries returns entries as they are sent and stored.
func EncodeEntries(list []Entry) []*schema.LogEntry {
	out := make([]*schema.LogEntry, len(list))
	for i, en := range list {
		out[i] = &schema.LogEntry{
			Index: uint64(en.Index), Term: uint64(en.Term),
			Kind: schema.LogEntry_Kind(en.Kind), Data: en.Data, Voters: EncodeVoters(en.Voters),
		}
	}
	return out
}

// DecodeEntries returns entries that begin at index first and have no gaps. An
// error wraps ErrBadMessage, and names the entry, the field and its value.
func DecodeEntries(list []*schema.LogEntry, first Index) ([]Entry, error) {
	out := make([]Entry, len(list))
	for i, le := range list {
		kind := EntryKind(le.GetKind())
		switch {
		case Index(le.GetIndex()) != first+Index(i) || le.GetIndex() > maxNumber:
			return nil, errors.Wrapf(ErrBadMessage, "entry %d: index %d", first+Index(i), le.GetIndex())
		case le.GetTerm() > maxNumber:
			return nil, errors.Wrapf(ErrBadMessage, "entry %d: term %d", le.GetIndex(), le.GetTerm())
		case kind < DataEntry || kind > EmptyEntry:
			return nil, errors.Wrapf(ErrBadMessage, "entry %d: kind %d", le.GetIndex(), le.GetKind())
		}
		out[i] = Entry{
			Index: Index(le.GetIndex()), Term: Term(le.GetTerm()),
			Kind: kind, Data: le.GetData(), Voters: DecodeVoters(le.GetVoters()),
		}
	}
	return out, nil
}

// EncodeVoters returns voters in the order of their names.
func EncodeVoters(vo Voters) []*schema.Voter {
	var out []*schema.Voter
	for id, inc := range vo {
		out = append(out, &schema.Voter{Name: string(id), Incarnation: uint64(inc)})
	}
	slices.SortFunc(out, func(a, b *schema.Voter) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// DecodeVoters returns the voters in a list from EncodeVoters, or nil for an empty list.
func DecodeVoters(list []*schema.Voter) Voters {
	if len(list) == 0 {
		return nil
	}
	vo := make(Voters, len(list))
	for _, v := range list {
		vo[Replica(v.GetName())] = Incarnation(v.GetIncarnation())
	}
	return vo
}
