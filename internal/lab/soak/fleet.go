package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"camphortrail/call"
	"camphortrail/platform"
	"camphortrail/platform/document"
)

// The bounds of the deployment, as the users state them.
const (
	ContactWindow   = 3 * time.Second
	ReuseAfter      = 2 * time.Second
	SeedLag         = 3 * time.Second
	SyncTime        = 4 * time.Second
	AckTime         = 4 * time.Second
	DrainPeriod     = 2 * time.Second
	Grace           = 6 * time.Second
	LossSlack       = 200 * time.Millisecond
	ConfigApply     = 2 * time.Second
	RollbackSlack   = 250 * time.Millisecond
	MaxSkew         = 5 * time.Second
	RecoveryTime    = 15 * time.Second
	HeartbeatPeriod = 1500 * time.Millisecond
)

const (
	retryRatio         = 0.2
	retrySlack         = 50
	nodeMemoryMB       = 284
	controlMemoryMB    = 280
	nodeDescriptors    = 4100
	controlDescriptors = 4096
	peerPorts          = 16
)

// Errors of a fleet.
var (
	// ErrNoPorts is returned if no loopback addresses with free ports were found.
	ErrNoPorts = errors.New("soak: no free ports")
	// ErrRunning is returned for the start of a process that runs.
	ErrRunning = errors.New("soak: the process runs")
	// ErrNotApplied is returned if a configuration was refused or had no clear answer.
	ErrNotApplied = errors.New("soak: configuration not applied")
	// ErrNotReady is returned if nodes are not ready in time.
	ErrNotReady = errors.New("soak: nodes not ready")
)

// The services of the fleet.
const (
	Sportello   call.Service = "sportello"
	Emissione   call.Service = "emissione"
	Planimetrie call.Service = "planimetrie"
	Cassa       call.Service = "cassa"
)

// Services returns the services of a fleet of 19 nodes.
func Services() []ServiceSize {
	return []ServiceSize{
		{Name: Sportello, Upstreams: 7, Slots: 39, MaxConns: 334},
		{Name: Emissione, Upstreams: 4, Slots: 69, MaxConns: 514},
		{Name: Planimetrie, Upstreams: 4, Slots: 69, MaxConns: 514},
		{Name: Cassa, Upstreams: 4, Slots: 17, MaxConns: 202},
	}
}

// failureDomains are those of the deployment, all in one region.
var failureDomains = []call.FailureDomain{"milano-nord", "bergamo", "brescia", "monza"}

const region = "lombardia"

// Options are the options of a fleet.
type Options struct {
	Seed Seed
	// Program is the path of the command camphortrail.
	Program string
	// Folder holds a folder for each machine, with its settings, log and disk.
	Folder string
	// Deployment, if not nil, takes the place of the services and control replicas, of the routes and of
	// what callers send.
	Deployment *Deployment
	// Services are the services of the nodes (default: Services()).
	Services []ServiceSize
	// Controls is the number of control replicas (default: 4).
	Controls int
	// EditCommand, if not nil, changes the command or the environment of each process before it starts.
	EditCommand func(ma *Machine, cmd *exec.Cmd)
	// EditSettings, if not nil, changes the settings that a process is told, addresses included,
	// each time before they are written.
	EditSettings func(ma *Machine, set *platform.Settings)

	proxied bool // see WithProxy
}

// ports are the ports of all machines.
type ports struct{ callers, upstream, readiness, control, first int }

// Fleet is a deployment of real processes on loopback addresses, with an upstream beside each node.
type Fleet struct {
	Recorder *Recorder
	Controls []*Machine
	Nodes    []*Machine
	// Proxy carries the traffic between machines from Start on, if the options are those of WithProxy.
	Proxy *Proxy

	opt   Options
	ports ports
	// startUpstream starts a new upstream beside a node, which ends with the fleet.
	startUpstream func(ma *Machine) error
}

// New prepares a fleet. It starts nothing.
func New(opt Options) (*Fleet, error) {
	if dep := opt.Deployment; dep != nil {
		opt.Services, opt.Controls = dep.Services, dep.Controls
	}
	if opt.Services == nil {
		opt.Services = Services()
	}
	if opt.Controls == 0 {
		opt.Controls = len(failureDomains)
	}
	fl := &Fleet{Recorder: NewRecorder(), opt: opt}
	for host := range opt.Controls {
		fl.Controls = append(fl.Controls, fl.newMachine(host, ControlMachine, "core"))
	}
	for _, sz := range opt.Services {
		for range sz.Upstreams {
			ma := fl.newMachine(len(fl.Nodes), NodeMachine, "sidecar")
			ma.Service, ma.size = sz.Name, sz
			fl.Nodes = append(fl.Nodes, ma)
		}
	}
	return fl, fl.chooseAddresses()
}

// newMachine returns the machine of a kind with the given index.
func (fl *Fleet) newMachine(index int, kind MachineKind, class string) *Machine {
	domains := fl.failureDomains()
	fd := domains[index%len(domains)]
	name := fmt.Sprintf("%s-%s-%d", class, fd, 1+index/len(domains))
	return &Machine{
		Name: call.VM(name), Zone: fd, Kind: kind, fl: fl,
		folder: filepath.Join(fl.opt.Folder, name),
	}
}

