package quorum

import (
	"math/rand/v2"
	"slices"
	"time"
)

// retainedEntries is the number of entries that stay in memory after they are
// covered by a snapshot, for replicas that are a little behind.
const retainedEntries = 256

// Machine is one replica of the log.
type Machine struct {
	set Settings
	inc Incarnation
	rng *rand.Rand
	// live are the replicas that Known named, and peers all others that
	// messages are exchanged with: voters, founders and live ones.
	live []Replica
	peers []Replica

	now     time.Time
	started bool
	actions     []Action
	lastReported   RoleChanged

	role    Role
	term    Term
	vote    Replica
	leader  Replica
	log     entryLog
	commit  Index
	applied Index
	disk    disk

	// leaderContact is when a leader was last heard of, and electionAt when to
	// stand for election.
	leaderContact time.Time
	electionAt    time.Time
	resigned       bool

	ballot   ballot
	lead     leadership
	bootstrap    bootstrapState
	incoming incomingSnapshot
}

// New returns a machine with the state found on the disk.
func New(set Settings, st State) *Machine {
	ma := &Machine{
		set:  set,
		inc:  st.Incarnation,
		rng:  rand.New(rand.NewPCG(set.Seed, uint64(st.Incarnation))),
		role: Follower,
		term: st.HardState.Term,
		vote: st.HardState.Vote,
		log:  newEntryLog(st.Snapshot, st.Entries),
	}
	ma.set.Replicas = slices.Sorted(slices.Values(set.Replicas))
	ma.commit = min(max(st.HardState.Commit, st.Snapshot.Index), ma.log.last())
	ma.applied = st.Snapshot.Index
	ma.log.pruneVoters(ma.commit)
	ma.disk.stable, ma.disk.stableTerm = ma.log.last(), ma.term
	ma.refreshPeers()
	return ma
}

// Step handles an event and returns the actions to carry out, in order. The
// slice may be reused by the next Step.
func (ma *Machine) Step(now time.Time, ev Event) []Action {
	clear(ma.actions)
	ma.actions = ma.actions[:0]
	ma.now = now
	ma.start()
	switch ev := ev.(type) {
	case Receive:
		ma.receive(ev.Message)
	case Propose:
		ma.propose(ev)
	case Persisted:
		ma.persisted(ev.Number)
	case Compact:
		ma.compact(ev)
	case Transfer:
		ma.beginTransfer()
	case LiveReplicas:
		ma.live = slices.Clone(ev.Replicas)
	case Tick:
		ma.tick()
	}
	ma.finish()
	return ma.actions
}

// start sets the timers at the first event. A replica that may have
// acknowledged a leader before it restarted gives no vote until that leader's
// lease has run out.
func (ma *Machine) start() {
	if ma.started {
		return
	}
	ma.started = true
	ma.resetElectionTimer()
	if ma.blank() {
		return
	}
	if len(ma.peers) == 0 {
		ma.electionAt = ma.now
	}
	ma.leaderContact = ma.now
	if ma.log.snap.Index > 0 {
		ma.emit(Restore{ma.log.snap})
	}
}

// finish does what may be due after any event.
func (ma *Machine) finish() {
	ma.refreshPeers()
	if ma.role == Leader {
		ma.repairVoters()
		ma.refreshPeers()
		ma.replicate()
		ma.continueTransfer()
	}
	ma.apply()
	ma.persist()
	ma.reportRole()
}

func (ma *Machine) emit(ac Action) { ma.actions = append(ma.actions, ac) }

func (ma *Machine) tick() {
	switch {
	case ma.role == Leader:
		ma.checkQuorum()
	case ma.blank():
		ma.queryBlank()
	case !ma.now.Before(ma.electionAt):
		ma.campaign(true, false)
	}
}

// blank reports whether the replica holds nothing and has promised nothing.
func (ma *Machine) blank() bool { return ma.term == 0 && ma.log.last() == 0 }

// voter reports whether the replica's own vote counts.
func (ma *Machine) voter() bool { return ma.log.agreedVoters()[ma.set.ID] == ma.inc }

// refreshPeers finds the replicas that messages are exchanged with.
func (ma *Machine) refreshPeers() {
	ma.peers = ma.peers[:0]
	add := func(id Replica) {
		if id != ma.set.ID && !slices.Contains(ma.peers, id) {
			ma.peers = append(ma.peers, id)
		}
	}
	for _, ch := range ma.log.changes {
		for id := range ch.voters {
			add(id)
		}
	}
	if len(ma.log.changes) == 0 {
		for _, id := range ma.set.Replicas {
			add(id)
		}
	}
	for _, id := range ma.live {
		add(id)
	}
	slices.Sort(ma.peers)
	if ma.role == Leader {
		ma.lead.trackPeers(ma)
	}
}

func (ma *Machine) resetElectionTimer() {
	ma.electionAt = ma.now.Add(ma.set.ElectionTimeout + ma.randomBelow(ma.set.ElectionTimeout))
}

func (ma *Machine) randomBelow(below time.Duration) time.Duration {
	return time.Duration(ma.rng.Int64N(int64(below)))
}

// becomeFollower enters a term, or leaves the role of a leader or candidate in the
// present one.
func (ma *Machine) becomeFollower(term Term, leader Replica) {
	if term > ma.term {
		ma.term, ma.vote = term, ""
		ma.disk.dirty = true
		ma.disk.held = ma.disk.held[:0]
	}
	if ma.role == Leader {
		ma.apply()
		ma.lead.rejectPending(ma, ErrOutcomeUnknown, leader)
		ma.resetElectionTimer()
	}
	ma.role, ma.leader = Follower, leader
}

// setCommit moves the commit index. Voters are saved with it at once, since
// after a restart only the voters that are known to be committed count.
func (ma *Machine) setCommit(i Index) {
	if i <= ma.commit {
		return
	}
	before := len(ma.log.changes)
	ma.commit = i
	ma.log.pruneVoters(i)
	if len(ma.log.changes) != before {
		ma.disk.dirty = true
		ma.lead.broadcast = true
	}
}

// apply hands committed entries to the state machine.
func (ma *Machine) apply() {
	for ma.applied < ma.commit {
		ma.applied++
		en := ma.log.entry(ma.applied)
		pr := ma.lead.takeProposal(en)
		if en.Kind == DataEntry {
			ma.emit(Apply{Entry: en, Proposal: pr})
		}
	}
}

func (ma *Machine) reportRole() {
	now := RoleChanged{Role: ma.reportedRole(), Term: ma.term, Leader: ma.leader}
	if now != ma.lastReported {
		ma.lastReported = now
		ma.emit(now)
	}
}

func (ma *Machine) reportedRole() Role {
	if ma.role == Follower && !ma.voter() {
		return Learner
	}
	return ma.role
}

// Status describes a machine.
type Status struct {
	Role   Role
	Term   Term
	Leader Replica
	Commit Index
	Last   Index
	// Snapshot is the index of the latest snapshot.
	Snapshot Index
}

// Status returns the machine's state.
func (ma *Machine) Status() Status {
	return Status{
		Role: ma.reportedRole(), Term: ma.term, Leader: ma.leader,
		Commit: ma.commit, Last: ma.log.last(), Snapshot: ma.log.snap.Index,
	}
}
