package quorum

import "time"

// ballot holds the votes for a candidate.
type ballot struct {
	pre      bool
	transfer bool
	// granted maps each replica that granted its vote to its incarnation.
	granted map[Replica]Incarnation
	// begun is when the election began. saving is the number of the Persist with the candidate's own
	// vote until that is done, and then 0.
	begun  time.Time
	saving uint64
	// askAt is when those that have not granted their votes are asked again.
	askAt time.Time
}

// voteSaved gives the others time to save their votes, of which nothing is known but how long the
// candidate's own took. Without it an election on slow disks would be repeated before it ends.
func (ma *Machine) voteSaved(number uint64) {
	ba := &ma.ballot
	if ma.role != Candidate || ba.saving == 0 || number < ba.saving {
		return
	}
	ba.saving, ba.askAt = 0, ma.now.Add(ma.set.ElectionTimeout)
	ma.electionAt = ma.now.Add(2*ma.now.Sub(ba.begun) + ma.set.ElectionTimeout/4 + ma.randomBelow(ma.set.ElectionTimeout/2))
}

// repeatVoteRequests asks those again that have not granted their votes. The election lasts as long as
// slow disks need, and a request that was lost would not be made up for before the next one. A vote
// that was granted is granted again.
func (ma *Machine) repeatVoteRequests() {
	ma.ballot.askAt = ma.now.Add(ma.set.ElectionTimeout)
	for _, id := range ma.peers {
		if _, granted := ma.ballot.granted[id]; !granted {
			ma.requestVote(id)
		}
	}
}

// campaign starts an election for this replica. If pre is set it starts a pre-vote, so
// that a replica that was cut off does not raise the term of the others when it cannot
// win. transfer is set if the leader asked for the election. A failed election is
// repeated after a quarter to three quarters of the election timeout, and not while the replica's
// own vote is being saved.
func (ma *Machine) campaign(pre, transfer bool) {
	ma.electionAt = ma.now.Add(ma.set.ElectionTimeout/4 + ma.randomBelow(ma.set.ElectionTimeout/2))
	if ma.resigned || ma.disk.failed || !ma.voter() {
		return
	}
	ma.role, ma.leader = Candidate, ""
	ma.ballot = ballot{pre: pre, transfer: transfer, granted: map[Replica]Incarnation{ma.set.ID: ma.inc}, begun: ma.now}
	if !pre {
		ma.term++
		ma.vote = ma.set.ID
		ma.disk.dirty = true
		ma.disk.held = ma.disk.held[:0]
		ma.ballot.saving = ma.disk.number + 1
	}
	if ma.countVotes() {
		return
	}
	for _, id := range ma.peers {
		ma.requestVote(id)
	}
}

// requestVote asks a replica for its vote. A real vote is requested only after the
// candidate's own vote is on its disk.
func (ma *Machine) requestVote(id Replica) {
	vr := &VoteRequest{
		Header:    ma.headerTo(id),
		Pre:       ma.ballot.pre,
		LastIndex: ma.log.last(),
		LastTerm:  ma.log.lastTerm(),
		Transfer:  ma.ballot.transfer,
	}
	if vr.Pre {
		vr.Term++
		ma.emit(Send{vr})
		return
	}
	ma.sendSynced(vr)
}

// countVotes reports whether the election is won. If it was a pre-vote, countVotes then
// starts the vote, and otherwise it makes this replica the leader. A win needs a majority of
// the voters in force and of the voters of every later change.
func (ma *Machine) countVotes() bool {
	if len(ma.log.changes) == 0 {
		return false
	}
	for _, vc := range ma.log.changes {
		counted := 0
		for id, inc := range vc.voters {
			if got, ok := ma.ballot.granted[id]; ok && got == inc {
				counted++
			}
		}
		if counted < vc.voters.majority() {
			return false
		}
	}
	if ma.ballot.pre {
		ma.campaign(false, false)
	} else {
		ma.becomeLeader()
	}
	return true
}

// receiveVoteRequest answers a request for a vote or pre-vote.
func (ma *Machine) receiveVoteRequest(vr *VoteRequest) {
	va := &VoteAnswer{Header: ma.answerTo(&vr.Header), Pre: vr.Pre}
	if vr.Pre {
		va.Refused = vr.Term <= ma.term || ma.leaderAlive() || !ma.upToDate(vr)
		if !va.Refused {
			va.Term = vr.Term
		}
		ma.emit(Send{va})
		return
	}
	free := ma.vote == "" || ma.vote == vr.From
	va.Refused = vr.Term < ma.term || !free || ma.role == Leader || !ma.upToDate(vr)
	if !va.Refused && ma.vote == "" {
		ma.vote = vr.From
		ma.disk.dirty = true
		ma.resetElectionTimer()
	}
	ma.sendSynced(va)
}

// receiveVoteAnswer counts a granted vote of the current election.
func (ma *Machine) receiveVoteAnswer(va *VoteAnswer) {
	if ma.role != Candidate || va.Pre != ma.ballot.pre || va.Refused {
		return
	}
	if want := ma.term + Term(bit(va.Pre)); va.Term != want {
		return
	}
	ma.ballot.granted[va.From] = va.Incarnation
	ma.countVotes()
}

// upToDate reports whether the candidate's log holds every entry of this log that may be
// committed.
func (ma *Machine) upToDate(vr *VoteRequest) bool {
	term := ma.log.lastTerm()
	return vr.LastTerm > term || vr.LastTerm == term && vr.LastIndex >= ma.log.last()
}

// leaderAlive reports whether a leader may hold a lease that rests on an acknowledgement
// of this replica.
func (ma *Machine) leaderAlive() bool {
	if ma.role == Leader {
		return true
	}
	return !ma.leaderContact.IsZero() && ma.now.Sub(ma.leaderContact) < ma.set.ElectionTimeout
}

// bit returns 1 if set is true, and else 0.
func bit(set bool) int {
	if set {
		return 1
	}
	return 0
}
