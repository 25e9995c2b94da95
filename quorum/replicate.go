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
	sent     time.Time
	// acked is the send time of the latest message that was answered, and
	// contact the time of the answer.
	acked, contact time.Time
	// target is the index from which a replica that lost its disk holds
	// everything that was committed before it came back.
	target  Index
	sending *sending
}

// sending is a snapshot on its way.
type sending struct {
	snap   Snapshot
	offset uint64
	// high is the highest offset sent since the last repetition. Only an
	// answer beyond it brings the next part, so that doubled messages don't
	// multiply.
	high uint64
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
	if ma.lead.broadcast || ma.now.Sub(pe.sent) >= ma.set.Heartbeat {
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
	pe.sent = ma.now
	ma.act(Send{&Append{
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
	if pe.sending == nil {
		pe.sending = &sending{snap: ma.log.snap}
	}
	se := pe.sending
	if ma.now.Sub(se.sent) < ma.set.ElectionTimeout {
		return
	}
	se.sent, pe.sent, se.high = ma.now, ma.now, se.offset
	part := se.snap
	end := min(se.offset+uint64(ma.set.MaxMessageBytes), uint64(len(part.Data)))
	part.Data = part.Data[se.offset:end]
	ma.act(Send{&SnapshotChunk{
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
	pe := ma.answered(&an.Header, an.Sequence)
	if pe == nil {
		return
	}
	if an.Refused {
		ma.refused(an, pe)
		return
	}
	if an.Match >= pe.next || pe.probing {
		pe.next = max(an.Match, pe.match) + 1
		pe.probing = false
	}
	if pe.next > ma.log.base {
		pe.sending = nil
	}
	for len(pe.inFlight) > 0 && pe.inFlight[0] <= an.Match {
		pe.inFlight = pe.inFlight[1:]
	}
	if an.Match > pe.match {
		pe.match = an.Match
		ma.advance()
	}
}

// refused goes back to where the logs may match.
func (ma *Machine) refused(an *AppendAnswer, pe *peer) {
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
	pe := ma.answered(&an.Header, an.Sequence)
	if pe == nil || pe.sending == nil || pe.sending.snap.Index != an.Index {
		return
	}
	se := pe.sending
	if an.Offset > uint64(len(se.snap.Data)) {
		return
	}
	se.offset = an.Offset
	if an.Offset > se.high {
		se.sent = time.Time{}
	}
}

// answered notes that a replica answered in this term. It returns nil if the
// answer can't be one to a message of this leader.
func (ma *Machine) answered(he *Header, sequence uint64) *peer {
	if ma.role != Leader || sequence == 0 || sequence > ma.sequence() {
		return nil
	}
	pe := ma.lead.peers[he.From]
	if pe == nil {
		return nil
	}
	if pe.inc != he.Incarnation {
		first := pe.inc == 0
		*pe = peer{inc: he.Incarnation, next: pe.next, probing: true, target: ma.log.last()}
		if !first {
			pe.next = ma.log.last() + 1
		}
	}
	pe.contact = ma.now
	if at := ma.sentAt(sequence); at.After(pe.acked) {
		pe.acked = at
	}
	return pe
}

// repair makes a replica a voter again after it lost its disk, and a known one
// a voter in the place of one that fell silent. The change counts once the
// voters before and after it have committed it.
func (ma *Machine) repair() {
	latest, pending := ma.log.latest()
	if pending || ma.commit < ma.lead.first || ma.lead.transfer.active {
		return
	}
	for _, id := range ma.peers {
		pe := ma.lead.peers[id]
		alive := ma.now.Sub(pe.contact) < ma.set.ElectionTimeout
		if pe.inc == 0 || pe.inc == latest[id] || !alive || pe.match < pe.target {
			continue
		}
		if next := ma.admit(latest, id, pe.inc); next != nil {
			ma.appendOwn(Entry{Kind: VotersEntry, Voters: next})
			return
		}
	}
}

// admit returns the voters with a replica that holds the log, or nil if there
// is no place for it.
func (ma *Machine) admit(latest Voters, id Replica, inc Incarnation) Voters {
	if _, voter := latest[id]; voter || len(latest) < ma.set.VoterCount {
		return latest.with(id, inc)
	}
	if ma.set.VoterCount == 0 {
		return nil
	}
	for _, other := range ma.peers {
		_, voter := latest[other]
		if voter && ma.now.Sub(ma.lead.peers[other].contact) >= ma.set.ReplaceAfter {
			return latest.without(other).with(id, inc)
		}
	}
	return nil
}
