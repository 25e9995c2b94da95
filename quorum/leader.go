package quorum

import (
	"cmp"
	"slices"
	"time"
)

// leadership is the state of a leader in its term.
type leadership struct {
	// since is when the term began.
	since time.Time
	// termStart is the index of the empty entry that began the term, and lastData that of
	// the last entry before it that the state machine applies.
	termStart, lastData Index
	peers               map[Replica]*peer
	// pending holds the proposals that are not committed, in the order of their indexes.
	pending []pendingProposal
	// pendingBytes is the total size of their data.
	pendingBytes int
	// broadcast is set if every peer has to get a message without waiting for the next
	// heartbeat.
	broadcast bool
	transfer  leadershipTransfer
}

// pendingProposal is a proposal that was appended and is not committed.
type pendingProposal struct {
	index    Index
	proposal Proposal
	bytes    int
}

// takeProposal removes and returns the proposal of a committed entry, or returns 0 if it
// has none.
func (le *leadership) takeProposal(en Entry) Proposal {
	if len(le.pending) == 0 || le.pending[0].index != en.Index {
		return 0
	}
	pp := le.pending[0]
	le.pending = le.pending[1:]
	le.pendingBytes -= pp.bytes
	return pp.proposal
}

// rejectPending rejects all pending proposals and resets the state of the leader.
func (le *leadership) rejectPending(ma *Machine, err error, leader Replica) {
	for _, pp := range le.pending {
		ma.emit(Rejected{Proposal: pp.proposal, Err: err, Leader: leader})
	}
	*le = leadership{}
}

// becomeLeader begins the term with an empty entry, since entries of earlier terms are
// committed only together with one of this term.
func (ma *Machine) becomeLeader() {
	ma.role, ma.leader = Leader, ma.set.ID
	ma.lead = leadership{
		since: ma.now, termStart: ma.log.last() + 1, lastData: ma.log.lastData(),
		peers: make(map[Replica]*peer),
	}
	ma.lead.trackPeers(ma)
	ma.appendEntry(Entry{Kind: EmptyEntry})
	ma.lead.broadcast = true
}

// trackPeers adds a peer for each replica that has none.
func (le *leadership) trackPeers(ma *Machine) {
	for _, id := range ma.peers {
		if le.peers[id] == nil {
			le.peers[id] = &peer{next: ma.log.last() + 1, probing: true, lastContact: le.since}
		}
	}
}

// appendEntry appends an entry of this leader and returns its index.
func (ma *Machine) appendEntry(en Entry) Index {
	en.Index, en.Term = ma.log.last()+1, ma.term
	ma.log.append(en)
	ma.disk.markChanged(en.Index)
	return en.Index
}

// propose appends a proposal or rejects it.
func (ma *Machine) propose(pr Propose) {
	err := error(nil)
	switch {
	case ma.role != Leader || ma.lead.transfer.active:
		err = ErrNotLeader
	case ma.lead.pendingBytes+len(pr.Data) > ma.set.MaxUncommittedBytes:
		err = ErrFull
	}
	if err != nil {
		ma.emit(Rejected{Proposal: pr.Proposal, Err: err, Leader: ma.leader})
		return
	}
	i := ma.appendEntry(Entry{Kind: DataEntry, Data: pr.Data})
	ma.lead.pending = append(ma.lead.pending, pendingProposal{i, pr.Proposal, len(pr.Data)})
	ma.lead.pendingBytes += len(pr.Data)
}

// advanceCommit commits the entries that a quorum has on its disks. Entries of earlier
// terms are committed only with the first one of this term: another leader could still
// overwrite them.
func (ma *Machine) advanceCommit() {
	for {
		i, ok := quorumValue(ma, func(id Replica) Index {
			if id == ma.set.ID {
				return ma.disk.stable
			}
			return ma.lead.peers[id].match
		}, cmp.Compare[Index])
		if !ok || i <= ma.commit || ma.log.term(i) != ma.term {
			return
		}
		ma.setCommit(i)
	}
}

// quorumValue returns the highest value that a majority has reached, among the voters in
// force and among the voters of every later change. A change that is not committed may or
// may not take effect, and majorities overlap in both cases. This is joint consensus with
// one entry, since the old and the new voters together commit the change (Ongaro,
// "Consensus: Bridging Theory and Practice", 4.3). It returns false if too few voters
// have answered.
func quorumValue[T any](ma *Machine, value func(Replica) T, compare func(a, b T) int) (T, bool) {
	var least T
	for n, vc := range ma.log.changes {
		var values []T
		for id, inc := range vc.voters {
			if id == ma.set.ID && inc == ma.inc || id != ma.set.ID && ma.lead.incarnation(id) == inc {
				values = append(values, value(id))
			}
		}
		if len(values) < vc.voters.majority() {
			var none T
			return none, false
		}
		slices.SortFunc(values, compare)
		reached := values[len(values)-vc.voters.majority()]
		if n == 0 || compare(reached, least) < 0 {
			least = reached
		}
	}
	return least, len(ma.log.changes) > 0
}

