// Package deployment runs control replicas, nodes and stand-in upstreams of a
// whole deployment in one process on loopback, for demonstrations,
// measurements and tests.
package deployment

import (
	"context"
	"fmt"
	"net/http"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/pkg/errors"

	"camphortrail/call"
	"camphortrail/config"
	"camphortrail/internal/fleet/node"
	"camphortrail/internal/lab/standin"
	"camphortrail/internal/ops/operator"
	"camphortrail/internal/state/control"
	"camphortrail/internal/traffic/peer"
	"camphortrail/schema"
)

// VMOptions is an upstream VM with the node beside it.
type VMOptions struct {
	Name     call.VM
	Domain   call.FailureDomain
	Upstream standin.UpstreamOptions
}

// Options describe a deployment.
type Options struct {
	Name call.Tenant
	// Folder holds the data folders of the control replicas.
	Folder          string
	ControlReplicas int
	VMs             []VMOptions
	Policy          node.Policy
	Seed            uint64
	Log             log.Interface
	// Dial opens the connections between nodes for attempts.
	Dial peer.DialFunc
	// Sockets may stand between the nodes and their sockets for control.
	Sockets node.SocketWrappers
	// Stop says how nodes stop, if it is set.
	Stop node.StopPlan
	// PartitionDomain is a failure domain that CutOff can cut off, if it is set.
	PartitionDomain call.FailureDomain
}

// Deployment is a running deployment.
type Deployment struct {
	opt       Options
	ctx       context.Context
	cancel    context.CancelFunc
	controls  []*schema.Settings
	contacts  []string
	running   []*process
	Nodes     []*node.Node
	settings  []*schema.Settings
	stops     []*process
	Upstreams []*standin.Upstream
	Client    *operator.Client
	cut       cut
	group     sync.WaitGroup

	mu  sync.Mutex
	err error
}

// process is something that runs until it is stopped.
type process struct {
	cancel context.CancelFunc
	done   chan struct{}
}

func (pr *process) stop() {
	pr.cancel()
	<-pr.done
}

const maxContacts = 6

// Start starts a deployment. It ends with ctx or Stop.
func Start(ctx context.Context, opt Options) (*Deployment, error) {
	if opt.Log == nil {
		opt.Log = &log.Logger{Handler: discard.Default, Level: log.FatalLevel}
	}
	dp := &Deployment{opt: opt, cut: cut{inside: make(map[string]bool)}, Client: &operator.Client{HTTP: &http.Client{Transport: peer.NewReconnectingTransport(nil)}}}
	dp.ctx, dp.cancel = context.WithCancel(ctx)
	if err := dp.startControls(); err != nil {
		dp.Stop()
		return nil, err
	}
	dp.opt.VMs = nil
	dp.contacts = slices.Clone(dp.Client.Controls)
	if err := dp.Add(opt.VMs); err != nil {
		dp.Stop()
		return nil, err
	}
	return dp, nil
}

// Add starts further places. It must not run beside other methods.
func (dp *Deployment) Add(places []VMOptions) error {
	for _, pl := range places {
		i := len(dp.opt.VMs)
		dp.opt.VMs = append(dp.opt.VMs, pl)
		if err := dp.startPlace(i, pl, dp.contacts); err != nil {
			return err
		}
		if _, peers, _ := dp.Nodes[i].Addresses(); len(dp.contacts) < maxContacts {
			dp.contacts = append(dp.contacts, peers)
		}
	}
	return nil
}

// run runs a process in the background until it is stopped.
func (dp *Deployment) run(name string, body func(context.Context) error) *process {
	ctx, cancel := context.WithCancel(dp.ctx)
	pr := &process{cancel: cancel, done: make(chan struct{})}
	dp.group.Go(func() {
		defer close(pr.done)
		if err := body(ctx); err != nil && ctx.Err() == nil {
			dp.mu.Lock()
			dp.err = errors.Wrap(err, name)
			dp.mu.Unlock()
		}
	})
	return pr
}

// Err returns the last error of a process that ended by itself.
func (dp *Deployment) Err() error {
	dp.mu.Lock()
	defer dp.mu.Unlock()
	return dp.err
}

