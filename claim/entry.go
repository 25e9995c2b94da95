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
	name   name
	digest Digest
	phase  phase
	// answered tells a completed entry from one whose holder vanished.
	answered  bool
	epoch     Epoch
	holder    call.AttemptID
	retention time.Duration
	answer    []byte
	past      []call.AttemptID
	wake      time.Time
	item      expiry.Item[*entry]
}

func (en *entry) heldBy(at call.AttemptID, ep Epoch) bool {
	return en.phase != free && en.holder == at && en.epoch == ep
}

func (en *entry) released(at call.AttemptID) bool {
	return slices.Contains(en.past, at)
}

func (en *entry) result() Result {
	return Result{State: Finished, Epoch: en.epoch, Answer: en.answer}
}

// free ends the claim of the attempt, which may not claim again: a late copy
// of its claim would hold the key without a holder.
func (en *entry) free(at call.AttemptID) {
	if len(en.past) == maxReleased {
		en.past = slices.Delete(en.past, 0, 1)
	}
	en.past = append(en.past, at)
	en.phase = free
	en.holder = call.AttemptID{}
}

func (tb *Table) insert(en *entry) {
	tb.entries[en.name] = en
	tb.tenants[en.name.tenant]++
	tb.bytes += en.size()
	en.item.Value = en
}

func (tb *Table) remove(en *entry) {
	delete(tb.entries, en.name)
	tb.bytes -= en.size()
	if tb.tenants[en.name.tenant]--; tb.tenants[en.name.tenant] == 0 {
		delete(tb.tenants, en.name.tenant)
	}
}

// size returns the bytes that the entry counts for.
func (en *entry) size() int {
	return len(en.name.tenant) + len(en.name.key) + len(en.digest) + len(en.answer)
}

func (tb *Table) wake(en *entry, at time.Time) {
	en.wake = at
	tb.expiry.Set(&en.item, at)
}

// finish starts the retention of the answer.
func (tb *Table) finish(en *entry) {
	en.phase = finished
	if en.answer == nil {
		tb.wake(en, tb.now.Add(tb.lim.KeyRetention))
		return
	}
	tb.wake(en, tb.now.Add(en.retention))
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
			tb.wake(en, tb.now.Add(tb.lim.KeyRetention))
		default:
			tb.remove(en)
		}
	}
}
