package quorum

import (
	"cmp"
	"slices"
	"time"
)

// leadership is the state of a leader.
type leadership struct {
	since time.Time
	// termStart is the index of the empty entry that began the term, and lastData
	// the last one before it that the state machine is told of.
	termStart, lastData Index
	peers       map[Replica]*peer
	// pending are the proposals that are not committed yet, in the order of
	// their indexes.
	pending []pendingProposal
	pendingBytes   int
	// broadcast asks for a message to everybody without delay.
	broadcast bool
	transfer  leadershipTransfer
}

// pendingProposal is a proposal that was appended.
type pendingProposal struct {
	index    Index
	proposal Proposal
	bytes    int
}

// takeProposal returns the proposal that waits for an entry, or 0.
func (le *leadership) takeProposal(en Entry) Proposal {
	if len(le.pending) == 0 || le.pending[0].index != en.Index {
		return 0
	}
	wa := le.pending[0]
	le.pending = le.pending[1:]
	le.pendingBytes -= wa.bytes
	return wa.proposal
}

// rejectPending ends all proposals that wait.
func (le *leadership) rejectPending(ma *Machine, err error, leader Replica) {
	for _, wa := range le.pending {
		ma.emit(Rejected{Proposal: wa.proposal, Err: err, Leader: leader})
	}
	*le = leadership{}
}

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

// trackPeers begins to follow the peers that are new.
func (le *leadership) trackPeers(ma *Machine) {
	for _, id := range ma.peers {
		if le.peers[id] == nil {
			le.peers[id] = &peer{next: ma.log.last() + 1, probing: true, lastContact: le.since}
		}
	}
}

func (ma *Machine) appendEntry(en Entry) Index {
	en.Index, en.Term = ma.log.last()+1, ma.term
	ma.log.append(en)
	ma.disk.markChanged(en.Index)
	return en.Index
}

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

// advanceCommit commits what a quorum has on its disks. Entries of earlier terms
// are committed with the first one of this term.
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

// quorumValue returns the highest value that most voters have reached, those in
// force and those of every later change: a change that is not committed yet may
// be, or may not. So two majorities overlap whatever the change is. This is
// joint consensus with one entry, as only the old and the new voters together
// commit the change (Ongaro, "Consensus: Bridging Theory and Practice", 4.3).
func quorumValue[T any](ma *Machine, value func(Replica) T, compare func(a, b T) int) (T, bool) {
	var least T
	for n, ch := range ma.log.changes {
		var values []T
		for id, inc := range ch.voters {
			if id == ma.set.ID && inc == ma.inc || id != ma.set.ID && ma.lead.incarnation(id) == inc {
				values = append(values, value(id))
			}
		}
		if len(values) < ch.voters.majority() {
			var none T
			return none, false
		}
		slices.SortFunc(values, compare)
		reached := values[len(values)-ch.voters.majority()]
		if n == 0 || compare(reached, least) < 0 {
			least = reached
		}
	}
	return least, len(ma.log.changes) > 0
}

// incarnation returns the incarnation of a peer that answered, or 0.
func (le *leadership) incarnation(id Replica) Incarnation {
	if pe := le.peers[id]; pe != nil {
		return pe.inc
	}
	return 0
}

// quorumAckedSend returns the send time of the latest messages that a quorum
// quorumAckedSend.
func (ma *Machine) quorumAckedSend() (time.Time, bool) {
	return quorumValue(ma, func(id Replica) time.Time {
		if id == ma.set.ID {
			return ma.now
		}
		return ma.lead.peers[id].ackedSend
	}, time.Time.Compare)
}

// Lease returns the time until which the machine is the leader with a lease
// that a quorum confirmed, and the index up to which the state machine must
// have carried out Apply and Restore before its content may be presented as
// current. The time is zero for others.
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

// checkQuorum steps down when the others have not been heard of for the time
// after which they may have elected another leader.
func (ma *Machine) checkQuorum() {
	at, ok := ma.quorumAckedSend()
	if !ok || at.Before(ma.lead.since) {
		at = ma.lead.since
	}
	if ma.now.Sub(at) >= 2*ma.set.ElectionTimeout {
		ma.becomeFollower(ma.term, "")
	}
}

// leadershipTransfer is a leadership leadershipTransfer that is under way.
type leadershipTransfer struct {
	active bool
	sent   bool
	target Replica
	until  time.Time
}

// beginTransfer begins to hand over the leadership, and keeps the replica from
// being elected again.
func (ma *Machine) beginTransfer() {
	ma.resigned = true
	if ma.role != Leader || ma.lead.transfer.active {
		return
	}
	ma.lead.transfer = leadershipTransfer{active: true, until: ma.now.Add(ma.set.ElectionTimeout)}
}

// continueTransfer sends the request to stand for election once everything is
// committed and the target has it. The leader gives up in any case when the
// time is over: having asked, it can't rely on its lease in this term again.
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
		pe := ma.lead.peers[id]
		if pe.match == ma.log.last() && ma.log.agreedVoters()[id] == pe.inc && ma.now.Sub(pe.lastContact) < ma.set.ElectionTimeout {
			tr.sent, tr.target = true, id
			ma.emit(Send{&StartElection{ma.headerTo(id)}})
			return
		}
	}
}