func (dp *Deployment) startControls() error {
	var replicas []*schema.ControlReplica
	for i := range dp.opt.ControlReplicas {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		replicas = append(replicas, &schema.ControlReplica{Name: fmt.Sprintf("control-%d", i+1), Address: address})
		dp.Client.Controls = append(dp.Client.Controls, address)
	}
	for _, replica := range replicas {
		dp.controls = append(dp.controls, &schema.Settings{
			Name: replica.GetName(), Deployment: string(dp.opt.Name), FailureDomain: "control",
			PeerAddress: replica.GetAddress(), DataFolder: filepath.Join(dp.opt.Folder, replica.GetName()),
			ControlReplicas: replicas,
		})
	}
	dp.running = make([]*process, len(dp.controls))
	for i := range dp.controls {
		if err := dp.StartControl(i); err != nil {
			return err
		}
	}
	return nil
}

// StartControl starts control replica i on its data folder.
func (dp *Deployment) StartControl(i int) error {
	co, err := control.New(dp.controls[i], control.Options{Log: dp.opt.Log, Validate: config.Check})
	if err != nil {
		return err
	}
	dp.running[i] = dp.run(dp.controls[i].GetName(), co.Run)
	return nil
}

// StopControl stops control replica i.
func (dp *Deployment) StopControl(i int) { dp.running[i].stop() }

// startPlace starts a node and the upstream beside it.
func (dp *Deployment) startPlace(i int, pl VMOptions, contacts []string) error {
	set := &schema.Settings{
		Name: string(pl.Name), Deployment: string(dp.opt.Name), FailureDomain: string(pl.Domain),
		FirstContacts: contacts, ControlReplicas: dp.replicas(),
	}
	for _, field := range []*string{&set.CallerAddress, &set.PeerAddress, &set.LocalAddress} {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		*field = address
	}
	dp.settings, dp.Nodes, dp.stops = append(dp.settings, set), append(dp.Nodes, nil), append(dp.stops, nil)
	if err := dp.StartNode(i); err != nil {
		return err
	}
	uopt := pl.Upstream
	uopt.VM, uopt.NodeURL, uopt.AnnounceURL = string(pl.Name), "http://"+set.GetCallerAddress(), "http://"+set.GetLocalAddress()
	up, err := standin.NewUpstream(uopt)
	if err != nil {
		return err
	}
	dp.Upstreams = append(dp.Upstreams, up)
	dp.run("upstream of "+string(pl.Name), up.Run)
	return nil
}

// StartNode starts node i, at the addresses that it had before if it was
// stopped. Nodes must not be read meanwhile.
func (dp *Deployment) StartNode(i int) error {
	set := dp.settings[i]
	nopt := node.Options{Policy: dp.opt.Policy, Seed: dp.opt.Seed + uint64(i) + 1, Log: dp.opt.Log, SocketWrappers: dp.opt.Sockets, Dial: dp.opt.Dial, Stop: dp.opt.Stop}
	inside := set.GetFailureDomain() == string(dp.opt.PartitionDomain)
	if dp.opt.PartitionDomain != "" {
		dp.cut.options(inside, &nopt)
	}
	nd, err := node.New(set, nopt)
	if err != nil {
		return err
	}
	if _, peers, _ := nd.Addresses(); inside {
		dp.cut.add(peers)
	}
	dp.Nodes[i] = nd
	dp.stops[i] = dp.run(set.GetName(), nd.Run)
	return nil
}

// StopNode stops node i as planned and waits for its end.
func (dp *Deployment) StopNode(i int) { dp.stops[i].stop() }

func (dp *Deployment) replicas() []*schema.ControlReplica {
	if len(dp.controls) == 0 {
		return nil
	}
	return dp.controls[0].GetControlReplicas()
}

// CallerURLs returns the base URLs of the nodes for callers.
func (dp *Deployment) CallerURLs() []string {
	var urls []string
	for _, nd := range dp.Nodes {
		callers, _, _ := nd.Addresses()
		urls = append(urls, "http://"+callers)
	}
	return urls
}

// WaitReady waits until each node has the revision in force, knows all
// upstreams and each upstream is announced, or until ctx ends.
func (dp *Deployment) WaitReady(ctx context.Context, revision uint64) error {
	for {
		ready := 0
		for _, nd := range dp.Nodes {
			if nd.Ready(revision, len(dp.opt.VMs)) {
				ready++
			}
		}
		if ready == len(dp.Nodes) {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("deployment: %d of %d nodes are ready for revision %d", ready, len(dp.Nodes), revision)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// Stop ends all processes and waits for them.
func (dp *Deployment) Stop() {
	dp.cancel()
	dp.group.Wait()
	dp.Client.HTTP.CloseIdleConnections()
}
