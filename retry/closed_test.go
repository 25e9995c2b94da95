package retry_test

import (
	"encoding/binary"
	"runtime"
	"testing"
	"time"

	"camphortrail/call"
	"camphortrail/retry"
)

// attempts opens and closes accounts of attempts at a steady rate, and returns the number
// that the ledger refused.
func attempts(lg *retry.Ledger, perSecond int, length time.Duration) (refused int) {
	for n := range perSecond * int(length/time.Second) {
		now := epoch.Add(time.Duration(n) * time.Second / time.Duration(perSecond))
		var id call.AttemptID
		binary.BigEndian.PutUint64(id[:], uint64(n))
		if lg.Step(now, retry.OpenAttempt{Attempt: id, Budget: 1, Deadline: now.Add(700 * time.Millisecond)}).Decision != retry.FirstSend {
			refused++
		}
		lg.Step(now.Add(10*time.Millisecond), retry.Close{Account: retry.AttemptAccount(id)})
	}
	return refused
}

// Guards against garbage collection cost: the closed accounts of the last half minute
// must not each be a heap object that the collector scans.
func TestClosedAccountsAddFewHeapObjects(t *testing.T) {
	// The bound is one heap object for each 100 accounts that are opened in 25 s, which
	// is what the capacity planning assumes.
	const perSecond, most = 4000, 4000 * 25 / 100
	lg := retry.New(retry.DefaultLimits())
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	attempts(lg, perSecond, 25*time.Second)
	runtime.GC()
	runtime.ReadMemStats(&after)
	if objects := int(after.HeapObjects) - int(before.HeapObjects); objects > most {
		t.Errorf("%d objects for %d accounts, want at most %d", objects, lg.Len(), most)
	}
	runtime.KeepAlive(lg)
}

// Guards against a ledger full of accounts of attempts that have ended. A quick service
// filled it, and its guard then refused all work.
func TestClosedAccountsDoNotFillLedger(t *testing.T) {
	if refused := attempts(retry.New(retry.DefaultLimits()), 5000, time.Minute); refused > 0 {
		t.Errorf("%d attempts refused though none runs for more than 10 ms", refused)
	}
}
