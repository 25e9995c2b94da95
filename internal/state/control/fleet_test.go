package control

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"camphortrail/internal/traffic/peer"
	"camphortrail/quorum"
	"camphortrail/schema"
	"camphortrail/schema/schemaconnect"
)

const (
	deployment = "lombardy"
	// testTimeout bounds the wait for events that must happen. No test depends on its value.
	testTimeout = 60 * time.Second
)

// fleet runs control replicas in the process of the test.
type fleet struct {
	t         testing.TB
	opt       Options
	replicas  []*schema.ControlReplica
	folders   []string
	clients   []schemaconnect.ControlClient
	isolated  []atomic.Bool
	controls  []*Control
	stops     []func() error
	transport *http.Transport
}

func newFleet(t testing.TB, size int) *fleet {
	t.Helper()
	return newFleetWith(t, size, Options{})
}

func newFleetWith(t testing.TB, size int, opt Options) *fleet {
	t.Helper()
	fl := &fleet{
		t: t, opt: opt, stops: make([]func() error, size), isolated: make([]atomic.Bool, size), controls: make([]*Control, size),
		transport: peer.NewTransport(),
	}
	number := fleets.Add(1)
	for i := range size {
		address := freeAddress(t, number)
		fl.replicas = append(fl.replicas, &schema.ControlReplica{Name: fmt.Sprintf("control-%d", i+1), Address: address})
		fl.folders = append(fl.folders, t.TempDir())
		fl.clients = append(fl.clients, schemaconnect.NewControlClient(&http.Client{Transport: fl.transport}, "http://"+address))
	}
	for i := range size {
		fl.start(i)
	}
	t.Cleanup(func() {
		for i := range size {
			fl.stop(i)
		}
		fl.transport.CloseIdleConnections()
	})
	return fl
}

// fleets numbers the fleets of this process.
var fleets atomic.Uint32

// freeAddress returns a free address on a loopback IP address of the fleet's own, so that
// nothing else takes the port while a replica is down.
func freeAddress(t testing.TB, fleet uint32) string {
	t.Helper()
	pid := os.Getpid()
	host := fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&63, pid&255, 1+fleet%250)
	li, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = li.Close() }()
	return li.Addr().String()
}

// partition is a transport that fails messages between two replicas if exactly one of them is
// isolated.
type partition struct {
	fl       *fleet
	from, to int
	next     http.RoundTripper
}

func (pa partition) RoundTrip(rq *http.Request) (*http.Response, error) {
	if pa.fl.isolated[pa.from].Load() != pa.fl.isolated[pa.to].Load() {
		return nil, errors.New("isolated")
	}
	return pa.next.RoundTrip(rq)
}

// index returns the index of a replica, or -1.
func (fl *fleet) index(id quorum.Replica) int {
	for i, cr := range fl.replicas {
		if cr.GetName() == string(id) {
			return i
		}
	}
	return -1
}

// start starts replica i.
func (fl *fleet) start(i int) {
	fl.t.Helper()
	opt := fl.opt
	opt.wrapTransport = func(id quorum.Replica, next http.RoundTripper) http.RoundTripper {
		if fl.opt.wrapTransport != nil {
			next = fl.opt.wrapTransport(id, next)
		}
		return partition{fl, i, fl.index(id), next}
	}
	co, err := New(&schema.Settings{
		Name: fl.replicas[i].GetName(), Deployment: deployment, FailureDomain: "d1", PeerAddress: fl.replicas[i].GetAddress(),
		DataFolder: fl.folders[i], ControlReplicas: fl.replicas,
	}, opt)
	if err != nil {
		fl.t.Fatal(err)
	}
	fl.controls[i] = co
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- co.Run(ctx) }()
	fl.stops[i] = func() error {
		cancel()
		return <-done
	}
}

// stop stops replica i, if it runs, and waits for its end.
func (fl *fleet) stop(i int) {
	fl.t.Helper()
	if fl.stops[i] == nil {
		return
	}
	if err := fl.stops[i](); err != nil {
		fl.t.Errorf("%s: %v", fl.replicas[i].GetName(), err)
	}
	fl.stops[i] = nil
}

