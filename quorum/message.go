package quorum

// Header is common to all messages.
type Header struct {
	From Replica
	To   Replica
	Term Term
	// Incarnation is the sender's.
	Incarnation Incarnation
	// ToIncarnation is set in answers to the incarnation that asked.
	ToIncarnation Incarnation
}

// Message is sent from one replica to another.
type Message interface{ header() *Header }

// VoteRequest asks for a vote in Term. With Pre set it only asks whether the vote
// would be given.
type VoteRequest struct {
	Header
	Pre bool
	// LastIndex and LastTerm are those of the candidate's last entry.
	LastIndex Index
	LastTerm  Term
	// Transfer is set when the leader asked for the election.
	Transfer bool
}

// VoteAnswer answers a Vote.
type VoteAnswer struct {
	Header
	Pre     bool
	Refused bool
}

// Append carries entries that follow the one at PrevIndex, or none as a
// heartbeat.
type Append struct {
	Header
	PrevIndex Index
	PrevTerm  Term
	Entries   []Entry
	Commit    Index
	// Sequence is returned in the answer.
	Sequence uint64
}

// AppendAnswer answers an Append or the last Chunk of a snapshot.
type AppendAnswer struct {
	Header
	// Match is the last index known to be equal to the leader's log and on
	// the disk; when Refused, the PrevIndex that did not match.
	Match   Index
	Refused bool
	// LastPossibleMatch is the last index that may match, when Refused.
	LastPossibleMatch Index
	Sequence          uint64
}

// SnapshotChunk carries a part of a snapshot.
type SnapshotChunk struct {
	Header
	// Snapshot has the part of the data that begins at Offset.
	Snapshot Snapshot
	Offset   uint64
	// Size is that of the whole data.
	Size     uint64
	Sequence uint64
}

// SnapshotChunkAnswer asks for the part of a snapshot at Offset.
type SnapshotChunkAnswer struct {
	Header
	Index    Index
	Offset   uint64
	Sequence uint64
}

// StartElection asks the receiver to stand for election at once.
type StartElection struct{ Header }

// BootstrapQuery asks whether the receiver is blank.
type BootstrapQuery struct{ Header }

// BootstrapAnswer answers a Join. Refused means that the sender is not blank.
type BootstrapAnswer struct {
	Header
	Refused bool
}

func (he *Header) header() *Header { return he }

// Destination returns the replica that a message is for.
func Destination(msg Message) Replica { return msg.header().To }

// Source returns the replica that sent a message.
func Source(msg Message) Replica { return msg.header().From }
