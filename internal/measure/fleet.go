package measure

import (
	"context"
	"net"
	"net/http"
	"os"
	"slices"
	"time"

	"camphortrail/call"
	"camphortrail/internal/control"
	"camphortrail/internal/node"
	"camphortrail/internal/peer"
	"camphortrail/internal/standin"
	"camphortrail/schema"
	"camphortrail/schema/schemaconnect"

	"connectrpc.com/connect"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

const (
	domain       = "milano-nord"
	anyPort      = "127.0.0.1:0"
	readyTimeout = 10 * time.Second
	readyPoll    = 20 * time.Millisecond
)

// ErrNotReady is returned when a deployment does not come up in time.
var ErrNotReady = errors.New("measure: the deployment is not ready")

// fleet is a whole deployment in this process: a control replica, nodes and
// stand-in upstreams.
type fleet struct {
	recorder  *standin.Recorder
	nodes     []*node.Node
	upstreams []*standin.Upstream
	services  []call.Service
	folder    string
	cancel    context.CancelFunc
	running   *errgroup.Group
	rpc       *http.Client
	relays    *relays
}

// fleetOptions describe a fleet.
type fleetOptions struct {
	configuration *schema.Configuration
	vms           []standin.UpstreamOptions
	policy        node.Policy
	seed          uint64
	relayed       bool
}

// startFleet starts a deployment and waits until every node knows the
// configuration and all upstreams.
func startFleet(ctx context.Context, opt fleetOptions) (*fleet, error) {
	folder, err := os.MkdirTemp("", "camphortrail-measure-")
	if err != nil {
		return nil, errors.Wrap(err, "start fleet")
	}
	ctx, cancel := context.WithCancel(ctx)
	running, ctx := errgroup.WithContext(ctx)
	ft := &fleet{
		recorder: standin.NewRecorder(), folder: folder, cancel: cancel, running: running,
		rpc: &http.Client{Transport: peer.NewTransport()}, relays: newRelays(),
	}
	if err := ft.start(ctx, opt); err != nil {
		_ = ft.stop()
		return nil, err
	}
	return ft, nil
}

func (ft *fleet) start(ctx context.Context, opt fleetOptions) error {
	replica, err := ft.startControl(ctx)
	if err != nil {
		return err
	}
	for i, vm := range opt.vms {
		if err := ft.startVM(ctx, replica, vm, opt, opt.seed+uint64(i)); err != nil {
			return err
		}
	}
	ctx, stop := context.WithTimeout(ctx, readyTimeout)
	defer stop()
	if err := ft.apply(ctx, replica.GetAddress(), opt.configuration); err != nil {
		return err
	}
	return ft.ready(ctx)
}

// stop ends everything and removes the data folder.
func (ft *fleet) stop() error {
	ft.cancel()
	err := ft.running.Wait()
	ft.rpc.CloseIdleConnections()
	ft.relays.close()
	if removal := os.RemoveAll(ft.folder); err == nil {
		err = removal
	}
	return errors.Wrap(err, "stop fleet")
}

func silentLog() log.Interface { return &log.Logger{Handler: discard.New(), Level: log.FatalLevel} }

func (ft *fleet) startControl(ctx context.Context) (*schema.ControlReplica, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	replica := &schema.ControlReplica{Name: "control-1", Address: address}
	co, err := control.New(&schema.Settings{
		Name: replica.GetName(), Deployment: deployment, FailureDomain: domain, PeerAddress: address,
		DataFolder: ft.folder, ControlReplicas: []*schema.ControlReplica{replica},
	}, control.Options{Log: silentLog()})
	if err != nil {
		return nil, errors.Wrap(err, "start control")
	}
	ft.running.Go(func() error { return co.Run(ctx) })
	return replica, nil
}

// freeAddress returns a loopback address that was free a moment ago.
func freeAddress() (string, error) {
	ln, err := net.Listen("tcp", anyPort)
	if err != nil {
		return "", errors.Wrap(err, "find a port")
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

func (ft *fleet) startVM(
	ctx context.Context, replica *schema.ControlReplica, vm standin.UpstreamOptions, opt fleetOptions, seed uint64,
) error {
	set := &schema.Settings{
		Name: vm.VM, Deployment: deployment, FailureDomain: domain,
		CallerAddress: anyPort, PeerAddress: anyPort, LocalAddress: anyPort,
		ControlReplicas: []*schema.ControlReplica{replica},
	}
	if len(ft.nodes) > 0 {
		_, peers, _ := ft.nodes[0].Addresses()
		set.FirstContacts = []string{peers}
	}
	nd, err := node.New(set, node.Options{Policy: opt.policy, Seed: seed, Log: silentLog()})
	if err != nil {
		return err
	}
	ft.running.Go(func() error { return nd.Run(ctx) })
	ft.nodes = append(ft.nodes, nd)
	callers, _, local := nd.Addresses()
	vm.Node, vm.Local, vm.Recorder = "http://"+callers, "http://"+local, ft.recorder
	us, err := standin.NewUpstream(vm)
	if err != nil {
		return err
	}
	ft.running.Go(func() error { return us.Run(ctx) })
	ft.upstreams = append(ft.upstreams, us)
	ft.services = append(ft.services, vm.Service)
	return nil
}

// apply proposes the configuration until it is accepted.
func (ft *fleet) apply(ctx context.Context, address string, cfg *schema.Configuration) error {
	client := schemaconnect.NewControlClient(ft.rpc, "http://"+address)
	return poll(ctx, "apply the configuration", func() bool {
		rs, err := client.Apply(ctx, connect.NewRequest(&schema.ApplyRequest{Configuration: cfg}))
		return err == nil && rs.Msg.GetResult() == schema.ApplyResult_APPLY_RESULT_ACCEPTED
	})
}

// ready waits until every node has the configuration, knows all upstreams and
// serves calls to each service.
func (ft *fleet) ready(ctx context.Context) error {
	for _, nd := range ft.nodes {
		_, peers, _ := nd.Addresses()
		client := schemaconnect.NewPeerClient(ft.rpc, "http://"+peers)
		err := poll(ctx, "wait for "+peers, func() bool {
			rs, err := client.Status(ctx, connect.NewRequest(&schema.StatusRequest{}))
			return err == nil && rs.Msg.GetRevision() > 0 && len(rs.Msg.GetUpstreams()) == len(ft.upstreams)
		})
		if err != nil {
			return err
		}
	}
	for _, url := range ft.callerURLs() {
		for _, service := range ft.services {
			probe := url + "/" + string(service) + "/" + kindName(lookup) + "/0"
			if err := poll(ctx, "wait for "+probe, func() bool { return succeeds(ctx, probe) }); err != nil {
				return err
			}
		}
	}
	return nil
}

// succeeds reports whether a GET of the URL is answered with the status 200.
func succeeds(ctx context.Context, url string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// log returns what was recorded, without the probes of ready, which belong to
// no root.
func (ft *fleet) log() standin.Log {
	lg := ft.recorder.Log()
	lg.Runs = slices.DeleteFunc(lg.Runs, func(rn standin.Run) bool { return rn.Root == 0 })
	return lg
}

// poll repeats try until it reports true or ctx ends.
func poll(ctx context.Context, what string, try func() bool) error {
	ticker := time.NewTicker(readyPoll)
	defer ticker.Stop()
	for !try() {
		select {
		case <-ctx.Done():
			return errors.Wrap(ErrNotReady, what)
		case <-ticker.C:
		}
	}
	return nil
}

// callerURLs returns the base URLs that callers send to.
func (ft *fleet) callerURLs() []string {
	urls := make([]string, len(ft.nodes))
	for i, nd := range ft.nodes {
		callers, _, _ := nd.Addresses()
		urls[i] = "http://" + callers
	}
	return urls
}

// setWork changes the time that requests of a service take.
func (ft *fleet) setWork(service call.Service, d time.Duration) {
	for i, us := range ft.upstreams {
		if ft.services[i] == service {
			us.SetWork(d)
		}
	}
}

// silence makes all established connections between nodes go silent.
func (ft *fleet) silence() { ft.relays.silence() }
