// Package claim decides who may execute the request with an idempotency key.
// A Table is applied from a replicated log: equal operations at equal times
// give equal tables on every replica.
//
// A key is executed at most once while the table knows it. A claim whose
// holder vanished is never granted again: it ends as finished without an
// answer.
package claim

import (
	"time"

	"camphortrail/call"
	"camphortrail/internal/state/expiry"
)

// Limits bounds a Table. All replicas of a log must use the same.
type Limits struct {
	// Keys is the largest number of keys, in any state.
	Keys int
	// KeysPerTenant is the largest number of keys of one tenant.
	KeysPerTenant int
	// Bytes is the largest sum of the sizes of answers and keys.
	Bytes int
	// AnswerBytes is the size of the largest answer that is kept.
	AnswerBytes int
	// KeyBytes is the size of the longest tenant, key and digest together.
	KeyBytes int
	// ClaimTimeout is the time after which a claim counts as finished without an
	// answer.
	ClaimTimeout time.Duration
	// AnswerRetention is the longest time for which an answer is kept.
	AnswerRetention time.Duration
	// KeyRetention is the time for which a key is remembered after it finished. It
	// must exceed the time in which callers may send a request again.
	KeyRetention time.Duration
}

// DefaultLimits returns the limits of a control replica.
func DefaultLimits() Limits {
	return Limits{
		Keys:            1 << 20,
		KeysPerTenant:   1 << 19,
		Bytes:           512 << 20,
		AnswerBytes:     64 << 10,
		KeyBytes:        1 << 10,
		ClaimTimeout:    2 * time.Minute,
		AnswerRetention: time.Hour,
		KeyRetention:    2 * time.Hour,
	}
}

// Table holds the claims of one log. It is not safe for concurrent use.
type Table struct {
	lim     Limits
	now     time.Time
	epoch   Epoch
	bytes   int
	entries map[name]*entry
	tenants map[call.Tenant]int
	expiry  expiry.Queue[*entry]
}

// name identifies an entry.
type name struct {
	tenant call.Tenant
	key    Key
}

// New returns an empty table.
func New(lim Limits) *Table {
	return &Table{
		lim:     lim,
		entries: make(map[name]*entry),
		tenants: make(map[call.Tenant]int),
	}
}

// Len returns the number of keys in the table.
func (tb *Table) Len() int { return len(tb.entries) }

// Bytes returns the sum of the sizes of answers and keys.
func (tb *Table) Bytes() int { return tb.bytes }

// Step applies op. The time now is that of the log entry; a time before an
// earlier one counts as the earlier one.
func (tb *Table) Step(now time.Time, op Operation) Result {
	if now.After(tb.now) {
		tb.now = now
	}
	tb.expire()
	switch op := op.(type) {
	case Claim:
		return tb.claim(op)
	case Complete:
		return tb.complete(op)
	case Release:
		return tb.release(op)
	}
	return Result{State: Invalid}
}

func (tb *Table) claim(op Claim) Result {
	en := tb.entries[name{op.Tenant, op.Key}]
	switch {
	case en == nil:
		return tb.add(op)
	case en.digest != op.Digest:
		return Result{State: Mismatch}
	case en.wasReleasedBy(op.Attempt):
		return Result{State: Fenced, Epoch: en.epoch}
	case en.phase == finished:
		return en.result()
	case en.phase == free:
		return tb.grant(en, op)
	case en.holder == op.Attempt:
		return Result{State: Granted, Epoch: en.epoch}
	}
	return Result{State: Held, Epoch: en.epoch}
}

func (tb *Table) add(op Claim) Result {
	size := len(op.Tenant) + len(op.Key) + len(op.Digest)
	switch {
	case size > tb.lim.KeyBytes:
		return Result{State: Invalid}
	case len(tb.entries) >= tb.lim.Keys,
		tb.tenants[op.Tenant] >= tb.lim.KeysPerTenant,
		tb.bytes+size > tb.lim.Bytes:
		return Result{State: Full}
	}
	en := &entry{id: name{op.Tenant, op.Key}, digest: op.Digest}
	tb.insert(en)
	return tb.grant(en, op)
}

func (tb *Table) grant(en *entry, op Claim) Result {
	tb.epoch++
	en.phase = held
	en.epoch = tb.epoch
	en.holder = op.Attempt
	en.retention = max(0, min(op.Retention, tb.lim.AnswerRetention))
	tb.scheduleExpiry(en, tb.now.Add(tb.lim.ClaimTimeout))
	return Result{State: Granted, Epoch: en.epoch}
}

func (tb *Table) complete(op Complete) Result {
	en := tb.entries[name{op.Tenant, op.Key}]
	if en == nil || !en.heldBy(op.Attempt, op.Epoch) {
		return Result{State: Fenced}
	}
	if en.phase == finished && en.completed {
		return en.result()
	}
	en.completed = true
	if len(op.Answer) <= tb.lim.AnswerBytes && tb.bytes+len(op.Answer) <= tb.lim.Bytes {
		en.answer = op.Answer
		tb.bytes += len(op.Answer)
	}
	tb.finish(en)
	return en.result()
}

func (tb *Table) release(op Release) Result {
	en := tb.entries[name{op.Tenant, op.Key}]
	switch {
	case en == nil:
		return Result{State: Fenced}
	case en.phase == free && en.wasReleasedBy(op.Attempt):
		return Result{State: Released, Epoch: en.epoch}
	case !en.heldBy(op.Attempt, op.Epoch):
		return Result{State: Fenced, Epoch: en.epoch}
	case en.phase == finished && en.completed:
		return en.result()
	}
	en.release(op.Attempt)
	tb.scheduleExpiry(en, tb.now.Add(tb.lim.KeyRetention))
	return Result{State: Released, Epoch: en.epoch}
}
