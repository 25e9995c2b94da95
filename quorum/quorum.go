// Package quorum is a replicated log as a deterministic state machine:
// elections with pre-vote and check-quorum, leader lease, pipelined append,
// commit, snapshots, leadership transfer, and repair of replicas that lost
// their disk.
//
// A Machine has no goroutine, clock, socket or disk. Its owner passes events
// to Step and carries out the actions in the order in which they are
// returned.
package quorum

import (
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Replica names one of the machines that hold the log.
type Replica string

// Term numbers elections. There is at most one leader in a term.
type Term uint64

// Index is a position in the log. The first entry has index 1.
type Index uint64

// Incarnation tells a replica's data folder from an earlier one that was
// lost. It is never 0 and never used twice by a replica; later folders have
// higher ones.
type Incarnation uint64

// Proposal identifies a proposal at the replica where it was made.
type Proposal uint64

// Errors of Rejected.
var (
	// ErrNotLeader means that the proposal was not appended.
	ErrNotLeader = errors.New("quorum: not the leader")
	// ErrFull means that the proposal was not appended because too many
	// bytes wait to be committed.
	ErrFull = errors.New("quorum: too much uncommitted data")
	// ErrOutcomeUnknown means that leadership was lost after the proposal was
	// appended: it may or may not be committed later.
	ErrOutcomeUnknown = errors.New("quorum: leadership lost, outcome unknown")
)

// Voters maps each replica to the incarnation whose votes and
// acknowledgements count.
type Voters map[Replica]Incarnation

// majority is the number of voters that decide.
func (vo Voters) majority() int { return len(vo)/2 + 1 }

func (vo Voters) without(id Replica) Voters {
	cp := maps.Clone(vo)
	delete(cp, id)
	return cp
}

func (vo Voters) with(id Replica, inc Incarnation) Voters {
	cp := maps.Clone(vo)
	cp[id] = inc
	return cp
}

// EntryKind tells what an entry carries.
type EntryKind uint8

// Kinds of entries.
const (
	// DataEntry entries carry a proposal.
	DataEntry EntryKind = iota + 1
	// VotersEntry entries replace the voters.
	VotersEntry
	// EmptyEntry entries begin a leader's term.
	EmptyEntry
)

// Entry is one entry of the log.
type Entry struct {
	Index  Index
	Term   Term
	Kind   EntryKind
	Data   []byte
	Voters Voters
}

// Snapshot replaces all entries up to and including Index.
type Snapshot struct {
	Index  Index
	Term   Term
	Voters Voters
	Data   []byte
}

// HardState is the part of the state, besides the log, that must outlive a
// restart.
type HardState struct {
	Term   Term
	Vote   Replica
	Commit Index
}

// State is what a replica finds on its disk. A State with nothing but an
// Incarnation is blank: the folder is new or its predecessor was lost.
type State struct {
	Incarnation Incarnation
	HardState   HardState
	Snapshot    Snapshot
	Entries     []Entry
}

// Voters returns the latest voters in the log, or nil.
func (st State) Voters() Voters {
	for _, en := range slices.Backward(st.Entries) {
		if en.Kind == VotersEntry {
			return en.Voters
		}
	}
	return st.Snapshot.Voters
}

// Settings configures a Machine.
type Settings struct {
	ID Replica
	// Replicas lists the replicas that found the log, once all of them are
	// there. A log that exists says by itself who its voters are.
	Replicas []Replica
	// VoterCount is the number of voters that a leader keeps up with the known
	// replicas, see Known. Zero leaves the voters as they were founded.
	VoterCount int
	// ReplaceAfter is the silence after which a known replica takes the place
	// of a voter.
	ReplaceAfter time.Duration
	// Heartbeat is the interval of messages of an idle leader.
	Heartbeat time.Duration
	// ElectionTimeout is the time without a leader after which a replica
	// stands for election. Up to as much again is added at random.
	ElectionTimeout time.Duration
	// Lease is the time for which a leader counts as current after it sent
	// a message that a quorum acknowledged. It must be shorter than
	// ElectionTimeout by more than clocks drift apart in that time.
	Lease time.Duration
	// MaxMessageBytes bounds the entries or the part of a snapshot in one
	// message. A single larger entry is sent alone.
	MaxMessageBytes int
	// MaxInFlight bounds the unacknowledged messages with entries to one
	// replica.
	MaxInFlight int
	// MaxUncommittedBytes bounds the proposals that wait to be committed.
	MaxUncommittedBytes int
	// Seed seeds the randomness of election timeouts.
	Seed uint64
}

// DefaultSettings returns settings for replicas a few milliseconds apart.
func DefaultSettings(id Replica, replicas []Replica) Settings {
	return Settings{
		ID:                  id,
		Replicas:            replicas,
		Heartbeat:           75 * time.Millisecond,
		ElectionTimeout:     400 * time.Millisecond,
		Lease:               300 * time.Millisecond,
		ReplaceAfter:        2 * time.Second,
		MaxMessageBytes:     256 << 10,
		MaxInFlight:         8,
		MaxUncommittedBytes: 64 << 20,
	}
}

// Role is the part that a replica plays.
type Role uint8

// Roles.
const (
	// Learner replicas hold no vote that counts.
	Learner Role = iota
	// Follower replicas vote and accept entries.
	Follower
	// Candidate replicas stand for election.
	Candidate
	// Leader replicas append proposals.
	Leader
)

// String returns the role in lower case.
func (ro Role) String() string {
	switch ro {
	case Follower:
		return "follower"
	case Candidate:
		return "candidate"
	case Leader:
		return "leader"
	default:
		return "learner"
	}
}
