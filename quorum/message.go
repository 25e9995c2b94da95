package quorum

// Header holds the fields that all messages have.
type Header struct {
	From Replica
	To   Replica
	Term Term
	// Incarnation is that of the sender.
	Incarnation Incarnation
	// ToIncarnation is set in answers only, to the incarnation that sent the request.
	// Another incarnation of the receiver ignores the answer.
	ToIncarnation Incarnation
}

// Message is a message from one replica to another.
type Message interface{ header() *Header }

// VoteRequest asks for a vote in Term. If Pre is set it is a pre-vote: it asks whether
// the vote would be granted, and changes no state at the receiver.
type VoteRequest struct {
	Header
	Pre bool
	// LastIndex and LastTerm are the index and term of the candidate's last entry.
	LastIndex Index
	LastTerm  Term
	// Transfer is set if the current leader asked for this election. The receiver then
	// votes although that leader is alive.
	Transfer bool
}

// VoteAnswer answers a VoteRequest.
type VoteAnswer struct {
	Header
	Pre     bool
	Refused bool
}

// Append carries the entries that follow the one at PrevIndex. Without entries it is a
// heartbeat.
type Append struct {
	Header
	PrevIndex Index
	PrevTerm  Term
	Entries   []Entry
	Commit    Index
	// Sequence encodes the send time and is returned in the answer.
	Sequence uint64
}

// AppendAnswer answers an Append, or the SnapshotChunk that completes a snapshot.
type AppendAnswer struct {
	Header
	// Match is the last index up to which this log is known to equal the leader's and to
	// be on the disk. If Refused is set, it is the PrevIndex that did not match.
	Match   Index
	Refused bool
	// LastPossibleMatch is set if Refused is: the last index at which the logs may match.
	LastPossibleMatch Index
	Sequence          uint64
}

// SnapshotChunk carries a part of a snapshot.
type SnapshotChunk struct {
	Header
	// Snapshot holds in Data only the part that begins at Offset.
	Snapshot Snapshot
	Offset   uint64
	// Size is the size of the whole data.
	Size     uint64
	Sequence uint64
}

// SnapshotChunkAnswer asks for the part of a snapshot that begins at Offset.
type SnapshotChunkAnswer struct {
	Header
	Index    Index
	Offset   uint64
	Sequence uint64
}

// StartElection asks the receiver to stand for election at once. A leader sends it to
// transfer its leadership.
type StartElection struct{ Header }

// BootstrapQuery asks whether the receiver is blank.
type BootstrapQuery struct{ Header }

// BootstrapAnswer answers a BootstrapQuery. Refused means that its sender is not blank.
type BootstrapAnswer struct {
	Header
	Refused bool
}

func (he *Header) header() *Header { return he }

// Destination returns the replica to which a message is addressed.
func Destination(msg Message) Replica { return msg.header().To }

// Source returns the replica that sent a message.
func Source(msg Message) Replica { return msg.header().From }
