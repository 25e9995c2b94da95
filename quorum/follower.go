package quorum

// incomingSnapshot holds the parts of a snapshot received so far from the leader of a
// term.
type incomingSnapshot struct {
	term  Term
	index Index
	data  []byte
}

// receiveAppend appends the entries of the leader if they fit this log. Otherwise it
// refuses them and reports where the logs may match.
func (ma *Machine) receiveAppend(ap *Append) {
	an := &AppendAnswer{Header: ma.answerTo(&ap.Header), Sequence: ap.Sequence}
	end := ap.PrevIndex + Index(len(ap.Entries))
	switch {
	case end <= ma.commit:
		an.Match = ma.commit
	case ap.PrevIndex >= ma.commit && !ma.log.matches(ap.PrevIndex, ap.PrevTerm):
		an.Refused, an.Match, an.LastPossibleMatch = true, ap.PrevIndex, ma.lastPossibleMatch(ap.PrevIndex)
	default:
		ma.extend(ap.Entries)
		an.Match = end
		ma.setCommit(min(ap.Commit, end))
	}
	ma.answerAppend(an, len(ap.Entries) == 0)
}

// answerAppend sends the answer once the state that it confirms is on the disk. A
// heartbeat is answered at once with the index that is on the disk already, so that a
// write does not delay it.
func (ma *Machine) answerAppend(an *AppendAnswer, heartbeat bool) {
	if heartbeat && ma.disk.stableTerm == ma.term {
		if !an.Refused {
			an.Match = min(an.Match, ma.disk.stable)
		}
		ma.emit(Send{an})
		return
	}
	ma.sendSynced(an)
}

// extend appends the entries that the log does not hold, and drops those that conflict
// with them.
func (ma *Machine) extend(entries []Entry) {
	for n, en := range entries {
		if en.Index <= ma.commit || ma.log.matches(en.Index, en.Term) {
			continue
		}
		if en.Index <= ma.log.last() {
			ma.log.truncate(en.Index)
		}
		ma.log.append(entries[n:]...)
		ma.disk.markChanged(en.Index)
		return
	}
}

// lastPossibleMatch returns the last index, below i or at the end of the log, at which
// this log may match the leader's. It skips all entries of the term that did not match.
func (ma *Machine) lastPossibleMatch(i Index) Index {
	if i > ma.log.last() {
		return ma.log.last()
	}
	term := ma.log.term(i)
	for i > ma.commit && ma.log.term(i) == term {
		i--
	}
	return i
}

// receiveChunk adds a part of a snapshot. It asks for the next part, or installs the
// snapshot once it is complete.
func (ma *Machine) receiveChunk(sc *SnapshotChunk) {
	sn := sc.Snapshot
	if ma.log.matches(sn.Index, sn.Term) {
		ma.setCommit(sn.Index)
	}
	if sn.Index <= ma.commit {
		ma.answerChunk(sc, ma.commit)
		return
	}
	in := &ma.incoming
	if in.term != sc.Term || in.index != sn.Index {
		*in = incomingSnapshot{term: sc.Term, index: sn.Index}
	}
	if sc.Offset == uint64(len(in.data)) {
		in.data = append(in.data, sn.Data...)
	}
	if uint64(len(in.data)) < sc.Size {
		ma.emit(Send{&SnapshotChunkAnswer{
			Header: ma.answerTo(&sc.Header), Index: sn.Index,
			Offset: uint64(len(in.data)), Sequence: sc.Sequence,
		}})
		return
	}
	sn.Data = in.data
	ma.incoming = incomingSnapshot{}
	ma.installSnapshot(sn)
	ma.answerChunk(sc, sn.Index)
}

// answerChunk confirms a snapshot once it is on the disk.
func (ma *Machine) answerChunk(sc *SnapshotChunk, match Index) {
	ma.sendSynced(&AppendAnswer{Header: ma.answerTo(&sc.Header), Match: match, Sequence: sc.Sequence})
}

// installSnapshot replaces the log and the content of the state machine by a snapshot.
func (ma *Machine) installSnapshot(sn Snapshot) {
	ma.log = newEntryLog(sn, nil)
	ma.commit, ma.applied = sn.Index, sn.Index
	ma.disk.markReplaced()
	ma.emit(Restore{sn})
}

// compact replaces the entries up to an applied index by a snapshot.
func (ma *Machine) compact(co Compact) {
	if co.Index <= ma.log.snap.Index || co.Index > ma.applied {
		return
	}
	sn := Snapshot{
		Index:  co.Index,
		Term:   ma.log.term(co.Index),
		Voters: ma.votersAt(co.Index),
		Data:   co.Data,
	}
	ma.log.compact(sn, Index(ma.set.RetainedEntries))
	ma.disk.dirty, ma.disk.snapshotChanged = true, true
}

// votersAt returns the voters in force at a committed index that is later than the
// snapshot.
func (ma *Machine) votersAt(i Index) Voters {
	for at := i; at > ma.log.snap.Index; at-- {
		if en := ma.log.entry(at); en.Kind == VotersEntry {
			return en.Voters
		}
	}
	return ma.log.snap.Voters
}
