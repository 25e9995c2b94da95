// Package deployment runs a whole deployment in one process on loopback: control
// replicas, nodes and stand-in upstreams. Demonstrations, measurements and tests use it.
package deployment

import (
	"context"
	"fmt"
	"io"
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

// VMOptions describes a VM: its stand-in upstream and the node beside it.
type VMOptions struct {
	Name     call.VM
	Domain   call.FailureDomain
	Upstream standin.UpstreamOptions
}

// Options describe a deployment.
type Options struct {
	Name call.Deployment
	// Folder holds the data folders of the control replicas.
	Folder string
	// ControlReplicaCount is the number of control replicas.
	ControlReplicaCount int
	VMs                 []VMOptions
	Policy              node.Policy
	// Seed is the base of the seeds of the nodes, which differ.
	Seed uint64
	// Log is the log of nodes and control replicas; nil discards it.
	Log log.Interface
	// Dial opens the connections on which nodes send attempts to each other.
	Dial peer.DialFunc
	// Sockets can wrap the sockets that nodes use for control traffic.
	Sockets node.SocketWrappers
	// Stop is the plan by which nodes stop; the zero plan means node.DefaultStop.
	Stop node.StopPlan
	// RevocationBound is the bound on the revocation of keys at all nodes; see node.Options.
	RevocationBound time.Duration
	// Events receives the decisions of all nodes on requests, if it is set.
	Events io.Writer
	// PartitionDomain is the failure domain that SetPartitioned separates from all other
	// processes; empty means none.
	PartitionDomain call.FailureDomain
}

// Deployment is a running deployment.
type Deployment struct {
	opt             Options
	ctx             context.Context
	cancel          context.CancelFunc
	controlSettings []*schema.Settings
	// firstContacts holds the peer addresses through which further nodes join.
	firstContacts    []string
	controlProcesses []*process
	// Nodes, nodeSettings, nodeProcesses and Upstreams have one element for each VM.
	Nodes         []*node.Node
	nodeSettings  []*schema.Settings
	nodeProcesses []*process
	Upstreams     []*standin.Upstream
	Client        *operator.Client
	partition     partition
	wg            sync.WaitGroup

	mu  sync.Mutex
	err error
}

// process is a control replica, node or upstream that runs until stop is called.
type process struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// stop stops the process and waits until it has ended.
func (pr *process) stop() {
	pr.cancel()
	<-pr.done
}

// maxFirstContacts bounds the peer addresses that a new node gets to join through.
const maxFirstContacts = 6

// Start starts a deployment, which runs until ctx ends or Stop is called.
func Start(ctx context.Context, opt Options) (*Deployment, error) {
	if opt.Log == nil {
		opt.Log = &log.Logger{Handler: discard.Default, Level: log.FatalLevel}
	}
	dp := &Deployment{opt: opt, partition: partition{inside: make(map[string]bool)}, Client: &operator.Client{HTTP: &http.Client{Transport: peer.NewReconnectingTransport(nil)}}}
	dp.ctx, dp.cancel = context.WithCancel(ctx)
	if err := dp.startControls(); err != nil {
		dp.Stop()
		return nil, err
	}
	dp.opt.VMs = nil
	dp.firstContacts = slices.Clone(dp.Client.ControlAddresses)
	if err := dp.Add(opt.VMs); err != nil {
		dp.Stop()
		return nil, err
	}
	return dp, nil
}

// Add starts further VMs. It must not be called concurrently with other methods.
func (dp *Deployment) Add(vms []VMOptions) error {
	for _, vo := range vms {
		i := len(dp.opt.VMs)
		dp.opt.VMs = append(dp.opt.VMs, vo)
		if err := dp.startVM(i, vo, dp.firstContacts); err != nil {
			return err
		}
		if _, peers, _ := dp.Nodes[i].Addresses(); len(dp.firstContacts) < maxFirstContacts {
			dp.firstContacts = append(dp.firstContacts, peers)
		}
	}
	return nil
}

// run runs body in the background until the process is stopped. An error with which it
// returns before that is recorded for Err.
func (dp *Deployment) run(name string, body func(context.Context) error) *process {
	ctx, cancel := context.WithCancel(dp.ctx)
	pr := &process{cancel: cancel, done: make(chan struct{})}
	dp.wg.Go(func() {
		defer close(pr.done)
		if err := body(ctx); err != nil && ctx.Err() == nil {
			dp.mu.Lock()
			dp.err = errors.Wrap(err, name)
			dp.mu.Unlock()
		}
	})
	return pr
}

// Err returns the last error of a process that ended without being stopped.
func (dp *Deployment) Err() error {
	dp.mu.Lock()
	defer dp.mu.Unlock()
	return dp.err
}

// startControls allocates the addresses of the control replicas and starts them.
func (dp *Deployment) startControls() error {
	var replicas []*schema.ControlReplica
	for i := range dp.opt.ControlReplicaCount {
		address, err := allocateAddress()
		if err != nil {
			return err
		}
		replicas = append(replicas, &schema.ControlReplica{Name: fmt.Sprintf("control-%d", i+1), Address: address})
		dp.Client.ControlAddresses = append(dp.Client.ControlAddresses, address)
	}
	for _, replica := range replicas {
		dp.controlSettings = append(dp.controlSettings, &schema.Settings{
			Name: replica.GetName(), Deployment: string(dp.opt.Name), FailureDomain: "control",
			PeerAddress: replica.GetAddress(), DataFolder: filepath.Join(dp.opt.Folder, replica.GetName()),
			ControlReplicas: replicas,
		})
	}
	dp.controlProcesses = make([]*process, len(dp.controlSettings))
	for i := range dp.controlSettings {
		if err := dp.StartControl(i); err != nil {
			return err
		}
	}
	return nil
}

// StartControl starts control replica i on its data folder, which holds its state if it
// ran before.
func (dp *Deployment) StartControl(i int) error {
	co, err := control.New(dp.controlSettings[i], control.Options{Log: dp.opt.Log, Validate: config.Check})
	if err != nil {
		return err
	}
	dp.controlProcesses[i] = dp.run(dp.controlSettings[i].GetName(), co.Run)
	return nil
}

// StopControl stops control replica i and waits until it has ended.
func (dp *Deployment) StopControl(i int) { dp.controlProcesses[i].stop() }

// startVM allocates the addresses of VM i, and starts its node and the upstream beside
// it.
func (dp *Deployment) startVM(i int, vo VMOptions, contacts []string) error {
	settings := &schema.Settings{
		Name: string(vo.Name), Deployment: string(dp.opt.Name), FailureDomain: string(vo.Domain),
		FirstContacts: contacts, ControlReplicas: dp.replicas(),
	}
	for _, field := range []*string{&settings.CallerAddress, &settings.PeerAddress, &settings.LocalAddress} {
		address, err := allocateAddress()
		if err != nil {
			return err
		}
		*field = address
	}
	dp.nodeSettings, dp.Nodes, dp.nodeProcesses = append(dp.nodeSettings, settings), append(dp.Nodes, nil), append(dp.nodeProcesses, nil)
	if err := dp.StartNode(i); err != nil {
		return err
	}
	uopt := vo.Upstream
	uopt.VM, uopt.NodeURL, uopt.AnnounceURL = string(vo.Name), "http://"+settings.GetCallerAddress(), "http://"+settings.GetLocalAddress()
	up, err := standin.NewUpstream(uopt)
	if err != nil {
		return err
	}
	dp.Upstreams = append(dp.Upstreams, up)
	dp.run("upstream of "+string(vo.Name), up.Run)
	return nil
}

// StartNode starts node i on the addresses allocated for its VM. It replaces Nodes[i], so
// Nodes must not be read concurrently.
func (dp *Deployment) StartNode(i int) error {
	settings := dp.nodeSettings[i]
	nopt := node.Options{
		Policy: dp.opt.Policy, Seed: dp.opt.Seed + uint64(i) + 1, Log: dp.opt.Log, SocketWrappers: dp.opt.Sockets, Dial: dp.opt.Dial, Stop: dp.opt.Stop,
		RevocationBound: dp.opt.RevocationBound, Events: dp.opt.Events,
	}
	inside := settings.GetFailureDomain() == string(dp.opt.PartitionDomain)
	if dp.opt.PartitionDomain != "" {
		dp.partition.wrapSockets(inside, &nopt)
	}
	nd, err := node.New(settings, nopt)
	if err != nil {
		return err
	}
	if _, peers, _ := nd.Addresses(); inside {
		dp.partition.addInside(peers)
	}
	dp.Nodes[i] = nd
	dp.nodeProcesses[i] = dp.run(settings.GetName(), nd.Run)
	return nil
}

// StopNode stops node i by its StopPlan and waits until it has ended.
func (dp *Deployment) StopNode(i int) { dp.nodeProcesses[i].stop() }

// replicas returns the control replicas as they stand in the settings of all processes.
func (dp *Deployment) replicas() []*schema.ControlReplica {
	if len(dp.controlSettings) == 0 {
		return nil
	}
	return dp.controlSettings[0].GetControlReplicas()
}

// CallerURLs returns the base URL of each node for requests of callers.
func (dp *Deployment) CallerURLs() []string {
	var urls []string
	for _, nd := range dp.Nodes {
		callers, _, _ := nd.Addresses()
		urls = append(urls, "http://"+callers)
	}
	return urls
}

// WaitReady waits until every node has the revision in force and knows the announced
// upstreams of all VMs. It returns an error if ctx ends before.
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

// Stop stops all processes and waits until they have ended.
func (dp *Deployment) Stop() {
	dp.cancel()
	dp.wg.Wait()
	dp.Client.HTTP.CloseIdleConnections()
}