// kill stops a replica that is isolated first, so that it cannot transfer its leadership.
func (fl *fleet) kill(i int) {
	fl.t.Helper()
	fl.isolated[i].Store(true)
	fl.stop(i)
	fl.isolated[i].Store(false)
}

func configuration(version uint64, name string) *schema.Configuration {
	return &schema.Configuration{
		Deployment: deployment, Version: version,
		Services: []*schema.Service{{Name: name}},
	}
}

// until calls try repeatedly until it returns true, and fails the test after testTimeout.
func (fl *fleet) until(what string, try func() bool) {
	fl.t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if try() {
			return
		}
	}
	fl.t.Fatalf("%s: not within %v", what, testTimeout)
}

// apply applies a configuration at replica i.
func (fl *fleet) apply(i int, cfg *schema.Configuration) *schema.ApplyResponse {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	rs, err := fl.clients[i].Apply(ctx, connect.NewRequest(&schema.ApplyRequest{Configuration: cfg}))
	if err != nil {
		return &schema.ApplyResponse{Result: schema.ApplyResult_APPLY_RESULT_UNKNOWN, Reason: err.Error()}
	}
	return rs.Msg
}

// applyAnywhere applies a configuration at the replica that leads, and repeats this until the
// result is known.
func (fl *fleet) applyAnywhere(cfg *schema.Configuration) *schema.ApplyResponse {
	fl.t.Helper()
	var response *schema.ApplyResponse
	fl.until("apply", func() bool {
		for i := range fl.clients {
			response = fl.apply(i, cfg)
			switch response.GetResult() {
			case schema.ApplyResult_APPLY_RESULT_NOT_LEADER, schema.ApplyResult_APPLY_RESULT_UNKNOWN:
			default:
				return true
			}
		}
		return false
	})
	return response
}

// mustAccept applies a configuration that must be accepted, and returns its revision.
func (fl *fleet) mustAccept(cfg *schema.Configuration) uint64 {
	fl.t.Helper()
	response := fl.applyAnywhere(cfg)
	if response.GetResult() != schema.ApplyResult_APPLY_RESULT_ACCEPTED {
		fl.t.Fatalf("version %d: %v", cfg.GetVersion(), response)
	}
	return response.GetRevision()
}

func (fl *fleet) fetch(i int) (*schema.FetchResponse, error) {
	rs, err := fl.clients[i].Fetch(context.Background(), connect.NewRequest(&schema.FetchRequest{}))
	if err != nil {
		return nil, err
	}
	return rs.Msg, nil
}

// version returns the version that a current replica returns.
func (fl *fleet) version() uint64 {
	fl.t.Helper()
	var version uint64
	fl.until("fetch", func() bool {
		for i := range fl.clients {
			if rs, err := fl.fetch(i); err == nil {
				version = rs.GetConfiguration().GetVersion()
				return true
			}
		}
		return false
	})
	return version
}

func (fl *fleet) status(i int) *schema.ControlStatusResponse {
	rs, err := fl.clients[i].ControlStatus(context.Background(), connect.NewRequest(&schema.ControlStatusRequest{}))
	if err != nil {
		return &schema.ControlStatusResponse{}
	}
	return rs.Msg
}

// leader waits for a replica that leads and returns its index.
func (fl *fleet) leader() int {
	fl.t.Helper()
	leader := -1
	fl.until("leader", func() bool {
		for i := range fl.clients {
			if fl.status(i).GetCurrent() {
				leader = i
				return true
			}
		}
		return false
	})
	return leader
}

// waitForVoters waits until every replica is a voter.
func (fl *fleet) waitForVoters() {
	fl.t.Helper()
	fl.until("every replica a voter", func() bool {
		for i := range fl.clients {
			if role := fl.status(i).GetRole(); role != "leader" && role != "follower" {
				return false
			}
		}
		return true
	})
}