// incarnation returns the incarnation in which a peer answered, or 0 if it has not
// answered.
func (le *leadership) incarnation(id Replica) Incarnation {
	if pe := le.peers[id]; pe != nil {
		return pe.inc
	}
	return 0
}

// quorumAckedSend returns the latest send time such that a quorum has acknowledged
// messages sent at or after it.
func (ma *Machine) quorumAckedSend() (time.Time, bool) {
	return quorumValue(ma, func(id Replica) time.Time {
		if id == ma.set.ID {
			return ma.now
		}
		return ma.lead.peers[id].ackedSend
	}, time.Time.Compare)
}

// Lease returns the time until which this machine holds the leader lease, and the index
// up to which the state machine must have handled Apply and Restore before its content
// may be presented as current. The time is zero if the machine holds no lease.
func (ma *Machine) Lease() (until time.Time, applied Index) {
	if ma.role != Leader || ma.lead.transfer.active || ma.commit < ma.lead.termStart {
		return time.Time{}, 0
	}
	at, ok := ma.quorumAckedSend()
	if !ok || at.IsZero() {
		return time.Time{}, 0
	}
	return at.Add(ma.set.Lease), ma.lead.lastData
}

// HasLease reports whether the machine holds a lease at now.
func (ma *Machine) HasLease(now time.Time) bool {
	until, _ := ma.Lease()
	return now.Before(until)
}

// checkQuorum makes a leader step down if no quorum has acknowledged it for twice the
// election timeout. The others may have elected another leader by then.
func (ma *Machine) checkQuorum() {
	at, ok := ma.quorumAckedSend()
	if !ok || at.Before(ma.lead.since) {
		at = ma.lead.since
	}
	if ma.now.Sub(at) >= 2*ma.set.ElectionTimeout {
		ma.becomeFollower(ma.term, "")
	}
}

// leadershipTransfer is the state of a leadership transfer. sent is set once target was
// asked to stand for election, and until is when the leader steps down in any case.
type leadershipTransfer struct {
	active bool
	sent   bool
	target Replica
	until  time.Time
}

// beginTransfer starts a leadership transfer, and stops this replica from standing for
// election again.
func (ma *Machine) beginTransfer() {
	ma.resigned = true
	if ma.role != Leader || ma.lead.transfer.active {
		return
	}
	ma.lead.transfer = leadershipTransfer{active: true, until: ma.now.Add(ma.set.ElectionTimeout)}
}

// continueTransfer asks a replica that holds the whole log to stand for election, once
// everything is committed. At the end of the time limit the leader steps down in any
// case: after the request it can no longer rely on its lease in this term.
func (ma *Machine) continueTransfer() {
	tr := &ma.lead.transfer
	if !tr.active {
		return
	}
	if !ma.now.Before(tr.until) {
		ma.becomeFollower(ma.term, "")
		return
	}
	if tr.sent || ma.commit < ma.log.last() {
		return
	}
	if len(ma.peers) == 0 {
		ma.becomeFollower(ma.term, "")
		return
	}
	for _, id := range ma.peers {
		if ma.electable(id) && ma.lead.peers[id].match == ma.log.last() {
			tr.sent, tr.target = true, id
			ma.emit(Send{&StartElection{ma.headerTo(id)}})
			return
		}
	}
}

// electable reports whether a peer is a voter and was heard from recently.
func (ma *Machine) electable(id Replica) bool {
	pe := ma.lead.peers[id]
	return pe.inc != 0 && ma.log.agreedVoters()[id] == pe.inc && ma.now.Sub(pe.lastContact) < ma.set.ElectionTimeout
}

// handOver asks the voter that holds the most entries to stand for election. Unlike a
// transfer it does not wait until everything is committed: the leader has to step down next.
func (ma *Machine) handOver() {
	best := Replica("")
	for _, id := range ma.peers {
		if ma.electable(id) && (best == "" || ma.lead.peers[id].match > ma.lead.peers[best].match) {
			best = id
		}
	}
	if best != "" {
		ma.emit(Send{&StartElection{ma.headerTo(best)}})
	}
}

// Progress is how far a replica follows the log, as the leader knows it.
type Progress struct {
	Replica Replica
	// Match is the last index known to be on the disk of the replica.
	Match Index
	// LastContact is the time of its last answer, or of the begin of the term if it has not
	// answered.
	LastContact time.Time
}

// Progress returns the progress of all other replicas, or nil unless this one leads.
func (ma *Machine) Progress() []Progress {
	if ma.role != Leader {
		return nil
	}
	list := make([]Progress, 0, len(ma.peers))
	for _, id := range ma.peers {
		if pe := ma.lead.peers[id]; pe != nil {
			list = append(list, Progress{Replica: id, Match: pe.match, LastContact: pe.lastContact})
		}
	}
	return list
}
