package deployment

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"camphortrail/call"
	"camphortrail/internal/lab/standin"
	"camphortrail/internal/traffic/header"
	"camphortrail/schema"
)

// The services of the tests. Each calls the next.
const (
	front   call.Service = "sportello"
	middle  call.Service = "emissione"
	deepest call.Service = "cassa"

	domain      = "milano-nord"
	answerBytes = 512
	testTimeout = 20 * time.Second
	retryTotal  = 3
	seed        = 1
)

// The kinds of request that each service takes.
const (
	lookups = "lookups" // idempotent
	issues  = "issues"  // non-idempotent
	charges = "charges" // non-idempotent with a key
)

var methods = map[string]string{lookups: http.MethodGet, issues: http.MethodPost, charges: http.MethodPost}

// fleet is a deployment under test, with a client for requests and a recorder of the
// stand-ins.
type fleet struct {
	*Deployment
	t        testing.TB
	recorder *standin.Recorder
	client   *http.Client
	revision uint64
}

// fleetSlots bounds the number of fleets that run at the same time. With the race
// detector a fleet needs about one core. With less processor time, nodes refuse work as
// overload, and tests fail without a fault in the code.
var fleetSlots = make(chan struct{}, max(1, runtime.NumCPU()/3))

// startFleet starts a deployment with a VM for each of the upstreams and waits until its
// nodes are ready. The deadline applies to all kinds of request.
func startFleet(t testing.TB, controls int, deadline time.Duration, ups ...standin.UpstreamOptions) *fleet {
	t.Helper()
	return startFleetWith(t, Options{ControlReplicaCount: controls}, deadline, ups...)
}

// startFleetWith is startFleet with further options.
func startFleetWith(t testing.TB, opt Options, deadline time.Duration, ups ...standin.UpstreamOptions) *fleet {
	t.Helper()
	fleetSlots <- struct{}{}
	t.Cleanup(func() { <-fleetSlots })
	fl := &fleet{t: t, recorder: standin.NewRecorder(), client: standin.NewClient()}
	opt.Name, opt.Folder, opt.Seed = "lombardy", t.TempDir(), seed
	for i, up := range ups {
		up.Recorder, up.AnswerBytes, up.Connections = fl.recorder, answerBytes, 1000
		vm := call.VM(fmt.Sprintf("%s-%d", up.Service, i+1))
		opt.VMs = append(opt.VMs, VMOptions{Name: vm, Domain: domain, Upstream: up})
	}
	dp, err := Start(t.Context(), opt)
	if err != nil {
		t.Fatal(err)
	}
	fl.Deployment = dp
	t.Cleanup(func() {
		fl.client.CloseIdleConnections()
		dp.Stop()
		if err := dp.Err(); err != nil {
			t.Error(err)
		}
	})
	ctx, stop := context.WithTimeout(t.Context(), testTimeout)
	defer stop()
	rs, err := dp.Client.Apply(ctx, configuration(1, deadline))
	if err != nil {
		t.Fatal(err)
	}
	fl.revision = rs.GetRevision()
	applied := time.Now()
	if err := dp.WaitReady(ctx, fl.revision); err != nil {
		t.Fatal(err)
	}
	t.Logf("ready %v after the configuration was accepted", time.Since(applied))
	return fl
}

// configuration returns a configuration with all services and all kinds of request.
func configuration(version uint64, deadline time.Duration) *schema.Configuration {
	cfg := &schema.Configuration{
		Deployment: "lombardy", Version: version,
		FailureDomains: []*schema.FailureDomain{{Name: domain, Region: "lombardy"}},
		Classes:        []*schema.Class{{Name: "counter", Importance: 7}},
	}
	for _, svc := range []call.Service{front, middle, deepest} {
		sv := &schema.Service{
			Name: string(svc), RetryRatioPercent: 20, MaxRequestBytes: 1 << 20, MaxAnswerBytes: 1 << 16, KeyRetentionS: 60,
		}
		for _, kind := range []string{lookups, issues, charges} {
			sv.Requests = append(sv.Requests, &schema.RequestKind{
				Name: kind, Method: methods[kind], PathPrefix: "/" + string(svc) + "/" + kind, Class: "counter",
				Idempotent: kind == lookups, KeyRequired: kind == charges,
				DeadlineMs: uint32(deadline.Milliseconds()), RetryTotal: retryTotal,
			})
		}
		cfg.Services = append(cfg.Services, sv)
	}
	return cfg
}

// calls returns the calls of one service to another for all kinds of request.
func calls(from, to call.Service) []standin.Call {
	var all []standin.Call
	for kind, method := range methods {
		all = append(all, standin.Call{Method: method, From: "/" + string(from) + "/" + kind, To: "/" + string(to) + "/" + kind})
	}
	return all
}

// waitFor polls a condition and fails the test if it does not hold within testTimeout.
func (fl *fleet) waitFor(what string, holds func() bool) {
	fl.t.Helper()
	for end := time.Now().Add(testTimeout); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			fl.t.Fatal("not seen in time: ", what)
		}
	}
}

// reply is the answer that a caller got, or the error of its request.
type reply struct {
	status  int
	outcome call.Outcome
	reason  string
	body    string
	err     error
}

// succeeded reports whether the complete answer arrived.
func (rp reply) succeeded() bool {
	return rp.err == nil && rp.status == http.StatusOK && rp.outcome == call.Done && strings.HasSuffix(rp.body, "\nend\n")
}

func (rp reply) String() string {
	return fmt.Sprintf("%d %v %s %v", rp.status, rp.outcome, rp.reason, rp.err)
}

// send sends one request to a node. Headers are alternating names and values.
func (fl *fleet) send(ctx context.Context, node int, svc call.Service, kind, item string, headers ...string) reply {
	url := fl.CallerURLs()[node] + "/" + string(svc) + "/" + kind + "/" + item
	req, err := http.NewRequestWithContext(ctx, methods[kind], url, bytes.NewReader(nil))
	if err != nil {
		return reply{err: err}
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	res, err := fl.client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return reply{
		status: res.StatusCode, outcome: call.ParseOutcome(res.Header.Get(header.Outcome)),
		reason: res.Header.Get(header.Reason), body: string(body), err: err,
	}
}

// runs returns the runs on a VM that started after a time; an empty vm means all VMs.
func (fl *fleet) runs(vm string, since time.Time) []standin.Run {
	var all []standin.Run
	for _, rn := range fl.recorder.Log().Runs {
		if (vm == "" || rn.VM == vm) && rn.Started.After(since) {
			all = append(all, rn)
		}
	}
	return all
}
