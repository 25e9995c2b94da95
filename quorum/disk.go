package quorum

import "slices"

// maxHeld bounds the messages that wait for the disk. Further ones are lost,
// as they may be on any link.
const maxHeld = 4096

// disk tracks what has been handed to the disk and what is on it.
type disk struct {
	number   uint64
	writing     bool
	dirty    bool
	from     Index
	snapshotChanged bool
	// stable is the last index on the disk that is still part of the log,
	// and issued the one that the outstanding Persist brings.
	stable, issued         Index
	stableTerm, issuedTerm Term
	held                   []heldMessage
}

// heldMessage is a message that waits for a Persist.
type heldMessage struct {
	number uint64
	msg    Message
}

// markChanged notes that the log changed from index i on.
func (di *disk) markChanged(i Index) {
	di.dirty = true
	if di.from == 0 || i < di.from {
		di.from = i
	}
	di.stable = min(di.stable, i-1)
	di.issued = min(di.issued, i-1)
}

// markReplaced notes that the log was replaced by a snapshot.
func (di *disk) markReplaced() {
	di.dirty, di.snapshotChanged = true, true
	di.stable, di.issued = 0, 0
}

// synced reports whether everything is on the disk.
func (di *disk) synced() bool { return !di.writing && !di.dirty }

// persist hands changes to the disk unless it is busy.
func (ma *Machine) persist() {
	di := &ma.disk
	if di.writing || !di.dirty {
		return
	}
	di.number++
	pe := Persist{
		Number:    di.number,
		HardState: HardState{Term: ma.term, Vote: ma.vote, Commit: ma.commit},
	}
	switch {
	case di.snapshotChanged:
		snap := ma.log.snap
		pe.Snapshot, pe.From = &snap, snap.Index+1
	case di.from != 0:
		pe.From = di.from
	}
	if pe.From != 0 {
		pe.Entries = slices.Clip(ma.log.entriesFrom(pe.From))
	}
	di.writing, di.dirty, di.from, di.snapshotChanged = true, false, 0, false
	di.issued, di.issuedTerm = ma.log.last(), ma.term
	ma.emit(pe)
}

// persisted releases the messages that waited for the disk.
func (ma *Machine) persisted(number uint64) {
	di := &ma.disk
	if !di.writing || number != di.number {
		return
	}
	di.writing = false
	di.stable, di.stableTerm = di.issued, di.issuedTerm
	rest := di.held[:0]
	for _, he := range di.held {
		if he.number <= number {
			ma.emit(Send{he.msg})
		} else {
			rest = append(rest, he)
		}
	}
	di.held = rest
	if ma.role == Leader {
		ma.advanceCommit()
	}
}

// sendSynced sends a message once the present state is on the disk.
func (ma *Machine) sendSynced(msg Message) {
	di := &ma.disk
	switch {
	case di.synced():
		ma.emit(Send{msg})
	case len(di.held) == maxHeld:
	case di.dirty:
		di.held = append(di.held, heldMessage{di.number + 1, msg})
	default:
		di.held = append(di.held, heldMessage{di.number, msg})
	}
}
