package quorum

import "time"

// peer is what a leader knows of another replica.
type peer struct {
	inc Incarnation
	// match is the last index known to be on the replica's disk, and next
	// the first one to send.
	match, next Index
	// probing is set until next is confirmed; one message is sent at a time.
	probing bool
	// inFlight holds the last index of each message that is not answered.
	inFlight []Index
	lastSent     time.Time
	// ackedSend is the send time of the latest message that was answered, and
	// lastContact the time of the answer.
	ackedSend, lastContact time.Time
	// catchUpIndex is the index from which a replica that lost its disk holds
	// everything that was committed before it came back.
	catchUpIndex  Index
	outgoing *outgoingSnapshot
}

// outgoingSnapshot is a snapshot on its way.
type outgoingSnapshot struct {
	snap   Snapshot
	offset uint64
	// highestSent is the highest offset sent since the last repetition. Only an
	// answer beyond it brings the next part, so that doubled messages don't
	// multiply.
	highestSent uint64
	sent time.Time
}

// replicate sends what is due to each replica.
func (ma *Machine) replicate() {
	for _, id := range ma.peers {
		ma.replicateTo(id, ma.lead.peers[id])
	}
	ma.lead.broadcast = false
}

func (ma *Machine) replicateTo(id Replica, pe *peer) {
	if pe.next <= ma.log.base {
		ma.sendSnapshot(id, pe)
	} else if !pe.probing {
		for len(pe.inFlight) < ma.set.MaxInFlight && pe.next <= ma.log.last() {
			ma.sendEntries(id, pe)
		}
	}
	if ma.lead.broadcast || ma.now.Sub(pe.lastSent) >= ma.set.Heartbeat {
		ma.sendAppend(id, pe, nil)
	}
}

func (ma *Machine) sendEntries(id Replica, pe *peer) {
	list := ma.log.batch(pe.next, ma.set.MaxMessageBytes)
	ma.sendAppend(id, pe, list)
	pe.next += Index(len(list))
	pe.inFlight = append(pe.inFlight, pe.next-1)
}

func (ma *Machine) sendAppend(id Replica, pe *peer, list []Entry) {
	prev := max(pe.next-1, ma.log.base)
	pe.lastSent = ma.now
	ma.emit(Send{&Append{
		Header:    ma.headerTo(id),
		PrevIndex: prev,
		PrevTerm:  ma.log.term(prev),
		Entries:   list,
		Commit:    ma.commit,
		Sequence:  ma.sequence(),
	}})
}

// sequence encodes the time since the term began, so that an answer tells
// when its message was sent.
func (ma *Machine) sequence() uint64 { return uint64(ma.now.Sub(ma.lead.since)) + 1 }

func (ma *Machine) sentAt(sequence uint64) time.Time {
	return ma.lead.since.Add(time.Duration(sequence - 1))
}

// sendSnapshot sends the next part of the snapshot, and repeats it when no
// answer comes.
func (ma *Machine) sendSnapshot(id Replica, pe *peer) {
	if pe.outgoing == nil {
		pe.outgoing = &outgoingSnapshot{snap: ma.log.snap}
	}
	se := pe.outgoing
	if ma.now.Sub(se.sent) < ma.set.ElectionTimeout {
		return
	}
	se.sent, pe.lastSent, se.highestSent = ma.now, ma.now, se.offset
	part := se.snap
	end := min(se.offset+uint64(ma.set.MaxMessageBytes), uint64(len(part.Data)))
	part.Data = part.Data[se.offset:end]
	ma.emit(Send{&SnapshotChunk{
		Header:   ma.headerTo(id),
		Snapshot: part,
		Offset:   se.offset,
		Size:     uint64(len(se.snap.Data)),
		Sequence: ma.sequence(),
	}})
}

