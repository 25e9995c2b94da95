package quorum

import "slices"

// voterChange holds the voters that a log entry or a snapshot put in place, and its
// index.
type voterChange struct {
	index  Index
	voters Voters
}

// entryLog holds the latest snapshot and the entries after base, which is at or before
// the index of the snapshot.
type entryLog struct {
	snap     Snapshot
	base     Index
	baseTerm Term
	entries  []Entry
	// changes holds the voters in force at the commit index, if there are any, and those
	// of all later entries.
	changes []voterChange
}

func newEntryLog(snap Snapshot, entries []Entry) entryLog {
	lg := entryLog{snap: snap, base: snap.Index, baseTerm: snap.Term}
	if snap.Voters != nil {
		lg.changes = append(lg.changes, voterChange{snap.Index, snap.Voters})
	}
	lg.append(entries...)
	return lg
}

func (lg *entryLog) last() Index { return lg.base + Index(len(lg.entries)) }

func (lg *entryLog) lastTerm() Term { return lg.term(lg.last()) }

// term returns the term of the entry at i, which must be in [base, last].
func (lg *entryLog) term(i Index) Term {
	if i == lg.base {
		return lg.baseTerm
	}
	return lg.entries[i-lg.base-1].Term
}

// lastData returns the index of the last DataEntry, or that of the snapshot if none
// follows it.
func (lg *entryLog) lastData() Index {
	for i := lg.last(); i > lg.snap.Index; i-- {
		if lg.entry(i).Kind == DataEntry {
			return i
		}
	}
	return lg.snap.Index
}

// matches reports whether the log holds an entry at i with the given term.
func (lg *entryLog) matches(i Index, term Term) bool {
	return i >= lg.base && i <= lg.last() && lg.term(i) == term
}

func (lg *entryLog) entry(i Index) Entry { return lg.entries[i-lg.base-1] }

// entriesFrom returns all entries from i on. Later changes to the log leave the slice
// unchanged.
func (lg *entryLog) entriesFrom(i Index) []Entry { return lg.entries[i-lg.base-1:] }

// batch returns the entries from i on that fit into the given bytes of data, and at least
// one if there is any.
func (lg *entryLog) batch(i Index, bytes int) []Entry {
	entries := lg.entriesFrom(i)
	for n, en := range entries {
		bytes -= len(en.Data)
		if bytes < 0 && n > 0 {
			return entries[:n:n]
		}
	}
	return slices.Clip(entries)
}

// append adds entries at the end, and records their voters.
func (lg *entryLog) append(entries ...Entry) {
	for _, en := range entries {
		if en.Kind == VotersEntry {
			lg.changes = append(lg.changes, voterChange{en.Index, en.Voters})
		}
	}
	lg.entries = append(lg.entries, entries...)
}

// truncate drops the entry at i and all later ones. It clips the slice, so that slices
// returned before do not change with the next append.
func (lg *entryLog) truncate(i Index) {
	lg.entries = slices.Clip(lg.entries[:i-lg.base-1])
	for len(lg.changes) > 0 && lg.changes[len(lg.changes)-1].index >= i {
		lg.changes = lg.changes[:len(lg.changes)-1]
	}
}

// pruneVoters drops voters that were replaced at or before the commit index.
func (lg *entryLog) pruneVoters(commit Index) {
	for len(lg.changes) > 1 && lg.changes[1].index <= commit {
		lg.changes = slices.Delete(lg.changes, 0, 1)
	}
}

// compact sets the snapshot and drops the entries that it covers, except for the given
// number of retained ones at the end, which replicas that are slightly behind still need.
func (lg *entryLog) compact(snap Snapshot, retained Index) {
	lg.snap = snap
	if snap.Index <= lg.base+retained {
		return
	}
	base := snap.Index - retained
	term := lg.term(base)
	lg.entries = slices.Clone(lg.entries[base-lg.base:])
	lg.base, lg.baseTerm = base, term
}

// agreedVoters returns the voters that have the same incarnation in the voters in force
// at the commit index and in all later changes.
func (lg *entryLog) agreedVoters() Voters {
	switch len(lg.changes) {
	case 0:
		return nil
	case 1:
		return lg.changes[0].voters
	}
	vo := Voters{}
	for id, inc := range lg.changes[0].voters {
		if !slices.ContainsFunc(lg.changes, func(vc voterChange) bool { return vc.voters[id] != inc }) {
			vo[id] = inc
		}
	}
	return vo
}

// latestVoters returns the last voters in the log. pending is set while they are not
// committed.
func (lg *entryLog) latestVoters() (vo Voters, pending bool) {
	if len(lg.changes) == 0 {
		return nil, false
	}
	return lg.changes[len(lg.changes)-1].voters, len(lg.changes) > 1
}
