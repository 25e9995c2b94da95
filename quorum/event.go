package quorum

// Event is an input of a Machine.
type Event interface{ event() }

// Receive passes in a message of another replica.
type Receive struct{ Message Message }

// Propose asks for Data to be appended. It ends in an Apply or a Rejected
// that carries the same Proposal.
type Propose struct {
	Proposal Proposal
	Data     []byte
}

// Persisted says that the Persist with the same Number is on the disk, and
// all before it.
type Persisted struct{ Number uint64 }

// Compact says that Data is the state machine's content after all entries up
// to and including Index, so that these can be dropped from the log.
type Compact struct {
	Index Index
	Data  []byte
}

// Transfer asks a leader to hand its leadership to another replica. Until it
// has, proposals are rejected.
type Transfer struct{}

// LiveReplicas names the replicas that are alive, by what the machine's owner knows.
// A leader sends them the log, and may make voters of them.
type LiveReplicas struct{ Replicas []Replica }

// Tick lets time pass. It should come several times in each heartbeat.
type Tick struct{}

func (Receive) event()      {}
func (Propose) event()      {}
func (Persisted) event()    {}
func (Compact) event()      {}
func (Transfer) event()     {}
func (LiveReplicas) event() {}
func (Tick) event()         {}

// Action is an output of a Machine.
type Action interface{ action() }

// Send asks for a message to be sent. Messages may be lost, doubled and
// reordered.
type Send struct{ Message Message }

// Persist asks for state to be written and synced to the disk, answered by
// Persisted. At most one is outstanding.
type Persist struct {
	Number    uint64
	HardState HardState
	// From is the index from which on the log's entries are replaced by
	// Entries. 0 leaves the log as it is.
	From    Index
	Entries []Entry
	// Snapshot, when it is set, replaces the entries up to its index. It is
	// written together with the others or not at all.
	Snapshot *Snapshot
}

// Apply hands a committed entry of kind Data to the state machine. Entries
// come in the order of the log, each once, or are covered by a Restore.
type Apply struct {
	Entry Entry
	// Proposal is not 0 when the entry was proposed here and its proposer
	// waits.
	Proposal Proposal
}

// Restore replaces the state machine's content.
type Restore struct{ Snapshot Snapshot }

// Rejected ends a proposal with ErrNotLeader, ErrFull or ErrUnknown.
type Rejected struct {
	Proposal Proposal
	Err      error
	// Leader is the leader, if known.
	Leader Replica
}

// RoleChanged tells of a change of role, term or leader.
type RoleChanged struct {
	Role   Role
	Term   Term
	Leader Replica
}

func (Send) action()        {}
func (Persist) action()     {}
func (Apply) action()       {}
func (Restore) action()     {}
func (Rejected) action()    {}
func (RoleChanged) action() {}
