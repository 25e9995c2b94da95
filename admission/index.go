package admission

import (
	"encoding/binary"

	"camphortrail/call"
)

// index maps attempt ids to task numbers. It is a hash table with linear probing that
// allocates only when it grows.
type index struct {
	seed    uint64
	entries []indexEntry
	count   int
}

// indexEntry is a slot of the table. It holds the task number plus one; zero marks an
// empty slot.
type indexEntry struct {
	id   call.AttemptID
	task int32
}

const minIndexEntries = 64

func newIndex(seed uint64) index {
	return index{seed: seed, entries: make([]indexEntry, minIndexEntries)}
}

// home returns the slot at which the search for id begins.
func (ix *index) home(id call.AttemptID) int {
	const multiplier = 0x9e3779b97f4a7c15
	hash := binary.LittleEndian.Uint64(id[:8]) ^ ix.seed
	hash = (hash*multiplier ^ hash>>32) + binary.LittleEndian.Uint64(id[8:])
	hash *= multiplier
	return int(hash>>32) & (len(ix.entries) - 1)
}

// find returns the slot of id, or the empty slot in which it belongs.
func (ix *index) find(id call.AttemptID) int {
	at := ix.home(id)
	for ix.entries[at].task != 0 && ix.entries[at].id != id {
		at = (at + 1) & (len(ix.entries) - 1)
	}
	return at
}

func (ix *index) get(id call.AttemptID) (task int32, ok bool) {
	en := &ix.entries[ix.find(id)]
	return en.task - 1, en.task != 0
}

func (ix *index) put(id call.AttemptID, task int32) {
	if 2*(ix.count+1) > len(ix.entries) {
		ix.grow()
	}
	ix.entries[ix.find(id)] = indexEntry{id: id, task: task + 1}
	ix.count++
}

func (ix *index) grow() {
	old := ix.entries
	ix.entries = make([]indexEntry, 2*len(old))
	for _, en := range old {
		if en.task != 0 {
			ix.entries[ix.find(en.id)] = en
		}
	}
}

// remove deletes id and moves later entries into the gap, so that the table needs no
// tombstones.
func (ix *index) remove(id call.AttemptID) {
	gap := ix.find(id)
	if ix.entries[gap].task == 0 {
		return
	}
	ix.count--
	mask := len(ix.entries) - 1
	for at := (gap + 1) & mask; ix.entries[at].task != 0; at = (at + 1) & mask {
		home := ix.home(ix.entries[at].id)
		if (at-home)&mask >= (at-gap)&mask {
			ix.entries[gap] = ix.entries[at]
			gap = at
		}
	}
	ix.entries[gap] = indexEntry{}
}
