package measure

import (
	"context"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"

	"camphortrail/call"
	"camphortrail/internal/fleet/node"
	"camphortrail/internal/lab/deployment"
	"camphortrail/internal/lab/standin"
	"camphortrail/schema"
)

const (
	domain       = "milano-nord"
	anyPort      = "127.0.0.1:0"
	readyTimeout = 10 * time.Second
	readyPoll    = 20 * time.Millisecond
)

// ErrNoConnection is returned when no connection between nodes exists that could be
// silenced.
var ErrNoConnection = errors.New("measure: no connection between nodes")

// ErrNotReady is returned when a deployment or a revision is not ready in time.
var ErrNotReady = errors.New("measure: the deployment is not ready")

// fleet is a deployment in this process with the recorder of its stand-ins.
type fleet struct {
	*deployment.Deployment
	recorder *standin.Recorder
	dialer   standin.Dialer
	services []call.Service
	folder   string
}

// fleetOptions describe a fleet.
type fleetOptions struct {
	configuration *schema.Configuration
	vms           []standin.UpstreamOptions
	policy        node.Policy
	seed          uint64
	// silenceable makes nodes use connections that can be silenced.
	silenceable bool
	// controls is the number of control replicas; 0 means 1.
	controls int
}

// startFleet starts a deployment, applies the configuration and waits until every node
// serves all services.
func startFleet(ctx context.Context, opt fleetOptions) (*fleet, error) {
	folder, err := os.MkdirTemp("", "camphortrail-measure-")
	if err != nil {
		return nil, errors.Wrap(err, "start fleet")
	}
	ft := &fleet{recorder: standin.NewRecorder(), folder: folder}
	var options []deployment.VMOptions
	for _, vm := range opt.vms {
		vm.Recorder = ft.recorder
		ft.services = append(ft.services, vm.Service)
		options = append(options, deployment.VMOptions{Name: call.VM(vm.VM), Domain: domain, Upstream: vm})
	}
	dopt := deployment.Options{
		Name: deploymentName, Folder: folder, ControlReplicaCount: max(1, opt.controls), VMs: options, Policy: opt.policy, Seed: opt.seed,
	}
	if opt.silenceable {
		dopt.Dial = ft.dialer.Dial
	}
	ft.Deployment, err = deployment.Start(ctx, dopt)
	if err != nil {
		_ = os.RemoveAll(folder)
		return nil, err
	}
	if err := ft.applyAndWait(ctx, opt.configuration); err != nil {
		_ = ft.stop()
		return nil, err
	}
	return ft, nil
}

// stop stops all processes and removes the data folder.
func (ft *fleet) stop() error {
	ft.Stop()
	err := ft.Err()
	if removal := os.RemoveAll(ft.folder); err == nil {
		err = removal
	}
	return errors.Wrap(err, "stop fleet")
}

// applyAndWait applies the configuration and waits until every node has it, knows all
// upstreams and serves lookups of each service.
func (ft *fleet) applyAndWait(ctx context.Context, cfg *schema.Configuration) error {
	ctx, stop := context.WithTimeout(ctx, readyTimeout)
	defer stop()
	rs, err := ft.Client.Apply(ctx, cfg)
	if err != nil {
		return err
	}
	if err := ft.WaitReady(ctx, rs.GetRevision()); err != nil {
		return err
	}
	for _, url := range ft.CallerURLs() {
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

// poll repeats try until it returns true. It returns ErrNotReady with what if ctx ends
// before.
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

// log returns what was recorded, without the runs of the probes of applyAndWait, which
// belong to no root.
func (ft *fleet) log() standin.Log {
	lg := ft.recorder.Log()
	lg.Runs = slices.DeleteFunc(lg.Runs, func(rn standin.Run) bool { return rn.Root == 0 })
	return lg
}

// setServiceTime changes the service time of all upstreams of a service.
func (ft *fleet) setServiceTime(service call.Service, d time.Duration) error {
	for i, us := range ft.Upstreams {
		if ft.services[i] == service {
			us.SetServiceTime(d)
		}
	}
	return nil
}

// setFaults makes each upstream spoil one answer in every given number; 0 ends that.
func (ft *fleet) setFaults(every uint64) error {
	faults := []standin.Fault{
		standin.Drop, standin.Truncate, standin.WrongAttempt, standin.Silent, standin.Late, standin.Drop,
	}
	for i, us := range ft.Upstreams {
		us.SetFault(faults[i%len(faults)], every)
	}
	return nil
}

// silenceConnections makes all established connections between nodes drop data. It
// returns ErrNoConnection if there is none.
func (ft *fleet) silenceConnections() error {
	if ft.dialer.Silence(true, true) == 0 {
		return ErrNoConnection
	}
	return nil
}
