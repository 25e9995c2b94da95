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

// bench drives a FailureDetector in virtual time and passes its actions to log.
type bench struct {
	fd  *withdrawal.FailureDetector
	now time.Time
	log func(at time.Duration, ac withdrawal.Action)
}

// step passes a signal to the detector and logs its actions.
func (bn *bench) step(sg withdrawal.Signal) {
	for _, ac := range bn.fd.Step(bn.now, sg) {
		bn.log(bn.now.Sub(epoch), ac)
	}
}

// pass advances the time by d and sends TimePassed whenever it is due.
func (bn *bench) pass(d time.Duration) {
	end := bn.now.Add(d)
	for {
		at, ok := bn.fd.NextWake()
		if !ok || at.After(end) {
			break
		}
		bn.now = slices.MaxFunc([]time.Time{at, bn.now}, time.Time.Compare)
		bn.step(withdrawal.TimePassed{})
	}
	bn.now = end
}

// attempt returns the attempt id that begins with name.
func attempt(name string) (id call.AttemptID) {
	copy(id[:], name)
	return id
}

// TestFailureDetector runs the scripts in testdata/suspicion. A line is a signal, "after" to
// let time pass with each TimePassed on time, or "stall" to let time pass with a single late
// one. "sent" is an attempt whose answer is expected within 200 ms, "slow" one without an
// expected time, and "lagged" one that is reported late.
func TestFailureDetector(t *testing.T) {
	datadriven.Walk(t, "testdata/suspicion", func(t *testing.T, path string) {
		var out strings.Builder
		bn := &bench{fd: withdrawal.NewFailureDetector(withdrawal.DefaultFailureDetectorLimits()), now: epoch}
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

// run executes one line of a script.
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

// TestSilentConnections sends attempts on connections that acknowledge within 90 ms until,
// possibly, they become silent. A silent connection must be suspected within 500 ms of the
// first lost attempt, and a live one never. Each attempt without an answer must be queried
// within a second.
func TestSilentConnections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		firstLost := map[withdrawal.ConnID]time.Time{}
		suspected := map[withdrawal.ConnID]bool{}
		queried := map[call.AttemptID]bool{}
		pending := map[call.AttemptID]time.Time{}
		bn := &bench{fd: withdrawal.NewFailureDetector(withdrawal.DefaultFailureDetectorLimits()), now: epoch}
		bn.log = func(_ time.Duration, ac withdrawal.Action) {
			switch ac := ac.(type) {
			case withdrawal.MarkSuspect:
				if firstLost[ac.Conn].IsZero() {
					t.Fatalf("live connection %d is suspected", ac.Conn)
				}
				suspected[ac.Conn] = true
			case withdrawal.Query:
				queried[ac.Attempt] = true
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
				pending[id] = bn.now
			}
			if bn.fd.ConnCount() > len(pending) {
				t.Fatalf("%d connections with %d pending attempts", bn.fd.ConnCount(), len(pending))
			}
			bn.pass(time.Duration(rapid.IntRange(0, 50).Draw(t, "pause ms")) * time.Millisecond)
			for conn, at := range firstLost {
				if bn.now.Sub(at) > 500*time.Millisecond && !suspected[conn] {
					t.Fatalf("connection %d silent for %v is not suspected", conn, bn.now.Sub(at))
				}
			}
			for id, at := range pending {
				if bn.now.Sub(at) > time.Second && !queried[id] {
					t.Fatalf("attempt %v, pending for %v, is not queried", id, bn.now.Sub(at))
				}
			}
		}
	})
}
