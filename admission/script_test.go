package admission

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"camphortrail/call"

	"github.com/cockroachdb/datadriven"
)

// script runs the commands of a test file. Attempts are named by single letters.
type script struct {
	ct  *Controller
	now time.Time
}

func (sc *script) run(t *testing.T, td *datadriven.TestData) string {
	var ids string
	var after, slots, warmUp, imp, cohort, depth, deadline int
	for key, dst := range map[string]any{
		"id": &ids, "after": &after, "slots": &slots, "warm-up": &warmUp, "importance": &imp,
		"cohort": &cohort, "depth": &depth, "deadline": &deadline,
	} {
		if td.HasArg(key) {
			td.ScanArgs(t, key, dst)
		}
	}
	sc.now = sc.now.Add(time.Duration(after) * time.Millisecond)
	var out strings.Builder
	step := func(ev Event) {
		for _, ac := range sc.ct.Step(sc.now, ev) {
			out.WriteString(describe(ac))
		}
	}
	switch td.Cmd {
	case "announce":
		step(Announce{Slots: slots, WarmUp: time.Duration(warmUp) * time.Millisecond, Restarted: td.HasArg("restarted")})
	case "leave":
		step(Drain{})
	case "resume":
		step(Resume{})
	case "tick":
		step(Tick{})
	}
	for i := range len(ids) {
		id := call.AttemptID{ids[i]}
		switch td.Cmd {
		case "arrive":
			ev := Arrive{
				ID: id, Importance: call.Importance(imp), Cohort: call.Cohort(cohort), Depth: call.Depth(depth),
				Abortable: td.HasArg("abortable"),
			}
			if deadline > 0 {
				ev.Deadline = sc.now.Add(time.Duration(deadline) * time.Millisecond)
			}
			step(ev)
		case "finish":
			step(Finish{ID: id, OK: !td.HasArg("failed")})
		case "cancel":
			step(Cancel{ID: id})
		}
	}
	wake := "none"
	if due, ok := sc.ct.NextWake(sc.now); ok {
		wake = due.Sub(sc.now).String()
	}
	fmt.Fprintf(&out, "running=%d waiting=%d level=%x pressure=%x wake=%s\n",
		sc.ct.Running(), sc.ct.Waiting(), sc.ct.Level(), sc.ct.DelayedLevel(), wake)
	return out.String()
}

func describe(ac Action) string {
	switch ac := ac.(type) {
	case *Start:
		return fmt.Sprintf("start %c\n", ac.ID[0])
	case *Refuse:
		return fmt.Sprintf("refuse %c %v retry-after=%v\n", ac.ID[0], ac.Reason, ac.RetryAfter.Round(time.Millisecond))
	case *Abort:
		return fmt.Sprintf("abort %c\n", ac.ID[0])
	default:
		return fmt.Sprintf("unknown %T\n", ac)
	}
}

func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		sc := &script{ct: New(Settings{}, testRand()), now: epoch}
		datadriven.RunTest(t, path, sc.run)
	})
}
