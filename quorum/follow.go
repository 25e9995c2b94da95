package quorum

// incomingSnapshot is a snapshot that is being received.
type incomingSnapshot struct {
	term  Term
	index Index
	data  []byte
}

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

// answerAppend sends the answer once what it says is on the disk. A heartbeat
// is answered at once with what is there.
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

// extend adds entries, and drops those that conflict with them.
func (ma *Machine) extend(list []Entry) {
	for n, en := range list {
		if en.Index <= ma.commit || ma.log.matches(en.Index, en.Term) {
			continue
		}
		if en.Index <= ma.log.last() {
			ma.log.truncate(en.Index)
		}
		ma.log.append(list[n:]...)
		ma.disk.markChanged(en.Index)
		return
	}
}

// lastPossibleMatch returns the last index before i, or the log's end, at which
// this log may match the leader's.
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

func (ma *Machine) receiveChunk(ch *SnapshotChunk) {
	sn := ch.Snapshot
	if ma.log.matches(sn.Index, sn.Term) {
		ma.setCommit(sn.Index)
	}
	if sn.Index <= ma.commit {
		ma.answerChunk(ch, ma.commit)
		return
	}
	in := &ma.incoming
	if in.term != ch.Term || in.index != sn.Index {
		*in = incomingSnapshot{term: ch.Term, index: sn.Index}
	}
	if ch.Offset == uint64(len(in.data)) {
		in.data = append(in.data, sn.Data...)
	}
	if uint64(len(in.data)) < ch.Size {
		ma.emit(Send{&SnapshotChunkAnswer{
			Header: ma.answerTo(&ch.Header), Index: sn.Index,
			Offset: uint64(len(in.data)), Sequence: ch.Sequence,
		}})
		return
	}
	sn.Data = in.data
	ma.incoming = incomingSnapshot{}
	ma.installSnapshot(sn)
	ma.answerChunk(ch, sn.Index)
}

func (ma *Machine) answerChunk(ch *SnapshotChunk, match Index) {
	ma.sendSynced(&AppendAnswer{Header: ma.answerTo(&ch.Header), Match: match, Sequence: ch.Sequence})
}

// installSnapshot replaces the log with a snapshot.
func (ma *Machine) installSnapshot(sn Snapshot) {
	ma.log = newEntryLog(sn, nil)
	ma.commit, ma.applied = sn.Index, sn.Index
	ma.disk.markReplaced()
	ma.emit(Restore{sn})
}

// compact replaces the entries up to an applied index with a snapshot.
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
	ma.log.compact(sn, retainedEntries)
	ma.disk.dirty, ma.disk.snapshotChanged = true, true
}

// votersAt returns the voters in force at a committed index that is not
// covered by a snapshot yet.
func (ma *Machine) votersAt(i Index) Voters {
	for at := i; at > ma.log.snap.Index; at-- {
		if en := ma.log.entry(at); en.Kind == VotersEntry {
			return en.Voters
		}
	}
	return ma.log.snap.Voters
}
