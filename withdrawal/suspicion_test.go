package withdrawal_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"camphortrail/call"
	"camphortrail/withdrawal"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"
)

// bench drives a Suspicion and wakes it when it asks for it.
type bench struct {
	su  *withdrawal.FailureDetector
	now time.Time
	log func(at time.Duration, ac withdrawal.Action)
}

func (bn *bench) step(sg withdrawal.Signal) {
	for _, ac := range bn.su.Step(bn.now, sg) {
		bn.log(bn.now.Sub(epoch), ac)
	}
}

// pass lets time pass, with a wake-up in time whenever one is due.
func (bn *bench) pass(d time.Duration) {
	end := bn.now.Add(d)
	for {
		at, ok := bn.su.NextWake()
		if !ok || at.After(end) {
			break
		}
		bn.now = slices.MaxFunc([]time.Time{at, bn.now}, time.Time.Compare)
		bn.step(withdrawal.TimePassed{})
	}
	bn.now = end
}

func attempt(name string) (id call.AttemptID) {
	copy(id[:], name)
	return id
}

// TestSuspicion runs the scripts; each line is a signal, "after" with timely
// wake-ups, or "stall" with a single late one. "sent" expects an answer in
// 200 ms, "slow" has no expectation, and "lagged" is noted late.
func TestSuspicion(t *testing.T) {
	datadriven.Walk(t, "testdata/suspicion", func(t *testing.T, path string) {
		var out strings.Builder
		bn := &bench{su: withdrawal.NewFailureDetector(withdrawal.DefaultFailureDetectorLimits()), now: epoch}
		bn.log = func(at time.Duration, ac withdrawal.Action) {
			switch ac := ac.(type) {
			case withdrawal.MarkSuspect:
				fmt.Fprintf(&out, "%v suspect %d\n", at, ac.Conn)
			case withdrawal.CloseConn:
				fmt.Fprintf(&out, "%v close %d\n", at, ac.Conn)
			case withdrawal.Query:
				name := strings.TrimRight(string(ac.Attempt[:]), "\x00")
				fmt.Fprintf(&out, "%v query %s at %s withdraw=%v\n", at, name, ac.VM, ac.Withdraw)
			}
		}
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			out.Reset()
			for line := range strings.Lines(td.Input) {
				bn.run(t, strings.Fields(line))
			}
			return out.String()
		})
	})
}

func (bn *bench) run(t *testing.T, args []string) {
	t.Helper()
	var conn withdrawal.ConnID
	d, _ := time.ParseDuration(args[1])
	_, _ = fmt.Sscan(args[1], &conn)
	switch args[0] {
	case "sent":
		bn.step(withdrawal.Sent{
			Conn: conn, Attempt: attempt(args[2]), VM: "v", Deadline: bn.now.Add(5 * time.Second),
			Expected: 200 * time.Millisecond,
		})
	case "acked":
		bn.step(withdrawal.Acked{Attempt: attempt(args[1])})
	case "settled":
		bn.step(withdrawal.Settled{Attempt: attempt(args[1])})
	case "slow":
		bn.step(withdrawal.Sent{Conn: conn, Attempt: attempt(args[2]), VM: "v", Deadline: bn.now.Add(5 * time.Second)})
	case "failed":
		bn.step(withdrawal.Failed{Attempt: attempt(args[1])})
	case "gone":
		bn.step(withdrawal.ConnClosed{Conn: conn})
	case "after":
		bn.pass(d)
	case "lagged":
		_, _ = fmt.Sscan(args[2], &conn)
		sent := bn.now
		bn.now = bn.now.Add(d)
		bn.step(withdrawal.Sent{
			Conn: conn, Attempt: attempt(args[3]), VM: "v", At: sent, Deadline: bn.now.Add(5 * time.Second),
			Expected: 200 * time.Millisecond,
		})
	case "stall":
		bn.now = bn.now.Add(d)
		bn.step(withdrawal.TimePassed{})
	default:
		t.Fatalf("unknown signal %q", args[0])
	}
}

// TestSilentConnections sends attempts on connections that acknowledge
// within 90 ms, or never again from some time on. Silent ones must be
// suspected within 500 ms of the first lost attempt, the others never; and
// each attempt that is left open is asked about within a second.
func TestSilentConnections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		firstLost := map[withdrawal.ConnID]time.Time{}
		suspected := map[withdrawal.ConnID]bool{}
		asked := map[call.AttemptID]bool{}
		opened := map[call.AttemptID]time.Time{}
		bn := &bench{su: withdrawal.NewFailureDetector(withdrawal.DefaultFailureDetectorLimits()), now: epoch}
		bn.log = func(_ time.Duration, ac withdrawal.Action) {
			switch ac := ac.(type) {
			case withdrawal.MarkSuspect:
				if firstLost[ac.Conn].IsZero() {
					t.Fatalf("live connection %d is suspected", ac.Conn)
				}
				suspected[ac.Conn] = true
			case withdrawal.Query:
				asked[ac.Attempt] = true
			}
		}
		for n := range rapid.IntRange(1, 60).Draw(t, "attempts") {
			conn := withdrawal.ConnID(rapid.IntRange(1, 3).Draw(t, "conn"))
			id := attempt(fmt.Sprint(n))
			bn.step(withdrawal.Sent{Conn: conn, Attempt: id, VM: "v", Deadline: bn.now.Add(time.Minute)})
			silent := !firstLost[conn].IsZero() || rapid.IntRange(0, 9).Draw(t, "goes silent") == 0
			if silent && firstLost[conn].IsZero() {
				firstLost[conn] = bn.now
			}
			if !silent {
				bn.pass(time.Duration(rapid.IntRange(1, 90).Draw(t, "ack ms")) * time.Millisecond)
				bn.step(withdrawal.Acked{Attempt: id})
			}
			if !silent && rapid.Bool().Draw(t, "answered") {
				bn.step(withdrawal.Settled{Attempt: id})
			} else {
				opened[id] = bn.now
			}
			if bn.su.ConnCount() > len(opened) {
				t.Fatalf("%d connections held with %d attempts open", bn.su.ConnCount(), len(opened))
			}
			bn.pass(time.Duration(rapid.IntRange(0, 50).Draw(t, "pause ms")) * time.Millisecond)
			for conn, at := range firstLost {
				if bn.now.Sub(at) > 500*time.Millisecond && !suspected[conn] {
					t.Fatalf("connection %d silent for %v is not suspected", conn, bn.now.Sub(at))
				}
			}
			for id, at := range opened {
				if bn.now.Sub(at) > time.Second && !asked[id] {
					t.Fatalf("attempt %v open for %v is not asked about", id, bn.now.Sub(at))
				}
			}
		}
	})
}
