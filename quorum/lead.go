package quorum

import (
	"cmp"
	"slices"
	"time"
)

// leadership is the state of a leader.
type leadership struct {
	since time.Time
	// first is the index of the empty entry that began the term, and data
	// the last one before it that the state machine is told of.
	first, data Index
	peers       map[Replica]*peer
	// waiting are the proposals that are not committed yet, in the order of
	// their indexes.
	waiting []waiting
	bytes   int
	// broadcast asks for a message to everybody without delay.
	broadcast bool
	transfer  transfer
}

// waiting is a proposal that was appended.
type waiting struct {
	index    Index
	proposal Proposal
	bytes    int
}

// take returns the proposal that waits for an entry, or 0.
func (le *leadership) take(en Entry) Proposal {
	if len(le.waiting) == 0 || le.waiting[0].index != en.Index {
		return 0
	}
	wa := le.waiting[0]
	le.waiting = le.waiting[1:]
	le.bytes -= wa.bytes
	return wa.proposal
}

// reject ends all proposals that wait.
func (le *leadership) reject(ma *Machine, err error, leader Replica) {
	for _, wa := range le.waiting {
		ma.act(Rejected{Proposal: wa.proposal, Err: err, Leader: leader})
	}
	*le = leadership{}
}

func (ma *Machine) becomeLeader() {
	ma.role, ma.leader = Leader, ma.set.ID
	ma.lead = leadership{
		since: ma.now, first: ma.log.last() + 1, data: ma.log.lastData(),
		peers: make(map[Replica]*peer),
	}
	ma.lead.meet(ma)
	ma.appendOwn(Entry{Kind: EmptyEntry})
	ma.lead.broadcast = true
}

// meet begins to follow the peers that are new.
func (le *leadership) meet(ma *Machine) {
	for _, id := range ma.peers {
		if le.peers[id] == nil {
			le.peers[id] = &peer{next: ma.log.last() + 1, probing: true, contact: le.since}
		}
	}
}

func (ma *Machine) appendOwn(en Entry) Index {
	en.Index, en.Term = ma.log.last()+1, ma.term
	ma.log.append(en)
	ma.disk.touch(en.Index)
	return en.Index
}

func (ma *Machine) propose(pr Propose) {
	err := error(nil)
	switch {
	case ma.role != Leader || ma.lead.transfer.active:
		err = ErrNotLeader
	case ma.lead.bytes+len(pr.Data) > ma.set.MaxUncommittedBytes:
		err = ErrFull
	}
	if err != nil {
		ma.act(Rejected{Proposal: pr.Proposal, Err: err, Leader: ma.leader})
		return
	}
	i := ma.appendOwn(Entry{Kind: DataEntry, Data: pr.Data})
	ma.lead.waiting = append(ma.lead.waiting, waiting{i, pr.Proposal, len(pr.Data)})
	ma.lead.bytes += len(pr.Data)
}

// advance commits what a quorum has on its disks. Entries of earlier terms
// are committed with the first one of this term.
func (ma *Machine) advance() {
	for {
		i, ok := quorumOf(ma, func(id Replica) Index {
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

// quorumOf returns the highest value that most voters have reached, those in
// force and those of every later change: a change that is not committed yet may
// be, or may not. So two majorities overlap whatever the change is. This is
// joint consensus with one entry, as only the old and the new voters together
// commit the change (Ongaro, "Consensus: Bridging Theory and Practice", 4.3).
func quorumOf[T any](ma *Machine, value func(Replica) T, compare func(a, b T) int) (T, bool) {
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

// acknowledged returns the send time of the latest messages that a quorum
// acknowledged.
func (ma *Machine) acknowledged() (time.Time, bool) {
	return quorumOf(ma, func(id Replica) time.Time {
		if id == ma.set.ID {
			return ma.now
		}
		return ma.lead.peers[id].acked
	}, time.Time.Compare)
}

// Lease returns the time until which the machine is the leader with a lease
// that a quorum confirmed, and the index up to which the state machine must
// have carried out Apply and Restore before its content may be presented as
// current. The time is zero for others.
func (ma *Machine) Lease() (until time.Time, applied Index) {
	if ma.role != Leader || ma.lead.transfer.active || ma.commit < ma.lead.first {
		return time.Time{}, 0
	}
	at, ok := ma.acknowledged()
	if !ok || at.IsZero() {
		return time.Time{}, 0
	}
	return at.Add(ma.set.Lease), ma.lead.data
}

// HasLease reports whether the machine holds a lease at now.
func (ma *Machine) HasLease(now time.Time) bool {
	until, _ := ma.Lease()
	return now.Before(until)
}

// checkQuorum steps down when the others have not been heard of for the time
// after which they may have elected another leader.
func (ma *Machine) checkQuorum() {
	at, ok := ma.acknowledged()
	if !ok || at.Before(ma.lead.since) {
		at = ma.lead.since
	}
	if ma.now.Sub(at) >= 2*ma.set.ElectionTimeout {
		ma.follow(ma.term, "")
	}
}

// transfer is a leadership transfer that is under way.
type transfer struct {
	active bool
	sent   bool
	target Replica
	until  time.Time
}

// transfer begins to hand over the leadership, and keeps the replica from
// being elected again.
func (ma *Machine) transfer() {
	ma.leaving = true
	if ma.role != Leader || ma.lead.transfer.active {
		return
	}
	ma.lead.transfer = transfer{active: true, until: ma.now.Add(ma.set.ElectionTimeout)}
}

// handover sends the request to stand for election once everything is
// committed and the target has it. The leader gives up in any case when the
// time is over: having asked, it can't rely on its lease in this term again.
func (ma *Machine) handover() {
	tr := &ma.lead.transfer
	if !tr.active {
		return
	}
	if !ma.now.Before(tr.until) {
		ma.follow(ma.term, "")
		return
	}
	if tr.sent || ma.commit < ma.log.last() {
		return
	}
	if len(ma.peers) == 0 {
		ma.follow(ma.term, "")
		return
	}
	for _, id := range ma.peers {
		pe := ma.lead.peers[id]
		if pe.match == ma.log.last() && ma.log.agreed()[id] == pe.inc && ma.now.Sub(pe.contact) < ma.set.ElectionTimeout {
			tr.sent, tr.target = true, id
			ma.act(Send{&StartElection{ma.headerTo(id)}})
			return
		}
	}
}
