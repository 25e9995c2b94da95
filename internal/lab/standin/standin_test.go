package standin

import (
	"cmp"
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"camphortrail/call"
	"camphortrail/internal/traffic/header"
)

// startUpstream runs an upstream until the test ends.
func startUpstream(t testing.TB, opt UpstreamOptions) *Upstream {
	t.Helper()
	us, err := NewUpstream(opt)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- us.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return us
}

// startChain starts upstreams of the given services, each of which calls the next.
func startChain(t testing.TB, rc *Recorder, services ...call.Service) []*Upstream {
	upstreams := make([]*Upstream, len(services))
	node := ""
	for i := len(services) - 1; i >= 0; i-- {
		opt := UpstreamOptions{
			Service: services[i], VM: string(services[i]) + "-1", Slots: 4, NodeURL: node, AnswerBytes: 100, Recorder: rc,
		}
		if i+1 < len(services) {
			opt.Calls = []Call{{Method: "GET", From: "/" + string(services[i]), To: "/" + string(services[i+1])}}
		}
		upstreams[i] = startUpstream(t, opt)
		node = "http://" + upstreams[i].Address()
	}
	return upstreams
}

func lookupOptions(us *Upstream, rc *Recorder) CallerOptions {
	return CallerOptions{
		Pattern: Pattern{
			Class: "lookup", Importance: 7, Method: "GET", Path: "/" + string(us.opt.Service), AnswerBytes: 100,
		},
		Phases:  []Phase{{Length: 50 * time.Millisecond, Rate: 200}},
		Targets: []string{"http://" + us.Address()}, SendTimeout: 10 * time.Second, RootTimeout: 20 * time.Second,
		MaxOutstanding: 1000, Seed: 1, FirstRoot: 1, Recorder: rc,
	}
}

// TestChainRecordsEveryRun checks that each root has one run at each service of a chain,
// and that each run names the run that called it.
func TestChainRecordsEveryRun(t *testing.T) {
	rc := NewRecorder()
	upstreams := startChain(t, rc, "sportello", "emissione", "cassa")
	NewCaller(lookupOptions(upstreams[0], rc)).Run(t.Context())
	lg := rc.Log()
	if len(lg.Roots) == 0 || len(lg.Runs) != 3*len(lg.Roots) || len(lg.Sends) != len(lg.Roots) {
		t.Fatalf("%d roots, %d sends, %d runs", len(lg.Roots), len(lg.Sends), len(lg.Runs))
	}
	for _, rt := range lg.Roots {
		if !rt.Succeeded {
			t.Errorf("root %d did not succeed", rt.ID)
		}
	}
	byID := make(map[RunID]Run)
	for _, rn := range lg.Runs {
		byID[rn.ID] = rn
	}
	callerOf := map[call.Service]call.Service{"sportello": "", "emissione": "sportello", "cassa": "emissione"}
	for _, rn := range lg.Runs {
		if parent := byID[rn.Parent]; parent.Service != callerOf[rn.Service] || (rn.Parent != 0 && parent.Root != rn.Root) {
			t.Errorf("run %+v has parent %+v", rn, parent)
		}
	}
}

// TestFaultsAreSeenByTheCaller checks the verdict of the caller on each fault, after a
// run that the recorder has counted.
func TestFaultsAreSeenByTheCaller(t *testing.T) {
	for _, tt := range []struct {
		fault Fault
		want  Verdict
	}{
		{NoFault, Complete}, {Drop, NoAnswer}, {Truncate, NoAnswer}, {WrongAttempt, Foreign}, {Silent, NoAnswer},
	} {
		rc := NewRecorder()
		us := startUpstream(t, UpstreamOptions{Service: "cassa", Slots: 4, AnswerBytes: 100, Recorder: rc})
		us.SetFault(tt.fault, 1)
		opt := lookupOptions(us, rc)
		opt.SendTimeout = 300 * time.Millisecond
		cr := NewCaller(opt)
		cr.sendRoot(t.Context(), Root{ID: 1, Arrived: time.Now()}, cr.arrivals)
		lg := rc.Log()
		if len(lg.Runs) != 1 || len(lg.Sends) != 1 || lg.Sends[0].Verdict != tt.want {
			t.Errorf("fault %d: %d runs, sends %+v, want verdict %d", tt.fault, len(lg.Runs), lg.Sends, tt.want)
		}
	}
}

// TestFailedCalls checks the status that an upstream answers when its own call fails.
func TestFailedCalls(t *testing.T) {
	for _, tt := range []struct {
		fault   Fault
		leaving bool
		want    int
	}{
		{NoFault, false, http.StatusOK},
		{NoFault, true, http.StatusServiceUnavailable},
		{Drop, false, http.StatusBadGateway},
		{Truncate, false, http.StatusBadGateway},
		{WrongAttempt, false, http.StatusBadGateway},
	} {
		upstreams := startChain(t, NewRecorder(), "sportello", "cassa")
		upstreams[1].SetFault(tt.fault, 1)
		upstreams[1].leaving.Store(tt.leaving)
		w := httptest.NewRecorder()
		upstreams[0].ServeHTTP(w, httptest.NewRequest("GET", "/sportello", nil))
		if w.Code != tt.want {
			t.Errorf("fault %d, leaving %v: status %d, want %d", tt.fault, tt.leaving, w.Code, tt.want)
		}
	}
}

