package quorum

// Event is an input of a Machine: Receive, Propose, Persisted, PersistFailed, Compact,
// Transfer, LiveReplicas or Tick.
type Event interface{ event() }

// Receive is the arrival of a message from another replica.
type Receive struct{ Message Message }

// Propose asks the leader to append Data. Each proposal is answered by one Apply or one
// Rejected with the same Proposal.
type Propose struct {
	Proposal Proposal
	Data     []byte
}

// Persisted reports that the Persist with this Number, and all earlier ones, are on the
// disk.
type Persisted struct{ Number uint64 }

// PersistFailed reports that the Persist with this Number failed, so that the disk holds all,
// a part or none of it. Number is 0 if the disk failed before the first Persist. The replica
// gives up its leadership, neither votes nor acknowledges entries, and repeats a complete
// Persist until one succeeds.
type PersistFailed struct{ Number uint64 }

// Compact passes in the content of the state machine after all entries up to and
// including Index, so that the log can drop these entries.
type Compact struct {
	Index Index
	Data  []byte
}

// Transfer asks the leader to transfer its leadership to another replica. Proposals are
// rejected from then on, and the replica does not stand for election again.
type Transfer struct{}

// LiveReplicas lists the replicas that the owner of the machine believes to be alive. A
// leader sends them the log, and may make voters of them. Domains holds the failure domains of
// live and other replicas, as far as they are known.
type LiveReplicas struct {
	Replicas []Replica
	Domains  map[Replica]FailureDomain
}

// Tick reports that time has passed. It should come several times per Settings.Heartbeat.
type Tick struct{}

func (Receive) event()       {}
func (Propose) event()       {}
func (Persisted) event()     {}
func (PersistFailed) event() {}
func (Compact) event()       {}
func (Transfer) event()      {}
func (LiveReplicas) event()  {}
func (Tick) event()          {}

// Action is an output of a Machine: Send, Persist, Apply, Restore, Rejected or
// RoleChanged.
type Action interface{ action() }

// Send asks for a message to be sent. The network may lose, duplicate and reorder
// messages.
type Send struct{ Message Message }

// Persist asks for state to be written and synced to the disk. Persisted or PersistFailed
// answers it, and at most one is outstanding.
type Persist struct {
	Number    uint64
	HardState HardState
	// From is the index from which Entries replace the entries of the log. 0 leaves the
	// log unchanged.
	From    Index
	Entries []Entry
	// Snapshot, if not nil, replaces the entries up to its index. It has to be written
	// atomically with the other fields.
	Snapshot *Snapshot
	// Complete is set if the Persist holds the complete state. It replaces all that is on the
	// disk, because an earlier write failed.
	Complete bool
}

// Apply passes a committed DataEntry to the state machine. Entries come in the order of
// the log. Each comes once, or is covered by a Restore.
type Apply struct {
	Entry Entry
	// Proposal is the proposal that waits for the entry at this replica, or 0.
	Proposal Proposal
}

// Restore replaces the content of the state machine by that of a snapshot.
type Restore struct{ Snapshot Snapshot }

// Rejected ends a proposal with ErrNotLeader, ErrFull or ErrOutcomeUnknown.
type Rejected struct {
	Proposal Proposal
	Err      error
	// Leader is the current leader, or empty if it is not known.
	Leader Replica
}

// RoleChanged reports a change of the role, the term or the leader.
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
