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

// threeServices returns two upstreams of each of three services, each of which calls the
// next.
func threeServices() []standin.UpstreamOptions {
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

// TestFailingUpstreams spoils every third answer of the deepest service with each fault
// in turn, after the work was run. No answer may reach the wrong request, no
// non-idempotent work may run twice, and retries must stay within their bound.
func TestFailingUpstreams(t *testing.T) {
	t.Parallel()
	fl := startFleet(t, 1, 800*time.Millisecond, threeServices()...)
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
		fl.sendToServices(standin.RootID(ft+1) * firstRoot)
		lg := fl.logSince(begun)
		checkLog(t, name, lg)
		succeeded := 0
		for _, rt := range lg.Roots {
			if rt.Succeeded {
				succeeded++
			}
		}
		if succeeded == 0 || succeeded == len(lg.Roots) {
			t.Errorf("%s: %d of %d requests succeeded, want some and not all", name, succeeded, len(lg.Roots))
		}
	}
}

// sendToServices sends requests of all kinds, with resends, to the first service and to
// the deepest one.
func (fl *fleet) sendToServices(first standin.RootID) {
	var callers sync.WaitGroup
	for _, svc := range []call.Service{front, deepest} {
		for _, kind := range []string{lookups, issues, charges} {
			cr := standin.NewCaller(standin.CallerOptions{
				Pattern: standin.Pattern{
					Class: "counter", Importance: 7, Method: methods[kind], Path: "/" + string(svc) + "/" + kind,
					Keyed: kind == charges, BodyBytes: 100, AnswerBytes: answerBytes,
				},
				Phases: []standin.Phase{{Length: 600 * time.Millisecond, Rate: 40}}, Targets: fl.CallerURLs(),
				SendTimeout: testTimeout, RootTimeout: testTimeout, Resends: 2, MaxBackoff: 50 * time.Millisecond, MaxOutstanding: 1000,
				Seed: seed + uint64(first), FirstRoot: first, Recorder: fl.recorder, Client: fl.client,
			})
			callers.Go(func() { cr.Run(fl.t.Context()) })
			first += 1 << 24
		}
	}
	callers.Wait()
}

// logSince returns the runs, sends and roots that began after a time, without runs that
// belong to no root.
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

// checkLog checks the guarantees that hold for every fault of an upstream: a request that
// ran is not answered as not-run, and a successful answer is the complete answer to its
// request.
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
			t.Errorf("%s: answered as not-run although it was run: %+v", what, sn)
		}
		if sn.Verdict == standin.Partial || sn.Verdict == standin.Foreign {
			t.Errorf("%s: partial answer or answer to another request: %+v", what, sn)
		}
		if sn.Status == 0 || sn.Outcome == call.Done && sn.Status == http.StatusOK && sn.Verdict != standin.Complete {
			t.Errorf("%s: no answer, or done with an incomplete one: %+v", what, sn)
		}
	}
	checkRuns(t, what, lg)
}

// checkRuns checks that non-idempotent work ran at most once at each position of each
// call tree, and that the retries of a root stay within retryTotal.
func checkRuns(t *testing.T, what string, lg standin.Log) {
	t.Helper()
	type position struct {
		root standin.RootID
		path string
	}
	type callSite struct {
		root   standin.RootID
		parent standin.RunID
		call   int
	}
	paths := make(map[standin.RunID]string)
	effects := make(map[position]int)
	seen := make(map[callSite]bool)
	retries := make(map[standin.RootID]int)
	total := 0
	for _, rn := range lg.Runs {
		paths[rn.ID] = paths[rn.Parent] + "/" + string(rn.Service) + "." + strconv.Itoa(rn.Call)
		if at := (position{rn.Root, paths[rn.ID]}); !rn.Idempotent {
			if effects[at]++; effects[at] > 1 {
				t.Errorf("%s: non-idempotent run %d at %v", what, effects[at], at)
			}
		}
		cs := callSite{rn.Root, rn.Parent, rn.Call}
		if seen[cs] {
			total++
			if retries[rn.Root]++; retries[rn.Root] > retryTotal {
				t.Errorf("%s: %d retries for root %x, want at most %d", what, retries[rn.Root], rn.Root, retryTotal)
			}
		}
		seen[cs] = true
	}
	if total == 0 {
		t.Errorf("%s: no run was a retry", what)
	}
	t.Logf("%s: %d runs, %d of them retries, for %d requests", what, len(lg.Runs), total, len(lg.Roots))
}