// TestResendsAreBounded checks that a keyed request is sent Resends times again, each
// time with the same key.
func TestResendsAreBounded(t *testing.T) {
	rc := NewRecorder()
	us := startUpstream(t, UpstreamOptions{Service: "cassa", Slots: 4, AnswerBytes: 100, Recorder: rc})
	us.SetFault(Drop, 1)
	opt := lookupOptions(us, rc)
	opt.Resends = 2
	opt.Pattern.Method = "POST"
	opt.Pattern.Keyed = true
	cr := NewCaller(opt)
	cr.sendRoot(t.Context(), Root{ID: 1, Arrived: time.Now()}, cr.arrivals)
	lg := rc.Log()
	if len(lg.Sends) != 3 || lg.Roots[0].Succeeded {
		t.Fatalf("log = %+v", lg)
	}
	for i, rn := range lg.Runs {
		if rn.Send != i+1 || rn.Key == "" || rn.Key != lg.Runs[0].Key || rn.Idempotent {
			t.Errorf("run %d = %+v", i, rn)
		}
	}
}

// TestUnkeyedPostIsResentOnlyWhenNotRun guards against a caller that itself executes
// non-idempotent work twice, by a resend without a key after a lost answer.
func TestUnkeyedPostIsResentOnlyWhenNotRun(t *testing.T) {
	rc := NewRecorder()
	us := startUpstream(t, UpstreamOptions{Service: "cassa", Slots: 4, AnswerBytes: 100, Recorder: rc})
	us.SetFault(Drop, 1)
	opt := lookupOptions(us, rc)
	opt.Resends = 2
	opt.Pattern.Method = "POST"
	cr := NewCaller(opt)
	cr.sendRoot(t.Context(), Root{ID: 1, Arrived: time.Now()}, cr.arrivals)
	if sends := rc.Log().Sends; len(sends) != 1 {
		t.Errorf("%d sends after an unknown outcome, want 1", len(sends))
	}
	us.leaving.Store(true)
	cr.sendRoot(t.Context(), Root{ID: 2, Arrived: time.Now()}, cr.arrivals)
	if sends := rc.Log().Sends; len(sends) != 4 {
		t.Errorf("%d sends after outcomes not-run, want 3 more", len(sends)-1)
	}
}

// TestSlots checks, in virtual time and without sockets, that no more than Slots requests
// run at the same time and that the others follow in order.
func TestSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rc := NewRecorder()
		us := &Upstream{opt: UpstreamOptions{Service: "cassa", Recorder: rc}, slots: make(chan struct{}, 3)}
		us.SetServiceTime(20 * time.Millisecond)
		begin := time.Now()
		var requests sync.WaitGroup
		for i := range 10 {
			requests.Go(func() {
				req := httptest.NewRequest("GET", "/cassa", nil)
				trace{root: RootID(i)}.write(req.Header)
				us.ServeHTTP(httptest.NewRecorder(), req)
			})
			synctest.Wait()
		}
		if running, _, waiting := us.Load(); running != 3 || waiting != 7 {
			t.Errorf("%d requests run and %d wait, want 3 and 7", running, waiting)
		}
		requests.Wait()
		if took := time.Since(begin); took != 80*time.Millisecond {
			t.Errorf("10 requests on 3 slots took %v, want 80ms", took)
		}
		if _, highest, _ := us.Load(); highest != 3 {
			t.Errorf("at most %d requests ran at the same time, want 3", highest)
		}
		for i, rn := range rc.Log().Runs {
			if want := begin.Add(time.Duration(i/3) * 20 * time.Millisecond); int(rn.Root)/3 != i/3 || !rn.Started.Equal(want) {
				t.Errorf("run %d belongs to root %d and started at %v, want %v", i, rn.Root, rn.Started, want)
			}
		}
	})
}

// TestDeadlineFreesSlotOfIdempotentWork checks that the deadline of a request aborts
// idempotent work, and that other work holds its slot until it is complete.
func TestDeadlineFreesSlotOfIdempotentWork(t *testing.T) {
	for method, want := range map[string]time.Duration{"GET": 30 * time.Millisecond, "POST": time.Second} {
		synctest.Test(t, func(t *testing.T) {
			us := &Upstream{opt: UpstreamOptions{Service: "cassa", Recorder: NewRecorder()}, slots: make(chan struct{}, 1)}
			us.SetServiceTime(time.Second)
			begin := time.Now()
			req := httptest.NewRequest(method, "/cassa", nil)
			req.Header.Set(header.DeadlineMS, "30")
			us.ServeHTTP(httptest.NewRecorder(), req)
			if took := time.Since(begin); took != want {
				t.Errorf("%s held its slot for %v, want %v", method, took, want)
			}
		})
	}
}

