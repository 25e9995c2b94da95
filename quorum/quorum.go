// Package quorum implements a replicated log as a deterministic state machine: leader
// election with pre-vote and check-quorum, leader leases, pipelined replication,
// snapshots, leadership transfer, and repair of replicas that lost their disk.
//
// A Machine has no goroutine, clock, socket or disk. Its owner passes events to Step and
// carries out the returned actions in order.
package quorum

import (
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Replica is the name of one of the processes that hold the log.
type Replica string

// FailureDomain names the failure domain of a replica. The empty name stands for one that is
// unknown.
type FailureDomain string

// Term numbers elections. Each term has at most one leader.
type Term uint64

// Index is a position in the log. The first entry has index 1.
type Index uint64

// Incarnation identifies one data folder of a replica, so that a replica that lost its
// disk is not taken for the one whose votes and acknowledgements were counted before. It
// is never 0, a replica never uses a value twice, and later folders have higher values.
type Incarnation uint64

// Proposal identifies a proposal at the replica that received it.
type Proposal uint64

// Errors of Rejected.
var (
	// ErrNotLeader means that the proposal was not appended, because this replica is not
	// the leader or is transferring its leadership.
	ErrNotLeader = errors.New("quorum: not the leader")
	// ErrFull means that the proposal was not appended, because the uncommitted proposals
	// would exceed Settings.MaxUncommittedBytes.
	ErrFull = errors.New("quorum: too much uncommitted data")
	// ErrOutcomeUnknown means that the replica lost its leadership after it appended the
	// proposal. The proposal may or may not be committed later.
	ErrOutcomeUnknown = errors.New("quorum: leadership lost, outcome unknown")
)

// Voters maps each voting replica to the incarnation whose votes and acknowledgements
// count.
type Voters map[Replica]Incarnation

// majority returns the smallest number of voters that is more than half of them.
func (vo Voters) majority() int { return len(vo)/2 + 1 }

// without returns a copy of the voters that leaves out id.
func (vo Voters) without(id Replica) Voters {
	cp := maps.Clone(vo)
	delete(cp, id)
	return cp
}

// with returns a copy of the voters in which id votes with incarnation inc.
func (vo Voters) with(id Replica, inc Incarnation) Voters {
	cp := maps.Clone(vo)
	cp[id] = inc
	return cp
}

// EntryKind is the kind of a log entry.
type EntryKind uint8

// Kinds of entries.
const (
	// DataEntry is an entry that carries the data of a proposal.
	DataEntry EntryKind = iota + 1
	// VotersEntry is an entry that replaces the voters.
	VotersEntry
	// EmptyEntry is the entry with which a leader begins its term.
	EmptyEntry
)

// Entry is one entry of the log. Data is set in a DataEntry only, and Voters in a
// VotersEntry only.
type Entry struct {
	Index  Index
	Term   Term
	Kind   EntryKind
	Data   []byte
	Voters Voters
}

// Snapshot replaces all entries up to and including Index. Term is the term of that
// entry, Voters are the voters in force there, and Data is the content of the state
// machine.
type Snapshot struct {
	Index  Index
	Term   Term
	Voters Voters
	Data   []byte
}

// HardState is the state, besides the log, that has to survive a restart: the latest
// term, the replica voted for in that term, and the commit index.
type HardState struct {
	Term   Term
	Vote   Replica
	Commit Index
}

// State is the state of a replica as read from its disk. In a blank state only
// Incarnation is set: the data folder is new, or an earlier one was lost.
type State struct {
	Incarnation Incarnation
	HardState   HardState
	Snapshot    Snapshot
	Entries     []Entry
}

// Voters returns the latest voters in the log, committed or not, or nil if there are
// none.
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
	// ID is the name of this replica.
	ID Replica
	// Replicas lists the replicas that bootstrap a new log, which they do only when all
	// of them are up. It has no effect once the log exists, since the log holds its
	// voters.
	Replicas []Replica
	// VoterCount is the number of voters that a leader maintains by adding or
	// substituting live replicas, see LiveReplicas, if possible with each in a failure domain
	// of its own. Zero leaves the voters as they were at bootstrap.
	VoterCount int
	// ReplaceAfter is the time without an answer from a voter after which a live replica
	// replaces it.
	ReplaceAfter time.Duration
	// Heartbeat is the interval at which an idle leader sends messages.
	Heartbeat time.Duration
	// ElectionTimeout is the time without a leader after which a replica stands for
	// election. A random time of up to the same length is added.
	ElectionTimeout time.Duration
	// Lease is the time for which a leader counts as current after it sent a message that
	// a quorum acknowledged. It must be shorter than ElectionTimeout by more than clocks
	// drift apart in that time, or else two leaders may count as current.
	Lease time.Duration
	// MaxMessageBytes bounds the entries, or the part of a snapshot, in one message. An
	// entry that is larger is sent alone.
	MaxMessageBytes int
	// MaxInFlight bounds the number of unacknowledged messages with entries to one
	// replica.
	MaxInFlight int
	// RetainedEntries is the number of entries that stay in memory after a snapshot covers
	// them, so that replicas that are slightly behind need no snapshot.
	RetainedEntries int
	// MaxUncommittedBytes bounds the total size of uncommitted proposals.
	MaxUncommittedBytes int
	// Seed seeds the random part of election timeouts.
	Seed uint64
}

// DefaultSettings returns settings for replicas that are a few milliseconds apart.
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
		RetainedEntries:     256,
		MaxUncommittedBytes: 64 << 20,
	}
}

// Role is the current role of a replica.
type Role uint8

// Roles.
const (
	// Learner is the role of a replica that receives the log and whose vote does not
	// count.
	Learner Role = iota
	// Follower is the role of a replica that votes and accepts entries from the leader.
	Follower
	// Candidate is the role of a replica that stands for election.
	Candidate
	// Leader is the role of the replica that appends proposals.
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