func (ma *Machine) receiveAppendAnswer(an *AppendAnswer) {
	if an.Match > ma.log.last() {
		return
	}
	pe := ma.noteAnswer(&an.Header, an.Sequence)
	if pe == nil {
		return
	}
	if an.Refused {
		ma.backtrack(an, pe)
		return
	}
	if an.Match >= pe.next || pe.probing {
		pe.next = max(an.Match, pe.match) + 1
		pe.probing = false
	}
	if pe.next > ma.log.base {
		pe.outgoing = nil
	}
	for len(pe.inFlight) > 0 && pe.inFlight[0] <= an.Match {
		pe.inFlight = pe.inFlight[1:]
	}
	if an.Match > pe.match {
		pe.match = an.Match
		ma.advanceCommit()
	}
}

// backtrack goes back to where the logs may match.
func (ma *Machine) backtrack(an *AppendAnswer, pe *peer) {
	if an.Match <= pe.match || an.Match >= pe.next {
		return
	}
	pe.next = max(pe.match, min(an.LastPossibleMatch, an.Match-1)) + 1
	pe.probing = true
	pe.inFlight = nil
	if pe.next > ma.log.base {
		ma.sendAppend(an.From, pe, ma.log.batch(pe.next, ma.set.MaxMessageBytes))
	}
}

func (ma *Machine) receiveChunkAnswer(an *SnapshotChunkAnswer) {
	pe := ma.noteAnswer(&an.Header, an.Sequence)
	if pe == nil || pe.outgoing == nil || pe.outgoing.snap.Index != an.Index {
		return
	}
	se := pe.outgoing
	if an.Offset > uint64(len(se.snap.Data)) {
		return
	}
	se.offset = an.Offset
	if an.Offset > se.highestSent {
		se.sent = time.Time{}
	}
}

// noteAnswer notes that a replica noteAnswer in this term. It returns nil if the
// answer can't be one to a message of this leader.
func (ma *Machine) noteAnswer(he *Header, sequence uint64) *peer {
	if ma.role != Leader || sequence == 0 || sequence > ma.sequence() {
		return nil
	}
	pe := ma.lead.peers[he.From]
	if pe == nil {
		return nil
	}
	if pe.inc != he.Incarnation {
		first := pe.inc == 0
		*pe = peer{inc: he.Incarnation, next: pe.next, probing: true, catchUpIndex: ma.log.last()}
		if !first {
			pe.next = ma.log.last() + 1
		}
	}
	pe.lastContact = ma.now
	if at := ma.sentAt(sequence); at.After(pe.ackedSend) {
		pe.ackedSend = at
	}
	return pe
}

// repairVoters makes a replica a voter again after it lost its disk, and a known one
// a voter in the place of one that fell silent. The change counts once the
// voters before and after it have committed it.
func (ma *Machine) repairVoters() {
	latest, pending := ma.log.latestVoters()
	if pending || ma.commit < ma.lead.termStart || ma.lead.transfer.active {
		return
	}
	for _, id := range ma.peers {
		pe := ma.lead.peers[id]
		alive := ma.now.Sub(pe.lastContact) < ma.set.ElectionTimeout
		if pe.inc == 0 || pe.inc == latest[id] || !alive || pe.match < pe.catchUpIndex {
			continue
		}
		if next := ma.addVoter(latest, id, pe.inc); next != nil {
			ma.appendEntry(Entry{Kind: VotersEntry, Voters: next})
			return
		}
	}
}

// addVoter returns the voters with a replica that holds the log, or nil if there
// is no place for it.
func (ma *Machine) addVoter(latest Voters, id Replica, inc Incarnation) Voters {
	if _, voter := latest[id]; voter || len(latest) < ma.set.VoterCount {
		return latest.with(id, inc)
	}
	if ma.set.VoterCount == 0 {
		return nil
	}
	for _, other := range ma.peers {
		_, voter := latest[other]
		if voter && ma.now.Sub(ma.lead.peers[other].lastContact) >= ma.set.ReplaceAfter {
			return latest.without(other).with(id, inc)
		}
	}
	return nil
}
