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
	// free means that the claim was released and that the key can be claimed by an
	// attempt that has not released it.
	free phase = iota
	// held means that an attempt has claimed the key.
	held
	// finished means that the request ran or may have run.
	finished
)

// maxReleased is the maximum number of attempts remembered as having released a key.
const maxReleased = 8

// entry is the state of one key.
type entry struct {
	id     entryID
	digest Digest
	phase  phase
	// completed is set by Complete. A finished entry without it has timed out.
	completed  bool
	epoch      Epoch
	holder     call.AttemptID
	retention  time.Duration
	answer     []byte
	releasedBy []call.AttemptID
	// expires is the time at which expire advances the entry.
	expires    time.Time
	expiryItem expiry.Item[*entry]
}

// heldBy reports whether the attempt made the latest claim, with the given epoch, and
// has not released it.
func (en *entry) heldBy(at call.AttemptID, ep Epoch) bool {
	return en.phase != free && en.holder == at && en.epoch == ep
}

func (en *entry) wasReleasedBy(at call.AttemptID) bool {
	return slices.Contains(en.releasedBy, at)
}

func (en *entry) result() Result {
	return Result{State: Finished, Epoch: en.epoch, Answer: en.answer}
}

// endClaim ends the claim of the attempt and remembers the attempt. A delayed copy of its
// claim is then refused; it would otherwise hold the key although no request is executed.
func (en *entry) endClaim(at call.AttemptID) {
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

// size returns the entry's share of Table.bytes.
func (en *entry) size() int {
	return len(en.id.tenant) + len(en.id.key) + len(en.digest) + len(en.answer)
}

// scheduleExpiry sets the time at which expire advances the entry.
func (tb *Table) scheduleExpiry(en *entry, at time.Time) {
	en.expires = at
	tb.expiry.Set(&en.expiryItem, at)
}

// finish marks the entry as finished. The next expiry removes the answer, or the entry
// if there is no answer.
func (tb *Table) finish(en *entry) {
	en.phase = finished
	if en.answer == nil {
		tb.scheduleExpiry(en, tb.now.Add(tb.lim.KeyRetention))
		return
	}
	tb.scheduleExpiry(en, tb.now.Add(en.retention))
}

// expire advances each entry whose expiry has passed: a held entry becomes finished, a
// finished one with an answer loses the answer, and any other is removed.
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
