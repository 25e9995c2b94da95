package quorum

// ballot counts the votes for a candidate.
type ballot struct {
	pre      bool
	transfer bool
	granted    map[Replica]Incarnation
}

// campaign stands for election. With pre set it first asks whether it would
// win, so that a replica which was cut off does not disturb the others. If
// nobody wins it tries again sooner than the election timeout.
func (ma *Machine) campaign(pre, transfer bool) {
	ma.electionAt = ma.now.Add(ma.set.ElectionTimeout/4 + ma.randomBelow(ma.set.ElectionTimeout/2))
	if ma.resigned || !ma.voter() {
		return
	}
	ma.role, ma.leader = Candidate, ""
	ma.ballot = ballot{pre: pre, transfer: transfer, granted: map[Replica]Incarnation{ma.set.ID: ma.inc}}
	if !pre {
		ma.term++
		ma.vote = ma.set.ID
		ma.disk.dirty = true
		ma.disk.held = ma.disk.held[:0]
	}
	if ma.countVotes() {
		return
	}
	for _, id := range ma.peers {
		ma.requestVote(id)
	}
}

func (ma *Machine) requestVote(id Replica) {
	vo := &VoteRequest{
		Header:    ma.headerTo(id),
		Pre:       ma.ballot.pre,
		LastIndex: ma.log.last(),
		LastTerm:  ma.log.lastTerm(),
		Transfer:  ma.ballot.transfer,
	}
	if vo.Pre {
		vo.Term++
		ma.emit(Send{vo})
		return
	}
	ma.sendSynced(vo)
}

// countVotes goes on if most voters have given their votes, those in force and
// those of every later change, and reports whether it did.
func (ma *Machine) countVotes() bool {
	if len(ma.log.changes) == 0 {
		return false
	}
	for _, ch := range ma.log.changes {
		counted := 0
		for id, inc := range ch.voters {
			if got, ok := ma.ballot.granted[id]; ok && got == inc {
				counted++
			}
		}
		if counted < ch.voters.majority() {
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

func (ma *Machine) receiveVoteRequest(vo *VoteRequest) {
	va := &VoteAnswer{Header: ma.answerTo(&vo.Header), Pre: vo.Pre}
	if vo.Pre {
		va.Refused = vo.Term <= ma.term || ma.leaderAlive() || !ma.upToDate(vo)
		if !va.Refused {
			va.Term = vo.Term
		}
		ma.emit(Send{va})
		return
	}
	free := ma.vote == "" || ma.vote == vo.From
	va.Refused = vo.Term < ma.term || !free || ma.role == Leader || !ma.upToDate(vo)
	if !va.Refused && ma.vote == "" {
		ma.vote = vo.From
		ma.disk.dirty = true
		ma.resetElectionTimer()
	}
	ma.sendSynced(va)
}

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

// upToDate reports whether the candidate's log holds all that this one can
// have seen committed.
func (ma *Machine) upToDate(vo *VoteRequest) bool {
	term := ma.log.lastTerm()
	return vo.LastTerm > term || vo.LastTerm == term && vo.LastIndex >= ma.log.last()
}

// leaderAlive reports whether a leader may hold a lease that this replica
// confirmed.
func (ma *Machine) leaderAlive() bool {
	if ma.role == Leader {
		return true
	}
	return !ma.leaderContact.IsZero() && ma.now.Sub(ma.leaderContact) < ma.set.ElectionTimeout
}

func bit(set bool) int {
	if set {
		return 1
	}
	return 0
}
