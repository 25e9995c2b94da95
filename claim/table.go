// Package claim decides which attempt may execute the request with an idempotency key.
// A Table is a deterministic state machine that is driven by a replicated log: the same
// operations at the same times give the same table on every replica.
//
// A request is executed at most once while its key is in the table. If the attempt that
// holds a claim disappears, the request may have run, so the claim is not granted to
// another attempt: after Limits.ClaimTimeout the key becomes finished without an answer.
package claim

import (
	"time"

	"camphortrail/call"
	"camphortrail/internal/state/expiry"
)

// Limits bounds a Table. All replicas of a log must use the same limits, or their tables
// diverge.
type Limits struct {
	// Keys is the maximum number of keys, in any state.
	Keys int
	// KeysPerTenant is the maximum number of keys of one tenant.
	KeysPerTenant int
	// Bytes is the maximum total size of all tenants, keys, digests and answers.
	Bytes int
	// AnswerBytes is the maximum size of an answer that is stored. Larger ones are dropped.
	AnswerBytes int
	// KeyBytes is the maximum size of tenant, key and digest together.
	KeyBytes int
	// ClaimTimeout is the time after which a claim that was neither completed nor
	// released becomes finished without an answer.
	ClaimTimeout time.Duration
	// AnswerRetention is the maximum time for which an answer is stored.
	AnswerRetention time.Duration
	// KeyRetention is the time for which a released key, or a finished one without its
	// answer, is remembered. It must exceed the time in which callers may resend a request.
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

// Table holds the claims of one replicated log. It is not safe for concurrent use.
type Table struct {
	lim Limits
	// now is the latest time passed to Step, and epoch that of the latest grant.
	now   time.Time
	epoch Epoch
	// bytes is the total that Limits.Bytes bounds.
	bytes   int
	entries map[entryID]*entry
	// tenants counts the keys of each tenant.
	tenants map[call.Deployment]int
	expiry  expiry.Queue[*entry]
}

// entryID identifies an entry.
type entryID struct {
	tenant call.Deployment
	key    Key
}

// New returns an empty table.
func New(lim Limits) *Table {
	return &Table{
		lim:     lim,
		entries: make(map[entryID]*entry),
		tenants: make(map[call.Deployment]int),
	}
}

// Len returns the number of keys in the table.
func (tb *Table) Len() int { return len(tb.entries) }

// Bytes returns the total size of all tenants, keys, digests and answers.
func (tb *Table) Bytes() int { return tb.bytes }

// Step applies op. The time now is that of the log entry. Time never goes backwards: a
// time before that of an earlier Step is replaced by the earlier one.
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

// claim grants a new or released key. It also succeeds for the attempt that holds the key, and
// returns the state of the key to any other.
func (tb *Table) claim(op Claim) Result {
	en := tb.entries[entryID{op.Tenant, op.Key}]
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

// add inserts a key that is not in the table and grants its claim, within the limits.
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
	en := &entry{id: entryID{op.Tenant, op.Key}, digest: op.Digest}
	tb.insert(en)
	return tb.grant(en, op)
}

// grant gives the right to execute to the claiming attempt, under a new epoch.
func (tb *Table) grant(en *entry, op Claim) Result {
	tb.epoch++
	en.phase = held
	en.epoch = tb.epoch
	en.holder = op.Attempt
	en.retention = max(0, min(op.Retention, tb.lim.AnswerRetention))
	tb.scheduleExpiry(en, tb.now.Add(tb.lim.ClaimTimeout))
	return Result{State: Granted, Epoch: en.epoch}
}

// complete finishes a key. An answer that exceeds the limits is not stored.
func (tb *Table) complete(op Complete) Result {
	en := tb.entries[entryID{op.Tenant, op.Key}]
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

// release frees a key. A repeated release of the same attempt succeeds again.
func (tb *Table) release(op Release) Result {
	en := tb.entries[entryID{op.Tenant, op.Key}]
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
	en.endClaim(op.Attempt)
	tb.scheduleExpiry(en, tb.now.Add(tb.lim.KeyRetention))
	return Result{State: Released, Epoch: en.epoch}
}