// failureDomains returns the failure domains of the deployment.
func (fl *Fleet) failureDomains() []call.FailureDomain {
	if dep := fl.opt.Deployment; dep != nil {
		return dep.FailureDomains
	}
	return failureDomains
}

// Machines returns all machines, control replicas first.
func (fl *Fleet) Machines() []*Machine {
	return append(append([]*Machine{}, fl.Controls...), fl.Nodes...)
}

// Machine returns the machine with a name, or nil.
func (fl *Fleet) Machine(name call.VM) *Machine {
	for _, ma := range fl.Machines() {
		if ma.Name == name {
			return ma
		}
	}
	return nil
}

// chooseAddresses chooses addresses and ports that are free.
func (fl *Fleet) chooseAddresses() error {
	for range 30 {
		network := fmt.Sprintf("127.%d.%d", 30+rand.IntN(200), rand.IntN(250))
		base := 20000 + rand.IntN(8000)
		fl.ports = ports{callers: base, upstream: base + 1, readiness: base + 2, control: base + 3, first: base + 10}
		for i, ma := range fl.Controls {
			ma.IP = network + "." + strconv.Itoa(1+i)
		}
		for i, ma := range fl.Nodes {
			ma.IP = network + "." + strconv.Itoa(51+i)
		}
		if fl.portsFree() {
			return nil
		}
	}
	return ErrNoPorts
}

// portsFree reports whether all ports of all machines are free.
func (fl *Fleet) portsFree() bool {
	pt := fl.ports
	for _, ma := range fl.Machines() {
		for _, port := range []int{pt.callers, pt.upstream, pt.readiness, pt.control, pt.first, pt.first + 1} {
			ln, err := net.Listen("tcp", ma.addr(port))
			if err != nil {
				return false
			}
			_ = ln.Close()
		}
	}
	return true
}

// Start starts all processes for the first time, and an upstream beside each node. The upstreams
// end with ctx; Close ends the processes.
func (fl *Fleet) Start(ctx context.Context) error {
	if fl.opt.proxied {
		px, err := NewProxy(ctx, fl)
		if err != nil {
			return err
		}
		fl.Proxy = px
	}
	for _, ma := range fl.Machines() {
		if err := ma.Start(true); err != nil {
			return err
		}
	}
	for _, ma := range fl.Nodes {
		if err := ma.startUpstream(ctx); err != nil {
			return err
		}
	}
	fl.startUpstream = func(ma *Machine) error { return ma.startUpstream(ctx) }
	return nil
}

// Close kills all processes that the fleet started and waits for their end. The folder stays.
func (fl *Fleet) Close() {
	for _, ma := range fl.Machines() {
		ma.Kill()
	}
	if fl.Proxy != nil {
		fl.Proxy.Close()
	}
}

// WaitReady waits until all nodes answer that they are ready. The error matches ErrNotReady.
func (fl *Fleet) WaitReady(ctx context.Context) error {
	for _, ma := range fl.Nodes {
		for !ma.Ready(ctx) {
			if pause(ctx, 50*time.Millisecond) != nil {
				return errors.Wrap(ErrNotReady, string(ma.Name))
			}
		}
	}
	return nil
}

// Apply sends a configuration to one control replica after the other until one answers with a
// status that ends the call. Unless that is a 200, the error matches ErrNotApplied.
func (fl *Fleet) Apply(ctx context.Context, co Configuration) error {
	body := document.Encode(co)
	for i := 0; ; i++ {
		status, err := fl.Put(ctx, fl.Controls[i%len(fl.Controls)], body)
		switch {
		case err == nil && status == http.StatusOK:
			return nil
		case err == nil && status/100 == 4 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests:
			return errors.Wrapf(ErrNotApplied, "version %d: status %d", co.Version, status)
		}
		if pause(ctx, 100*time.Millisecond) != nil {
			return errors.Wrapf(ErrNotApplied, "version %d: %v", co.Version, ctx.Err())
		}
	}
}

// Put sends a configuration to a control replica once, for at most a second, and returns the status.
func (fl *Fleet) Put(ctx context.Context, ma *Machine, body []byte) (int, error) {
	ctx, stop := context.WithTimeout(ctx, time.Second)
	defer stop()
	rq, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+ma.ControlAddress()+configurationPath, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	rq.Header.Set("Content-Type", "application/json")
	res, err := client.Do(rq)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return res.StatusCode, err
}

// client sends each request on a connection of its own, so that none is sent twice.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// pause waits for a time, or returns the error of ctx if that ends first.
func pause(ctx context.Context, length time.Duration) error {
	select {
	case <-time.After(length):
		return ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// RemoveFolder removes the folder of the fleet with all logs and disks.
func (fl *Fleet) RemoveFolder() error { return os.RemoveAll(fl.opt.Folder) }