// TestLeavingUpstreamRunsNothing checks that a leaving upstream answers not-run and
// records no run.
func TestLeavingUpstreamRunsNothing(t *testing.T) {
	rc := NewRecorder()
	us := &Upstream{opt: UpstreamOptions{Service: "cassa", Recorder: rc}, slots: make(chan struct{}, 1)}
	us.leaving.Store(true)
	w := httptest.NewRecorder()
	us.ServeHTTP(w, httptest.NewRequest("GET", "/cassa", nil))
	if w.Code != http.StatusServiceUnavailable || w.Header().Get(header.Outcome) != "not-run" || len(rc.Log().Runs) != 0 {
		t.Errorf("answer %d %v, runs %v", w.Code, w.Header(), rc.Log().Runs)
	}
}

func TestCompareBody(t *testing.T) {
	own, other := digestOf("GET", "/a", 1, nil), digestOf("GET", "/a", 2, nil)
	complete := answerBody(own, 100)
	for _, tt := range []struct {
		name string
		body []byte
		want Verdict
	}{
		{"complete", complete, Complete},
		{"empty", nil, Partial},
		{"without end", complete[:len(complete)-1], Partial},
		{"half", complete[:len(complete)/2], Partial},
		{"other request", answerBody(other, 100), Foreign},
		{"other end", append(complete[:len(complete):len(complete)], 'x'), Foreign},
		{"two halves", append(complete[:len(complete)/2:len(complete)/2], answerBody(other, 100)[len(complete)/2:]...), Foreign},
	} {
		if got := compareBody(tt.body, own, 100); got != tt.want {
			t.Errorf("%s: verdict %d, want %d", tt.name, got, tt.want)
		}
	}
}

func TestCallTarget(t *testing.T) {
	cl := Call{Method: "GET", From: "/sportello/tags", To: "/emissione/tags"}
	for _, tt := range []struct{ method, path, want string }{
		{"GET", "/sportello/tags", "/emissione/tags"},
		{"GET", "/sportello/tags/7", "/emissione/tags/7"},
		{"GET", "/sportello/tagset", ""},
		{"POST", "/sportello/tags", ""},
		{"GET", "/cassa", ""},
	} {
		if got, ok := cl.target(tt.method, tt.path); got != tt.want || ok != (tt.want != "") {
			t.Errorf("target(%s, %s) = %q, %v, want %q", tt.method, tt.path, got, ok, tt.want)
		}
	}
}

func ExampleUpstream() {
	rc := NewRecorder()
	us, err := NewUpstream(UpstreamOptions{Service: "cassa", Slots: 1, AnswerBytes: 20, Recorder: rc})
	if err != nil {
		fmt.Println(err)
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan error)
	go func() { ended <- us.Run(ctx) }()
	res, err := http.Get("http://" + us.Address() + "/cassa/payments")
	if err != nil {
		fmt.Println(err)
		return
	}
	body, _ := io.ReadAll(res.Body)
	dg := digestOf("GET", "/cassa/payments", 0, nil)
	fmt.Println(string(body) == hex.EncodeToString(dg[:])+"\n"+hex.EncodeToString(dg[:])+"\nend\n")
	cancel()
	fmt.Println(<-ended, len(rc.Log().Runs))
	// Output:
	// true
	// <nil> 1
}

// TestArrivalsFollowTheSeed checks that arrivals depend on the seed and not on FirstRoot,
// so that the two paths of the scenario latency get the same arrivals.
func TestArrivalsFollowTheSeed(t *testing.T) {
	gaps := func(seed uint64, first RootID) []time.Duration {
		rc := NewRecorder()
		opt := lookupOptions(startUpstream(t, UpstreamOptions{Service: "cassa", Slots: 4, AnswerBytes: 100, Recorder: rc}), rc)
		opt.Seed, opt.FirstRoot = seed, first
		NewCaller(opt).Run(t.Context())
		roots := rc.Log().Roots
		slices.SortFunc(roots, func(a, b Root) int { return cmp.Compare(a.ID, b.ID) })
		var list []time.Duration
		for i := 1; i < len(roots); i++ {
			list = append(list, roots[i].Arrived.Sub(roots[i-1].Arrived))
		}
		return list
	}
	one := gaps(1, 1)
	if same := gaps(1, 5000); len(one) == 0 || !slices.Equal(one, same) {
		t.Errorf("gaps %v and %v of the same seed differ", one, same)
	}
	if other := gaps(2, 1); slices.Equal(one, other) {
		t.Errorf("gaps of different seeds are equal: %v", other)
	}
}
