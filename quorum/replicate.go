package quorum

import "time"

// peer is the state of another replica as a leader knows it.
type peer struct {
	// inc is the incarnation that answered last, or 0.
	inc Incarnation
	// match is the last index known to be on the disk of the replica, and next the first
	// one to send.
	match, next Index
	// probing is set until the replica confirms next. Meanwhile one message is sent at a
	// time.
	probing bool
	// inFlight holds the last index of each unanswered message with entries.
	inFlight []Index
	// lastSent is when the last message was sent.
	lastSent time.Time
	// ackedSend is the send time of the latest message that was answered, and lastContact
	// the time of the last answer.
	ackedSend, lastContact time.Time
	// catchUpIndex is the last index of the leader when this incarnation first answered.
	// A replica that lost its disk may vote again once it holds the log up to here, since
	// that includes everything committed before.
	catchUpIndex Index
	// outgoing is the snapshot that is being sent to the replica, or nil.
	outgoing *outgoingSnapshot
}

// outgoingSnapshot is a snapshot that is being sent in parts.
type outgoingSnapshot struct {
	snap Snapshot
	// offset is where the next part begins.
	offset uint64
	// highestSent is the offset of the last part sent or repeated. Only an answer with a
	// higher offset triggers the next part, so that duplicated messages do not multiply.
	highestSent uint64
	sent        time.Time
}

// replicate sends each replica the entries, snapshot parts and heartbeats that are due.
func (ma *Machine) replicate() {
	for _, id := range ma.peers {
		ma.replicateTo(id, ma.lead.peers[id])
	}
	ma.lead.broadcast = false
}

// replicateTo sends one replica what is due.
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

// sendEntries sends the next entries without waiting for the answers to earlier ones.
func (ma *Machine) sendEntries(id Replica, pe *peer) {
	entries := ma.log.batch(pe.next, ma.set.MaxMessageBytes)
	ma.sendAppend(id, pe, entries)
	pe.next += Index(len(entries))
	pe.inFlight = append(pe.inFlight, pe.next-1)
}

// sendAppend sends an Append with the given entries, or a heartbeat if there are none.
func (ma *Machine) sendAppend(id Replica, pe *peer, entries []Entry) {
	prev := max(pe.next-1, ma.log.base)
	pe.lastSent = ma.now
	ma.emit(Send{&Append{
		Header:    ma.headerTo(id),
		PrevIndex: prev,
		PrevTerm:  ma.log.term(prev),
		Entries:   entries,
		Commit:    ma.commit,
		Sequence:  ma.sequence(),
	}})
}

// sequence encodes the time since the term began, so that an answer shows when its
// request was sent.
func (ma *Machine) sequence() uint64 { return uint64(ma.now.Sub(ma.lead.since)) + 1 }

// sentAt returns the send time that sequence encodes.
func (ma *Machine) sentAt(sequence uint64) time.Time {
	return ma.lead.since.Add(time.Duration(sequence - 1))
}

// sendSnapshot sends the next part of the snapshot, or repeats the last part if it was
// not answered within the election timeout.
func (ma *Machine) sendSnapshot(id Replica, pe *peer) {
	if og := pe.outgoing; og == nil || og.offset == 0 && og.snap.Index < ma.log.snap.Index {
		pe.outgoing = &outgoingSnapshot{snap: ma.log.snap}
	}
	og := pe.outgoing
	if ma.now.Sub(og.sent) < ma.set.ElectionTimeout {
		return
	}
	og.sent, pe.lastSent, og.highestSent = ma.now, ma.now, og.offset
	part := og.snap
	end := min(og.offset+uint64(ma.set.MaxMessageBytes), uint64(len(part.Data)))
	part.Data = part.Data[og.offset:end]
	ma.emit(Send{&SnapshotChunk{
		Header:   ma.headerTo(id),
		Snapshot: part,
		Offset:   og.offset,
		Size:     uint64(len(og.snap.Data)),
		Sequence: ma.sequence(),
	}})
}

// receiveAppendAnswer advances the match index of a replica, or goes back to an earlier
// entry if the replica refused.
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
	if og := pe.outgoing; og != nil && (pe.next > ma.log.base || an.Match >= og.snap.Index) {
		// If the log was compacted again meanwhile, the replica needs the later snapshot.
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

// backtrack moves next back to the last index at which the logs may match, and sends the
// entries from there if the log still holds them.
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

// receiveChunkAnswer makes the next part of a snapshot due.
func (ma *Machine) receiveChunkAnswer(an *SnapshotChunkAnswer) {
	pe := ma.noteAnswer(&an.Header, an.Sequence)
	if pe == nil || pe.outgoing == nil || pe.outgoing.snap.Index != an.Index {
		return
	}
	og := pe.outgoing
	if an.Offset > uint64(len(og.snap.Data)) {
		return
	}
	og.offset = an.Offset
	if an.Offset > og.highestSent {
		og.sent = time.Time{}
	}
}

// noteAnswer records an answer of a replica in this term and returns its peer. It returns
// nil if this leader cannot have sent the request. A new incarnation starts as a new
// peer: what an earlier one acknowledged may be lost.
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
