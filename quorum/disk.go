package quorum

import "slices"

// maxHeld bounds the messages that wait for the disk. Further messages are dropped; the
// protocol tolerates that, since links lose messages too.
const maxHeld = 4096

// disk tracks which state was passed to the disk and which is stored there.
type disk struct {
	// number is that of the latest Persist, and writing is set until Persisted answers
	// it.
	number  uint64
	writing bool
	// dirty is set while there are changes that no Persist includes.
	dirty bool
	// from is the first index at which the log has such changes, or 0 if it has none.
	from Index
	// snapshotChanged is set if such changes include the snapshot.
	snapshotChanged bool
	// stable is the last index on the disk that is still part of the log, and issued the
	// one that will be once the outstanding Persist is done. stableTerm and issuedTerm
	// are the terms that are persisted with them.
	stable, issued         Index
	stableTerm, issuedTerm Term
	// failed is set from a failed Persist until a complete one succeeds.
	failed bool
	// held are the messages that wait for a Persist.
	held []heldMessage
}

// heldMessage is a message that is sent once the Persist with this number is done.
type heldMessage struct {
	number uint64
	msg    Message
}

// markChanged records that the log changed from index i on.
func (di *disk) markChanged(i Index) {
	di.dirty = true
	if di.from == 0 || i < di.from {
		di.from = i
	}
	di.stable = min(di.stable, i-1)
	di.issued = min(di.issued, i-1)
}

// markReplaced records that a snapshot replaced the whole log.
func (di *disk) markReplaced() {
	di.dirty, di.snapshotChanged = true, true
	di.stable, di.issued = 0, 0
}

// synced reports whether all state is on the disk.
func (di *disk) synced() bool { return !di.writing && !di.dirty }

// persist emits a Persist with all changes, unless one is outstanding.
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
	snap := ma.log.snap
	switch {
	case di.failed:
		pe.Complete, pe.From = true, snap.Index+1
	case di.snapshotChanged:
		pe.From = snap.Index + 1
	case di.from != 0:
		pe.From = di.from
	}
	if (pe.Complete || di.snapshotChanged) && snap.Index > 0 {
		pe.Snapshot = &snap
	}
	if pe.From != 0 {
		pe.Entries = slices.Clip(ma.log.entriesFrom(pe.From))
	}
	di.writing, di.dirty, di.from, di.snapshotChanged = true, false, 0, false
	di.issued, di.issuedTerm = ma.log.last(), ma.term
	ma.emit(pe)
}

// persisted handles a Persisted: it sends the messages that waited for it, and lets a
// leader commit what its own disk now holds.
func (ma *Machine) persisted(number uint64) {
	di := &ma.disk
	if !di.writing || number != di.number {
		return
	}
	di.writing, di.failed = false, false
	di.stable, di.stableTerm = di.issued, di.issuedTerm
	rest := di.held[:0]
	for _, hm := range di.held {
		if hm.number <= number {
			ma.emit(Send{hm.msg})
		} else {
			rest = append(rest, hm)
		}
	}
	di.held = rest
	ma.voteSaved(number)
	if ma.role == Leader {
		ma.advanceCommit()
	}
}

// persistFailed handles a PersistFailed. Earlier Persists are still on the disk, so the
// acknowledgements sent for them hold. Messages that wait for the failed one are dropped.
func (ma *Machine) persistFailed(number uint64) {
	di := &ma.disk
	if number != 0 {
		if !di.writing || number != di.number {
			return
		}
		di.writing = false
	}
	di.failed, di.dirty = true, true
	di.held = di.held[:0]
	if ma.role == Leader {
		ma.handOver()
	}
	if ma.role != Follower {
		ma.becomeFollower(ma.term, "")
	}
}

// sendSynced sends a message that is only valid once the current state is on the disk:
// votes and acknowledgements are promises that must hold after a restart. It sends the
// message at once if the disk has the state, and otherwise holds it until the Persist with
// the state is done, or drops it if the term increases before. If maxHeld messages are held
// already, it drops the message at once, as if a link had lost it.
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
