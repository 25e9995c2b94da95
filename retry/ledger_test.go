package retry_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"camphortrail/call"
	"camphortrail/retry"

	"github.com/cockroachdb/datadriven"
)

// TestLedger runs the scripts. Each line is one event. Ids are short words; those of root
// requests begin with a capital.
func TestLedger(t *testing.T) {
	datadriven.Walk(t, "testdata/ledger", func(t *testing.T, path string) {
		lg := retry.New(retry.Limits{Accounts: 4, Calls: 3, Retention: 5 * time.Second})
		now := epoch
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			if td.Cmd != "events" {
				t.Fatalf("unknown command %q", td.Cmd)
			}
			var out strings.Builder
			for line := range strings.Lines(td.Input) {
				var name, id, other string
				var n int
				_, _ = fmt.Sscanf(strings.TrimSpace(line), "%s %s %s %d", &name, &id, &other, &n)
				if name == "after" {
					d, err := time.ParseDuration(id)
					if err != nil {
						t.Fatal(err)
					}
					now = now.Add(d)
				}
				res := lg.Step(now, event(t, now, name, id, other, n))
				fmt.Fprintf(&out, "%s: %s %d\n", strings.TrimSpace(line), decisions[res.Decision], res.Budget)
			}
			return out.String()
		})
	})
}

var decisions = map[retry.Decision]string{
	retry.Refused:    "refused",
	retry.FirstSend:  "first",
	retry.Charged:    "charged",
	retry.NoDecision: "noted",
}

func event(t *testing.T, now time.Time, name, id, other string, n int) retry.Event {
	t.Helper()
	account := retry.AttemptAccount(attempt(id))
	if id != "" && id[0] <= 'Z' {
		account = retry.RequestAccount(call.RequestID(attempt(id)))
	}
	deadline := now.Add(10 * time.Second)
	switch name {
	case "request":
		var total retry.Budget
		_, _ = fmt.Sscan(other, &total)
		return retry.OpenRequest{
			Request: call.RequestID(attempt(id)), Total: total, Resend: uint32(n), Deadline: deadline,
		}
	case "attempt":
		var all retry.Budget
		_, _ = fmt.Sscan(other, &all)
		return retry.OpenAttempt{Attempt: attempt(id), Budget: all, Deadline: deadline}
	case "call":
		return retry.Call{Account: account, Digest: retry.DigestOf("s", "GET", other, 0)}
	case "retry":
		return retry.Retry{Account: account}
	case "send":
		return retry.Send{Account: account, Attempt: attempt(other)}
	case "return":
		return retry.Return{Account: account, Attempt: attempt(other), Unused: retry.Budget(n)}
	case "lost":
		return retry.Lost{Account: account, Attempt: attempt(other)}
	case "close":
		return retry.Close{Account: account}
	case "after":
		return retry.Tick{}
	}
	t.Fatalf("unknown event %q", name)
	return nil
}

func attempt(name string) (id call.AttemptID) {
	copy(id[:], name)
	return id
}

func TestSendBudgetsSumToTotal(t *testing.T) {
	for total := range retry.Budget(40) {
		var sum retry.Budget
		for n := range uint32(50) {
			share, ok := retry.SendBudget(total, n)
			if !ok {
				break
			}
			if n > 0 {
				sum++
			}
			sum += share
		}
		if sum > total || total > 0 && sum == 0 {
			t.Errorf("total %d: parts and resends add up to %d", total, sum)
		}
	}
}

func TestSendBudgetOfManyResends(t *testing.T) {
	if _, ok := retry.SendBudget(1<<31, 1<<31); ok {
		t.Error("resend beyond the total is allowed")
	}
}

func ExampleLedger() {
	entry, guard := retry.New(retry.DefaultLimits()), retry.New(retry.DefaultLimits())
	now := time.Unix(1_000_000, 0)
	deadline := now.Add(time.Second)

	rid, at := call.RequestID{1}, call.AttemptID{2}
	root := retry.RequestAccount(rid)
	entry.Step(now, retry.OpenRequest{Request: rid, Total: 6, Deadline: deadline})
	down := entry.Step(now, retry.Send{Account: root, Attempt: at})
	fmt.Println("carried down:", down.Budget)

	guard.Step(now, retry.OpenAttempt{Attempt: at, Budget: down.Budget, Deadline: deadline})
	res := guard.Step(now, retry.Retry{Account: retry.AttemptAccount(at)})
	fmt.Println("retry granted:", res.Decision == retry.Charged)

	unused := guard.Step(now, retry.Close{Account: retry.AttemptAccount(at)}).Budget
	res = entry.Step(now, retry.Return{Account: root, Attempt: at, Unused: unused})
	fmt.Println("brought back:", res.Budget)
	// Output:
	// carried down: 1
	// retry granted: true
	// brought back: 0
}
