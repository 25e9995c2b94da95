package route

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"camphortrail/call"

	"github.com/cockroachdb/datadriven"
)

// script runs the commands of a test file.
type script struct {
	tb  *Table
	now time.Time
}

type answer struct {
	vm      call.VM
	at      time.Time
	latency time.Duration
}

func (sc *script) run(t *testing.T, td *datadriven.TestData) string {
	var vm, domain, sameRegion string
	var imp, cohort, level, slots, warmUp, ms, calls, incarnation int
	scan := func(key string, dst any) {
		if td.HasArg(key) {
			td.ScanArgs(t, key, dst)
		}
	}
	for key, dst := range map[string]any{
		"vm": &vm, "domain": &domain, "near": &sameRegion, "importance": &imp, "cohort": &cohort, "level": &level,
		"slots": &slots, "warm-up": &warmUp, "ms": &ms, "calls": &calls, "incarnation": &incarnation,
	} {
		scan(key, dst)
	}
	span := time.Duration(ms) * time.Millisecond
	switch td.Cmd {
	case "upsert":
		sc.tb.Step(sc.now, Upsert{
			VM: call.VM(vm), Service: testService, Domain: call.FailureDomain(domain), Slots: slots,
			WarmUp: time.Duration(warmUp) * time.Millisecond, Draining: td.HasArg("draining"), Incarnation: uint64(incarnation),
		})
	case "remove":
		sc.tb.Step(sc.now, Remove{VM: call.VM(vm), Service: testService})
	case "near":
		sc.tb.Step(sc.now, SameRegion{Domains: []call.FailureDomain{call.FailureDomain(sameRegion)}})
	case "suspect":
		sc.tb.Step(sc.now, Suspect{VM: call.VM(vm)})
	case "alive":
		sc.tb.Step(sc.now, Alive{VM: call.VM(vm)})
	case "answer":
		sc.tb.Step(sc.now, Answered{Service: testService, VM: call.VM(vm), Outcome: call.Done, Latency: span, Level: call.Level(level)})
	case "refuse":
		sc.tb.Step(sc.now, Answered{Service: testService, VM: call.VM(vm), Outcome: call.NotRun, Level: call.Level(level), Overload: !td.HasArg("leaving"), Leaving: td.HasArg("leaving")})
	case "fail":
		sc.tb.Step(sc.now, Failed{Service: testService, VM: call.VM(vm), Latency: span, Cancelled: td.HasArg("cancelled")})
	case "pass":
		sc.now = sc.now.Add(span)
	case "choose":
		rq := Request{Service: testService, Importance: call.Importance(imp), Cohort: call.Cohort(cohort)}
		return sc.choose(rq, calls)
	case "serve":
		return sc.serve(t, td, span, calls)
	case "show":
		var out strings.Builder
		for _, ui := range sc.tb.Upstreams(sc.now, testService) {
			fmt.Fprintf(&out, "%+v\n", ui)
		}
		return out.String()
	default:
		t.Fatalf("unknown command %s", td.Cmd)
	}
	return ""
}

// choose counts the choices for several requests at one time.
func (sc *script) choose(rq Request, calls int) string {
	counts := map[string]int{}
	for range max(calls, 1) {
		vm, err := sc.tb.Choose(sc.now, rq)
		if err != nil {
			vm = call.VM(err.Error())
		}
		counts[string(vm)]++
	}
	return format(counts)
}

// serve sends calls every millisecond for span. Latencies are given as vm=ms; a latency
// of zero fails the call at once.
func (sc *script) serve(t *testing.T, td *datadriven.TestData, span time.Duration, calls int) string {
	counts := map[string]int{}
	var open []answer
	for end := sc.now.Add(span); sc.now.Before(end); sc.now = sc.now.Add(time.Millisecond) {
		open = slices.DeleteFunc(open, func(an answer) bool {
			if an.at.After(sc.now) {
				return false
			}
			sc.tb.Step(sc.now, Answered{Service: testService, VM: an.vm, Outcome: call.Done, Latency: an.latency})
			return true
		})
		for range max(calls, 1) {
			vm, err := sc.tb.Choose(sc.now, Request{Service: testService, Importance: 3})
			if err != nil {
				t.Fatal(err)
			}
			counts[string(vm)]++
			sc.tb.Step(sc.now, Sent{Service: testService, VM: vm})
			latency := 10
			if td.HasArg(string(vm)) {
				td.ScanArgs(t, string(vm), &latency)
			}
			if latency == 0 {
				sc.tb.Step(sc.now, Failed{Service: testService, VM: vm})
				continue
			}
			took := time.Duration(latency) * time.Millisecond
			open = append(open, answer{vm: vm, at: sc.now.Add(took), latency: took})
		}
	}
	for _, an := range open {
		sc.tb.Step(sc.now, Answered{Service: testService, VM: an.vm, Outcome: call.Done, Latency: an.latency})
	}
	return format(counts)
}

func format(counts map[string]int) string {
	var lines []string
	for name, count := range counts {
		lines = append(lines, fmt.Sprintf("%s: %d\n", name, count))
	}
	slices.Sort(lines)
	return strings.Join(lines, "")
}

func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		sc := &script{tb: New(Settings{Domain: "milano-nord", MaxUpstreams: 5}, testRand()), now: epoch}
		datadriven.RunTest(t, path, sc.run)
	})
}
