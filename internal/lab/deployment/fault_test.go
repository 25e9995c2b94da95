package deployment

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"camphortrail/call"
	"camphortrail/internal/lab/standin"
)

// chain returns two upstreams of each of three services that call one another.
func chain() []standin.UpstreamOptions {
	var ups []standin.UpstreamOptions
	for range 2 {
		ups = append(
			ups,
			standin.UpstreamOptions{Service: front, Slots: 200, ServiceTime: time.Millisecond, Calls: calls(front, middle)},
			standin.UpstreamOptions{Service: middle, Slots: 200, ServiceTime: time.Millisecond, Calls: calls(middle, deepest)},
			standin.UpstreamOptions{Service: deepest, Slots: 200, ServiceTime: 2 * time.Millisecond},
		)
	}
	return ups
}

// TestFailingUpstreams lets each third answer of the deepest service go wrong
// in each way, after its work was run.
func TestFailingUpstreams(t *testing.T) {
	t.Parallel()
	fl := startFleet(t, 1, 800*time.Millisecond, chain()...)
	for ft, name := range []string{
		standin.Drop: "drop", standin.Late: "late", standin.Truncate: "truncate",
		standin.WrongAttempt: "wrong attempt", standin.Silent: "silent",
	} {
		if name == "" {
			continue
		}
		for i, up := range fl.Upstreams {
			if fl.opt.VMs[i].Upstream.Service == deepest {
				up.SetFault(standin.Fault(ft), 3)
			}
		}
		begun := time.Now()
		fl.callChain(standin.RootID(ft+1) * firstRoot)
		lg := fl.logSince(begun)
		checkLog(t, name, lg)
		whole := 0
		for _, rt := range lg.Roots {
			if rt.Succeeded {
				whole++
			}
		}
		if whole == 0 || whole == len(lg.Roots) {
			t.Errorf("%s: %d of %d requests brought their answer, want some and not all", name, whole, len(lg.Roots))
		}
	}
}

// callChain sends requests of all kinds to the first service and to the
// deepest, with resends.
func (fl *fleet) callChain(first standin.RootID) {
	var callers sync.WaitGroup
	for _, svc := range []call.Service{front, deepest} {
		for _, kind := range []string{lookups, issues, charges} {
			cr := standin.NewCaller(standin.CallerOptions{
				Pattern: standin.Pattern{
					Class: "counter", Importance: 7, Method: methods[kind], Path: "/" + string(svc) + "/" + kind,
					Keyed: kind == charges, BodyBytes: 100, AnswerBytes: bytesOut,
				},
				Phases: []standin.Phase{{Length: 600 * time.Millisecond, Rate: 40}}, Targets: fl.CallerURLs(),
				SendTimeout: patience, RootTimeout: patience, Resends: 2, MaxBackoff: 50 * time.Millisecond, MaxOutstanding: 1000,
				Seed: seed + uint64(first), FirstRoot: first, Recorder: fl.recorder, Client: fl.client,
			})
			callers.Go(func() { cr.Run(fl.t.Context()) })
			first += 1 << 24
		}
	}
	callers.Wait()
}

// logSince returns what began since a time.
func (fl *fleet) logSince(begun time.Time) standin.Log {
	var lg standin.Log
	all := fl.recorder.Log()
	for _, rn := range all.Runs {
		if rn.Started.After(begun) && rn.Root != 0 {
			lg.Runs = append(lg.Runs, rn)
		}
	}
	for _, sn := range all.Sends {
		if sn.Sent.After(begun) {
			lg.Sends = append(lg.Sends, sn)
		}
	}
	for _, rt := range all.Roots {
		if rt.Arrived.After(begun) {
			lg.Roots = append(lg.Roots, rt)
		}
	}
	return lg
}

// checkLog checks the promises that hold however upstreams fail.
func checkLog(t *testing.T, what string, lg standin.Log) {
	t.Helper()
	first := make(map[standin.RootID]int)
	for _, rn := range lg.Runs {
		if number, ok := first[rn.Root]; !ok || rn.Send < number {
			first[rn.Root] = rn.Send
		}
	}
	for _, sn := range lg.Sends {
		if number, ran := first[sn.Root]; ran && number <= sn.Number && sn.Outcome == call.NotRun {
			t.Errorf("%s: answered as not run, but was run: %+v", what, sn)
		}
		if sn.Verdict == standin.Partial || sn.Verdict == standin.Foreign {
			t.Errorf("%s: answer of another request or a part of one: %+v", what, sn)
		}
		if sn.Status == 0 || sn.Outcome == call.Done && sn.Status == http.StatusOK && sn.Verdict != standin.Complete {
			t.Errorf("%s: no answer, or a broken one: %+v", what, sn)
		}
	}
	checkRuns(t, what, lg)
}

// checkRuns checks the number of runs at each place of each call tree.
func checkRuns(t *testing.T, what string, lg standin.Log) {
	t.Helper()
	type place struct {
		root standin.RootID
		path string
	}
	type step struct {
		root   standin.RootID
		parent standin.RunID
		call   int
	}
	paths := make(map[standin.RunID]string)
	effects := make(map[place]int)
	steps := make(map[step]bool)
	retries := make(map[standin.RootID]int)
	total := 0
	for _, rn := range lg.Runs {
		paths[rn.ID] = paths[rn.Parent] + "/" + string(rn.Service) + "." + strconv.Itoa(rn.Call)
		if at := (place{rn.Root, paths[rn.ID]}); !rn.Idempotent {
			if effects[at]++; effects[at] > 1 {
				t.Errorf("%s: non-idempotent run %d at %v", what, effects[at], at)
			}
		}
		st := step{rn.Root, rn.Parent, rn.Call}
		if steps[st] {
			total++
			if retries[rn.Root]++; retries[rn.Root] > retryTotal {
				t.Errorf("%s: %d retries for root %x, want at most %d", what, retries[rn.Root], rn.Root, retryTotal)
			}
		}
		steps[st] = true
	}
	if total == 0 {
		t.Errorf("%s: no run was a retry", what)
	}
	t.Logf("%s: %d runs, %d of them retries, for %d requests", what, len(lg.Runs), total, len(lg.Roots))
}
