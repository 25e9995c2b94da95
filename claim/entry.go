package claim

import (
	"slices"
	"time"

	"camphortrail/call"
	"camphortrail/internal/state/expiry"
)

// phase is the stage of an entry.
type phase uint8

const (
	// free entries were released and remember who released them.
	free phase = iota
	held
	finished
)

// maxReleased bounds the attempts remembered after a release.
const maxReleased = 8

// entry is what a table knows of one key.
type entry struct {
	id   name
	digest Digest
	phase  phase
	// completed tells a completed entry from one whose holder vanished.
	completed  bool
	epoch     Epoch
	holder    call.AttemptID
	retention time.Duration
	answer    []byte
	releasedBy      []call.AttemptID
	expires      time.Time
	expiryItem      expiry.Item[*entry]
}

func (en *entry) heldBy(at call.AttemptID, ep Epoch) bool {
	return en.phase != free && en.holder == at && en.epoch == ep
}

func (en *entry) wasReleasedBy(at call.AttemptID) bool {
	return slices.Contains(en.releasedBy, at)
}

func (en *entry) result() Result {
	return Result{State: Finished, Epoch: en.epoch, Answer: en.answer}
}

// release ends the claim of the attempt, which may not claim again: a late copy
// of its claim would hold the key without a holder.
func (en *entry) release(at call.AttemptID) {
	if len(en.releasedBy) == maxReleased {
		en.releasedBy = slices.Delete(en.releasedBy, 0, 1)
	}
	en.releasedBy = append(en.releasedBy, at)
	en.phase = free
	en.holder = call.AttemptID{}
}

func (tb *Table) insert(en *entry) {
	tb.entries[en.id] = en
	tb.tenants[en.id.tenant]++
	tb.bytes += en.size()
	en.expiryItem.Value = en
}

func (tb *Table) remove(en *entry) {
	delete(tb.entries, en.id)
	tb.bytes -= en.size()
	if tb.tenants[en.id.tenant]--; tb.tenants[en.id.tenant] == 0 {
		delete(tb.tenants, en.id.tenant)
	}
}

// size returns the bytes that the entry counts for.
func (en *entry) size() int {
	return len(en.id.tenant) + len(en.id.key) + len(en.digest) + len(en.answer)
}

func (tb *Table) scheduleExpiry(en *entry, at time.Time) {
	en.expires = at
	tb.expiry.Set(&en.expiryItem, at)
}

// finish starts the retention of the answer.
func (tb *Table) finish(en *entry) {
	en.phase = finished
	if en.answer == nil {
		tb.scheduleExpiry(en, tb.now.Add(tb.lim.KeyRetention))
		return
	}
	tb.scheduleExpiry(en, tb.now.Add(en.retention))
}

// expire moves each entry whose time has come to its next stage: held to
// finished, finished to finished without its answer, then out.
func (tb *Table) expire() {
	for {
		en, ok := tb.expiry.PopBefore(tb.now)
		switch {
		case !ok:
			return
		case en.phase == held:
			tb.finish(en)
		case en.answer != nil:
			tb.bytes -= len(en.answer)
			en.answer = nil
			tb.scheduleExpiry(en, tb.now.Add(tb.lim.KeyRetention))
		default:
			tb.remove(en)
		}
	}
}
