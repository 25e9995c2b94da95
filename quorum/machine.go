package quorum

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Machine is the state of one replica of the log.
type Machine struct {
	set Settings
	inc Incarnation
	rng *rand.Rand
	// live are the replicas of the last LiveReplicas event. peers are all replicas that
	// this one exchanges messages with: voters, bootstrap replicas and live ones.
	live  []Replica
	peers []Replica
	// domains holds the known failure domains.
	domains map[Replica]FailureDomain

	now     time.Time
	started bool
	actions []Action
	// lastReported is the last RoleChanged that was emitted.
	lastReported RoleChanged

	role    Role
	term    Term
	vote    Replica
	leader  Replica
	log     entryLog
	commit  Index
	applied Index
	disk    disk

	// leaderContact is when a leader was last heard from, and electionAt when to stand
	// for election.
	leaderContact time.Time
	electionAt    time.Time
	// resigned is set once a Transfer was requested. The replica does not stand for
	// election again.
	resigned bool

	ballot    ballot
	lead      leadership
	bootstrap bootstrapState
	incoming  incomingSnapshot
}

// New returns a machine with the state read from the disk.
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

// Step handles an event and returns the actions to carry out, in order. The next Step may
// reuse the slice.
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
	case PersistFailed:
		ma.persistFailed(ev.Number)
	case Compact:
		ma.compact(ev)
	case Transfer:
		ma.beginTransfer()
	case LiveReplicas:
		ma.live = slices.Clone(ev.Replicas)
		ma.noteDomains(ev.Domains)
	case Tick:
		ma.tick()
	}
	ma.finish()
	return ma.actions
}

// start sets the timers at the first event. A replica that may have acknowledged a leader
// before it restarted counts that leader as alive, and so grants no vote until its lease
// has run out.
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

// finish does the work that any event may have made due.
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

// emit adds an action to those that Step returns.
func (ma *Machine) emit(ac Action) { ma.actions = append(ma.actions, ac) }

// tick checks the timers of the current role.
func (ma *Machine) tick() {
	switch {
	case ma.role == Leader:
		ma.checkQuorum()
	case ma.blank():
		ma.queryBlank()
	case ma.role == Candidate && ma.ballot.saving != 0:
	case !ma.now.Before(ma.electionAt):
		ma.campaign(true, false)
	case ma.role == Candidate && !ma.ballot.pre && !ma.now.Before(ma.ballot.askAt):
		ma.repeatVoteRequests()
	}
}

// blank reports whether the replica holds no entries and has taken part in no election.
func (ma *Machine) blank() bool { return ma.term == 0 && ma.log.last() == 0 }

// voter reports whether the vote of this incarnation counts.
func (ma *Machine) voter() bool { return ma.log.agreedVoters()[ma.set.ID] == ma.inc }

// refreshPeers collects the replicas that this one exchanges messages with.
func (ma *Machine) refreshPeers() {
	ma.peers = ma.peers[:0]
	add := func(id Replica) {
		if id != ma.set.ID && !slices.Contains(ma.peers, id) {
			ma.peers = append(ma.peers, id)
		}
	}
	for _, vc := range ma.log.changes {
		for id := range vc.voters {
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

// resetElectionTimer sets electionAt to a random time after the election timeout.
func (ma *Machine) resetElectionTimer() {
	ma.electionAt = ma.now.Add(ma.set.ElectionTimeout + ma.randomBelow(ma.set.ElectionTimeout))
}

// randomBelow returns a random duration in [0, below).
func (ma *Machine) randomBelow(below time.Duration) time.Duration {
	return time.Duration(ma.rng.Int64N(int64(below)))
}

// becomeFollower moves to a later term, or gives up the role of leader or candidate in
// the current one. A later term drops the messages that wait for the disk. The pending
// proposals of a leader are rejected with ErrOutcomeUnknown.
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

// setCommit advances the commit index. If that commits new voters, the index is persisted
// and sent to the peers at once, since after a restart only voters known to be committed
// count.
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

// apply emits an Apply for each newly committed DataEntry.
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

// reportRole emits a RoleChanged if the role, the term or the leader has changed.
func (ma *Machine) reportRole() {
	now := RoleChanged{Role: ma.reportedRole(), Term: ma.term, Leader: ma.leader}
	if now != ma.lastReported {
		ma.lastReported = now
		ma.emit(now)
	}
}

// reportedRole returns the role, which is Learner for a follower whose vote does not
// count.
func (ma *Machine) reportedRole() Role {
	if ma.role == Follower && !ma.voter() {
		return Learner
	}
	return ma.role
}

// Status describes the state of a machine. Commit is the commit index, and Last the index
// of the last entry.
type Status struct {
	Role   Role
	Term   Term
	Leader Replica
	Commit Index
	Last   Index
	// Snapshot is the index of the latest snapshot.
	Snapshot Index
}

// Status returns the current state of the machine.
func (ma *Machine) Status() Status {
	return Status{
		Role: ma.reportedRole(), Term: ma.term, Leader: ma.leader,
		Commit: ma.commit, Last: ma.log.last(), Snapshot: ma.log.snap.Index,
	}
}
