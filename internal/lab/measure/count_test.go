package measure

import (
	"fmt"
	"maps"
	"net/http"
	"testing"
	"time"

	"camphortrail/call"
	"camphortrail/internal/lab/standin"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns the time ms milliseconds after the start of a run.
func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

var testTimeline = timeline{begin: at(0), triggerStart: at(1000), triggerEnd: at(2000), end: at(6000)}

// roots returns a root every 10 ms, which succeeds unless it arrives in one of the broken
// ranges.
func roots(broken ...[2]int) []standin.Root {
	var list []standin.Root
	for ms := 0; ms < 6000; ms += 10 {
		rt := standin.Root{ID: standin.RootID(ms + 1), Importance: 2, Arrived: at(ms), Ended: at(ms + 5), Succeeded: true}
		for _, br := range broken {
			if ms >= br[0] && ms < br[1] {
				rt.Succeeded = false
			}
		}
		list = append(list, rt)
	}
	return list
}

// TestGoodput guards against counting roots that fail, or that end after the trigger.
func TestGoodput(t *testing.T) {
	lg := &standin.Log{Roots: roots([2]int{1500, 1750})}
	if got := goodput(lg, testTimeline, 100); got != 0.75 {
		t.Errorf("goodput = %v, want 0.75", got)
	}
	late := &standin.Log{Roots: []standin.Root{{Arrived: at(1990), Ended: at(2000), Succeeded: true}}}
	if got := goodput(late, testTimeline, 100); got != 0 {
		t.Errorf("goodput of a root that ends after the trigger = %v, want 0", got)
	}
}

// TestImportantShare checks that only the roots of the highest importance count.
func TestImportantShare(t *testing.T) {
	list := roots([2]int{1000, 2000})
	for i := range list {
		if list[i].Arrived.Equal(at(1000)) || list[i].Arrived.Equal(at(1500)) {
			list[i].Importance = 7
			list[i].Succeeded = list[i].Arrived.Equal(at(1500))
		}
	}
	if got := importantShare(&standin.Log{Roots: list}, testTimeline); got != 0.5 {
		t.Errorf("share = %v, want 0.5", got)
	}
	if got := importantShare(&standin.Log{}, testTimeline); got != 1 {
		t.Errorf("share without roots = %v, want 1", got)
	}
}

// TestRecovery checks the recovery time of runs that fail in different periods. The
// normal success ratio is the one before the trigger, even if it is low.
func TestRecovery(t *testing.T) {
	for _, tt := range []struct {
		name   string
		broken [][2]int
		want   int64
	}{
		{"nothing fails", nil, 0},
		{"only the trigger", [][2]int{{1000, 2000}}, 0},
		{"300 ms longer", [][2]int{{1000, 2300}}, 300},
		{"one failure in a window counts", [][2]int{{1000, 2000}, {2440, 2450}}, 500},
		{"two periods", [][2]int{{1000, 2200}, {3900, 4000}}, 2000},
		{"to the end", [][2]int{{1000, 6000}}, -1},
		{"in the last second", [][2]int{{5500, 5510}}, -1},
		{"a low success ratio before the trigger is normal", [][2]int{{0, 500}, {2000, 2050}}, 0},
	} {
		if got := recovery(&standin.Log{Roots: roots(tt.broken...)}, testTimeline); got != tt.want {
			t.Errorf("%s: recovery = %d, want %d", tt.name, got, tt.want)
		}
	}
}

// TestOrderViolations checks which starts of less important work count as a violation:
// those of sends that left their caller after the refused one, at the given service, up
// to one window after the refusal.
func TestOrderViolations(t *testing.T) {
	important := standin.Send{Root: 1, Number: 1, Importance: 7, Sent: at(100), Ended: at(110), Status: http.StatusServiceUnavailable}
	for _, tt := range []struct {
		name         string
		sent, start  int
		service      call.Service
		importance   call.Importance
		importantGot int
		want         int
	}{
		{"later and started after the refusal", 120, 130, "cassa", 2, 503, 1},
		{"later and started at the end of the window", 120, 210, "cassa", 2, 503, 1},
		{"started before the refusal", 105, 108, "cassa", 2, 503, 1},
		{"after the window", 120, 211, "cassa", 2, 503, 0},
		{"sent before", 99, 130, "cassa", 2, 503, 0},
		{"at another service", 120, 130, "sportello", 2, 503, 0},
		{"as important", 120, 130, "cassa", 7, 503, 0},
		{"nothing was refused", 120, 130, "cassa", 2, 200, 0},
	} {
		important.Status = tt.importantGot
		lg := &standin.Log{
			Sends: []standin.Send{important, {Root: 2, Number: 3, Importance: tt.importance, Sent: at(tt.sent)}},
			Runs:  []standin.Run{{ID: 1, Service: tt.service, Root: 2, Send: 3, Started: at(tt.start)}},
		}
		if got := orderViolations(lg, "cassa"); got != tt.want {
			t.Errorf("%s: %d violations, want %d", tt.name, got, tt.want)
		}
	}
}

// retriedCallTree returns the log of a root whose first run was repeated by a resend, and
// whose second run repeated one of its calls.
func retriedCallTree(idempotent bool) *standin.Log {
	run := func(id, parent standin.RunID, send, number int, service call.Service) standin.Run {
		return standin.Run{ID: id, Parent: parent, Send: send, Call: number, Service: service, Root: 1, Idempotent: idempotent}
	}
	return &standin.Log{Runs: []standin.Run{
		run(1, 0, 1, 0, "sportello"),
		run(2, 1, 1, 0, "emissione"),
		run(3, 0, 2, 0, "sportello"),
		run(4, 3, 2, 0, "emissione"),
		run(5, 3, 2, 0, "emissione"),
		run(6, 3, 2, 1, "emissione"),
		{ID: 7, Root: 2, Service: "sportello", Idempotent: idempotent},
	}}
}

// TestMaxRetries checks that resends of the caller and repeated calls of upstreams both
// count as retries, and that the first run of each call does not.
func TestMaxRetries(t *testing.T) {
	if got := maxRetries(retriedCallTree(true)); got != 2 {
		t.Errorf("retries = %d, want the resend and one repeated call", got)
	}
	if got := maxRetries(&standin.Log{}); got != 0 {
		t.Errorf("retries without runs = %d, want 0", got)
	}
}

// TestDuplicateEffects checks that repeated runs at the same position of a call tree
// count, also across resends, but only those of non-idempotent work.
func TestDuplicateEffects(t *testing.T) {
	if got := duplicateEffects(retriedCallTree(false)); got != 3 {
		t.Errorf("duplicates = %d, want one of sportello and two of emissione", got)
	}
	if got := duplicateEffects(retriedCallTree(true)); got != 0 {
		t.Errorf("duplicates of idempotent work = %d, want 0", got)
	}
}

// TestMixedAnswers checks that partial and foreign answers count, and missing ones do
// not.
func TestMixedAnswers(t *testing.T) {
	lg := &standin.Log{Sends: []standin.Send{
		{Verdict: standin.Complete}, {Verdict: standin.Partial}, {Verdict: standin.Foreign}, {Verdict: standin.NoAnswer},
	}}
	if got := mixedAnswers(lg); got != 2 {
		t.Errorf("mixed answers = %d, want 2", got)
	}
}

// TestFailures checks that failed sends are grouped by class, status, outcome and reason.
func TestFailures(t *testing.T) {
	lg := &standin.Log{Sends: []standin.Send{
		{Class: "lookup", Verdict: standin.Complete},
		{Class: "lookup", Status: 503, Outcome: call.NotRun, Reason: "overload"},
		{Class: "lookup", Status: 503, Outcome: call.NotRun, Reason: "overload"},
		{Class: "lookup"},
		{Class: "list", Status: 200, Outcome: call.Done, Verdict: standin.Partial},
	}}
	got := failures(lg)
	want := map[call.Class]map[string]int{
		"lookup": {"503 not-run overload": 2, "0 unknown": 1}, "list": {"200 done": 1},
	}
	if !maps.EqualFunc(got, want, func(a, b map[string]int) bool { return maps.Equal(a, b) }) {
		t.Errorf("failures = %v, want %v", got, want)
	}
}

// TestFalseNotRun checks that the answer not-run counts as false only if that send or an
// earlier one of the same root ran.
func TestFalseNotRun(t *testing.T) {
	for _, tt := range []struct {
		name           string
		number, ran    int
		outcome        call.Outcome
		otherRoot, hit bool
	}{
		{"that send ran", 1, 1, call.NotRun, false, true},
		{"an earlier send ran", 2, 1, call.NotRun, false, true},
		{"only a later send ran", 1, 2, call.NotRun, false, false},
		{"answered as unknown", 1, 1, call.Unknown, false, false},
		{"another root ran", 1, 1, call.NotRun, true, false},
	} {
		lg := &standin.Log{
			Sends: []standin.Send{{Root: 1, Number: tt.number, Outcome: tt.outcome}},
			Runs:  []standin.Run{{ID: 1, Root: 1, Send: tt.ran}},
		}
		if tt.otherRoot {
			lg.Runs[0].Root = 2
		}
		if got := falseNotRun(lg) == 1; got != tt.hit {
			t.Errorf("%s: counted = %v, want %v", tt.name, got, tt.hit)
		}
	}
}

// TestAdded checks that the added latency is the difference of two quantiles.
func TestAdded(t *testing.T) {
	var through, direct []time.Duration
	for i := 1; i <= 100; i++ {
		direct = append(direct, time.Duration(i)*time.Millisecond)
		through = append(through, time.Duration(2*i)*time.Millisecond)
	}
	if p50, p99 := addedLatency(through, direct, 0.5), addedLatency(through, direct, 0.99); p50 != 50 || p99 != 99 {
		t.Errorf("added = %v and %v, want 50 and 99", p50, p99)
	}
}

func ExampleFigures() {
	lg := retriedCallTree(false)
	lg.Roots = roots([2]int{1000, 2100})
	fg := countFigures(lg, testTimeline, "cassa", 100)
	fmt.Println(fg.GoodputRatio, fg.RecoveryMS, fg.MaxRetriesPerRequest, fg.DuplicateEffects)
	// Output: 0 100 2 3
}
