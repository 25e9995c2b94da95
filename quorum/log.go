package quorum

import "slices"

// voterChange is the voters from an index on.
type voterChange struct {
	index  Index
	voters Voters
}

// entryLog holds the entries after base, and the latest snapshot, whose index
// is base or later.
type entryLog struct {
	snap     Snapshot
	base     Index
	baseTerm Term
	entries     []Entry
	// changes holds the voters in force at the commit index, if there are
	// any, and all later ones.
	changes []voterChange
}

func newEntryLog(snap Snapshot, list []Entry) entryLog {
	lg := entryLog{snap: snap, base: snap.Index, baseTerm: snap.Term}
	if snap.Voters != nil {
		lg.changes = append(lg.changes, voterChange{snap.Index, snap.Voters})
	}
	lg.append(list...)
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

// lastData returns the index of the last entry of kind Data, or of the
// snapshot.
func (lg *entryLog) lastData() Index {
	for i := lg.last(); i > lg.snap.Index; i-- {
		if lg.entry(i).Kind == DataEntry {
			return i
		}
	}
	return lg.snap.Index
}

// matches reports whether the entry at i has the given term.
func (lg *entryLog) matches(i Index, term Term) bool {
	return i >= lg.base && i <= lg.last() && lg.term(i) == term
}

func (lg *entryLog) entry(i Index) Entry { return lg.entries[i-lg.base-1] }

// entriesFrom returns all entries entriesFrom i on. The result stays valid.
func (lg *entryLog) entriesFrom(i Index) []Entry { return lg.entries[i-lg.base-1:] }

// batch returns entries from i on with at most the given bytes of data, but
// at least one if there is any.
func (lg *entryLog) batch(i Index, bytes int) []Entry {
	list := lg.entriesFrom(i)
	for n, en := range list {
		bytes -= len(en.Data)
		if bytes < 0 && n > 0 {
			return list[:n:n]
		}
	}
	return slices.Clip(list)
}

func (lg *entryLog) append(list ...Entry) {
	for _, en := range list {
		if en.Kind == VotersEntry {
			lg.changes = append(lg.changes, voterChange{en.Index, en.Voters})
		}
	}
	lg.entries = append(lg.entries, list...)
}

// truncate drops the entry at i and all after it. Slices given out before
// keep their content.
func (lg *entryLog) truncate(i Index) {
	lg.entries = slices.Clip(lg.entries[:i-lg.base-1])
	for len(lg.changes) > 0 && lg.changes[len(lg.changes)-1].index >= i {
		lg.changes = lg.changes[:len(lg.changes)-1]
	}
}

// pruneVoters forgets voters that were replaced at or before commit.
func (lg *entryLog) pruneVoters(commit Index) {
	for len(lg.changes) > 1 && lg.changes[1].index <= commit {
		lg.changes = slices.Delete(lg.changes, 0, 1)
	}
}

// compact drops entries so that at most keep remain up to the snapshot.
func (lg *entryLog) compact(snap Snapshot, keep Index) {
	lg.snap = snap
	if snap.Index <= lg.base+keep {
		return
	}
	base := snap.Index - keep
	term := lg.term(base)
	lg.entries = slices.Clone(lg.entries[base-lg.base:])
	lg.base, lg.baseTerm = base, term
}

// agreedVoters returns the voters that count: those on which the voters in force
// at the commit index and all later ones agree.
func (lg *entryLog) agreedVoters() Voters {
	switch len(lg.changes) {
	case 0:
		return nil
	case 1:
		return lg.changes[0].voters
	}
	vo := Voters{}
	for id, inc := range lg.changes[0].voters {
		if !slices.ContainsFunc(lg.changes, func(ch voterChange) bool { return ch.voters[id] != inc }) {
			vo[id] = inc
		}
	}
	return vo
}

// latestVoters returns the last voters, and whether they are still being agreed.
func (lg *entryLog) latestVoters() (vo Voters, pending bool) {
	if len(lg.changes) == 0 {
		return nil, false
	}
	return lg.changes[len(lg.changes)-1].voters, len(lg.changes) > 1
}
