package quorum

// receive handles a message of another replica, and drops messages for another replica or
// another incarnation of this one.
func (ma *Machine) receive(msg Message) {
	he := msg.header()
	if he.To != ma.set.ID || he.From == ma.set.ID {
		return
	}
	if he.ToIncarnation != 0 && he.ToIncarnation != ma.inc {
		return
	}
	switch msg := msg.(type) {
	case *BootstrapQuery:
		ma.receiveBootstrapQuery(msg)
		return
	case *BootstrapAnswer:
		ma.receiveBootstrapAnswer(msg)
		return
	}
	if he.Term > ma.term && !ma.enterTerm(msg) {
		return
	}
	if he.Term < ma.term && ma.handleStale(msg) {
		return
	}
	ma.dispatch(msg)
}

// enterTerm moves to the later term of a message. It returns false if the message has to
// be ignored: a vote request while a leader may hold a lease, unless that leader asked
// for it. A pre-vote request and its positive answer do not change the term.
func (ma *Machine) enterTerm(msg Message) bool {
	switch msg := msg.(type) {
	case *VoteRequest:
		if msg.Pre {
			return true
		}
		if ma.leaderAlive() && !msg.Transfer {
			return false
		}
	case *VoteAnswer:
		if msg.Pre && !msg.Refused {
			return true
		}
	}
	ma.becomeFollower(msg.header().Term, "")
	return true
}

// handleStale handles a message of an earlier term, and informs a stale leader of the
// current term. It returns false if the message has to be handled as usual.
func (ma *Machine) handleStale(msg Message) bool {
	switch msg := msg.(type) {
	case *Append:
		ma.refuseStaleLeader(&msg.Header)
	case *SnapshotChunk:
		ma.refuseStaleLeader(&msg.Header)
	case *VoteRequest:
		return false
	}
	return true
}

// refuseStaleLeader refuses entries or a snapshot of a leader of an earlier term.
func (ma *Machine) refuseStaleLeader(he *Header) {
	ma.sendSynced(&AppendAnswer{Header: ma.answerTo(he), Refused: true})
}

// dispatch passes a message to the handler of its type.
func (ma *Machine) dispatch(msg Message) {
	switch msg := msg.(type) {
	case *VoteRequest:
		ma.receiveVoteRequest(msg)
	case *VoteAnswer:
		ma.receiveVoteAnswer(msg)
	case *Append:
		ma.noteLeader(msg.From)
		ma.receiveAppend(msg)
	case *SnapshotChunk:
		ma.noteLeader(msg.From)
		ma.receiveChunk(msg)
	case *AppendAnswer:
		ma.receiveAppendAnswer(msg)
	case *SnapshotChunkAnswer:
		ma.receiveChunkAnswer(msg)
	case *StartElection:
		if ma.role == Follower && ma.leader == msg.From {
			ma.campaign(false, true)
		}
	}
}

// noteLeader records that the leader of the current term was heard from.
func (ma *Machine) noteLeader(leader Replica) {
	if ma.role != Follower || ma.leader != leader {
		ma.becomeFollower(ma.term, leader)
	}
	ma.leaderContact = ma.now
	ma.resetElectionTimer()
}

// headerTo returns the header of a request to a replica.
func (ma *Machine) headerTo(id Replica) Header {
	return Header{From: ma.set.ID, To: id, Term: ma.term, Incarnation: ma.inc}
}

// answerTo returns the header of an answer to a message with header he.
func (ma *Machine) answerTo(he *Header) Header {
	answer := ma.headerTo(he.From)
	answer.ToIncarnation = he.Incarnation
	return answer
}
