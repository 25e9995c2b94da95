// Package node runs the process beside an upstream. It admits the requests of callers,
// guards the upstream against overload, and takes part in the membership and the rollout
// of configurations.
package node

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/binary"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/pkg/errors"

	"camphortrail/admission"
	"camphortrail/call"
	"camphortrail/config"
	"camphortrail/internal/customers/allowance"
	"camphortrail/internal/fleet/allowances"
	"camphortrail/internal/fleet/announce"
	"camphortrail/internal/fleet/gossip"
	"camphortrail/internal/fleet/renewal"
	"camphortrail/internal/fleet/rollout"
	"camphortrail/internal/ops/events"
	"camphortrail/internal/ops/process"
	"camphortrail/internal/traffic/allocation"
	"camphortrail/internal/traffic/attempt"
	"camphortrail/internal/traffic/buffer"
	"camphortrail/internal/traffic/calltree"
	"camphortrail/internal/traffic/entry"
	"camphortrail/internal/traffic/guard"
	"camphortrail/internal/traffic/link"
	"camphortrail/internal/traffic/peer"
	"camphortrail/membership"
	"camphortrail/retry"
	"camphortrail/route"
	"camphortrail/schema"
	"camphortrail/schema/schemaconnect"
	"camphortrail/withdrawal"
)

// Policy selects how a node decides on overload.
type Policy uint8

// The policies.
const (
	// FullPolicy applies all overload control.
	FullPolicy Policy = iota
	// BaselinePolicy queues work in order of arrival without bound, retries up to
	// baselineHopRetries times at each hop, and sheds no load. It is the reference for
	// measurements.
	BaselinePolicy
)

// baselineHopRetries is the number of retries at each hop under BaselinePolicy.
const baselineHopRetries = 3

// Options configure a node. The zero value is a node with the full policy and without
// additional endpoints.
type Options struct {
	Policy Policy
	// Seed seeds the random choices, so that they can be repeated. Zero stands for a
	// random seed.
	Seed uint64
	Log  log.Interface
	// Dial opens the connections to other processes; see peer.Options.
	Dial peer.DialFunc
	// BindIP is the IP of the traffic with other processes, if that is not the announced one.
	BindIP peer.BindIP
	// SocketWrappers wraps the sockets that the node uses for control.
	SocketWrappers SocketWrappers
	// Events receives the decisions on requests. If it is nil, none are written.
	Events io.Writer
	// NewCallerServer, if set, returns the server for callers. Otherwise an http.Server
	// calls the entry.
	NewCallerServer func(*Node) Server
	// Endpoints are additional addresses on which the node serves.
	Endpoints []Endpoint
	// UpstreamProtocol, if set, replaces the protocol spoken with the upstream.
	UpstreamProtocol guard.Protocol
	// RetrySlack is the number of retries to a service that all nodes together may make
	// without any successes; see entry.Options.
	RetrySlack float64
	// RetryRatio is the number of times for each first send to a service that all nodes together
	// may send a refused attempt again; see guard.Options.
	RetryRatio float64
	// PlaceByCost makes the node choose VMs by the least expected time to completion, and report
	// the load of its upstream to others; see entry.Options.
	PlaceByCost bool
	// Admission configures the admission to the upstream beside the node.
	Admission admission.Settings
	// MaxBufferedBytes is the total size of the answer bodies being read, in bytes, above
	// which the guard stops reading large ones; see guard.Options.
	MaxBufferedBytes int64
	// ClientMemory, if set, bounds the memory of the attempts of other nodes; see guard.Options.
	// The server for callers shares it.
	ClientMemory *buffer.Budget
	// MaxQueuedBytes is the size of the send queues of all links together, in bytes, above which
	// further frames are rejected. 0 means no bound but that of each link.
	MaxQueuedBytes int64
	// MaxHeapGrowthPercent, if set, is the most by which the heap may exceed the live
	// heap while the node is busy, in percent; see process.HeapGrowth.
	MaxHeapGrowthPercent int
	// Stop says how the node stops. The zero value stands for DefaultStop.
	Stop StopPlan
	// UpstreamDrainPeriod is the time for which the upstream still serves requests after it has
	// reported that it drains. 0 means that it gets no new work then.
	UpstreamDrainPeriod time.Duration
	// FirstStart is set at the first start of the deployment, when no earlier run of the node can
	// have acknowledged the departure of an upstream. Otherwise the node asks others for those,
	// and refuses the reports of upstreams meanwhile; see announce.Registry.
	FirstStart bool
	// RevocationBound is the time after which a withdrawn key of a customer is no longer accepted.
	// 0 means that there is no bound: the keys of the configuration in force are always trusted.
	RevocationBound time.Duration
	// UsageBounds bound the usage caps of customers over all nodes. Without a window, there are no
	// caps.
	UsageBounds allowance.Bounds
}

// Server serves the connections of a listener, as http.Server does.
type Server interface {
	Serve(ln net.Listener) error
	Shutdown(ctx context.Context) error
	Close() error
}

// Endpoint is an additional address with its own HTTP handler.
type Endpoint struct {
	// Address is the TCP address (IP:port) to listen on.
	Address string
	Handler func(*Node) http.Handler
}

// StopPlan says how a node stops.
type StopPlan struct {
	// NoticePeriod is the time from the beginning of the stop until the wait for work in
	// flight.
	NoticePeriod time.Duration
	// DrainPeriod, if set, is the time for which the upstream is announced as draining, once
	// the entry has finished the requests of callers. Until then other nodes still send work
	// to the upstream. If it is 0, the upstream is announced as draining from the beginning of
	// the stop.
	DrainPeriod time.Duration
	// FinishTimeout bounds the wait for work in flight after NoticePeriod.
	FinishTimeout time.Duration
	// LateTime is how much later than that the stop may end if the process acted late on its signal.
	// All times count from the earliest time at which that may have come, but for the end, which counts
	// from the latest.
	LateTime time.Duration
	// AcceptCallers says that requests of callers are accepted during NoticePeriod. While
	// Stopping returns true, the server for callers asks them to go to another node.
	AcceptCallers bool
}

// DefaultStop refuses the requests of callers from the beginning of the stop.
var DefaultStop = StopPlan{NoticePeriod: 1500 * time.Millisecond, FinishTimeout: 60 * time.Second}

const (
	// maxHeaderBytes bounds the head of a request other than those of callers.
	maxHeaderBytes = 16 << 10
	// maxConfigurationBytes bounds a configuration that is fetched.
	maxConfigurationBytes = 32 << 20
	// readHeaderTimeout bounds the time to read it.
	readHeaderTimeout = 5 * time.Second
)

// Node is the process beside one upstream.
type Node struct {
	set     *schema.Settings
	log     log.Interface
	metrics *metrics.Set
	// stalls knows when the process did not run.
	stalls process.Stalls

	opt                                         Options
	stopping                                    atomic.Bool
	started                                     time.Time
	configured                                  atomic.Bool
	endpointListeners                           []net.Listener
	callerListener, peerListener, localListener net.Listener
	guard                                       *guard.Guard
	entry                                       *entry.Entry
	pool                                        *peer.Pool
	gossip                                      *gossip.Gossip
	rollout                                     *rollout.Rollout
	announcements                               *announce.Registry
	claims                                      claimClient
	renewal                                     *renewal.Renewal
	allowances                                  *allowances.Allowances
	events                                      *events.Log
	memberNotices                               <-chan gossip.Notice
	// gcPercent is the target percentage of the garbage collector set by
	// summarizeProcess, or 0 before the first change.
	gcPercent int
	rpc       *http.Client
	// fetchClient fetches configurations.
	fetchClient *http.Client
}

// New listens on the addresses of the settings and returns a node that is ready to run.
func New(set *schema.Settings, opt Options) (*Node, error) {
	if opt.Dial == nil {
		opt.Dial = opt.BindIP.DialFunc()
	}
	opt.ClientMemory = cmp.Or(opt.ClientMemory, buffer.NewBudget(math.MaxInt64))
	if opt.Stop == (StopPlan{}) {
		opt.Stop = DefaultStop
	}
	nd := &Node{set: set, opt: opt, log: opt.Log, metrics: metrics.NewSet(), started: time.Now()}
	if nd.log == nil {
		nd.log = log.Log
	}
	nd.log = nd.log.WithFields(log.Fields{"vm": set.GetName(), "failure-domain": set.GetFailureDomain()})
	seed := opt.Seed
	if seed == 0 {
		seed = randomNonZero()
	}
	if err := nd.listen(); err != nil {
		nd.Close()
		return nil, err
	}
	trees := calltree.New(retry.DefaultLimits())
	if opt.Events != nil {
		nd.events = events.New(set.GetName())
	}
	dial := opt.SocketWrappers.dialFunc(opt.Dial)
	nd.rpc = &http.Client{Transport: peer.NewReconnectingTransport(dial)}
	nd.fetchClient = &http.Client{Transport: peer.NewSingleUseTransport(dial)}
	var quota *link.Quota
	if opt.MaxQueuedBytes > 0 {
		quota = link.NewQuota(opt.MaxQueuedBytes)
	}
	nd.guard = guard.New(guard.Options{
		ClientMemory: opt.ClientMemory, LinkQuota: quota,
		Trees: trees, FIFO: opt.Policy == BaselinePolicy, Seed: seed, Metrics: nd.metrics,
		Incarnation: withdrawal.Incarnation(randomNonZero()), Protocol: opt.UpstreamProtocol,
		Events: nd.events, Admission: opt.Admission, RetryRatio: opt.RetryRatio, ReportLoad: opt.PlaceByCost, MaxBufferedBytes: opt.MaxBufferedBytes,
		AggregateDemand: func(de *attempt.Demand) (allocation.Grant, bool) { return nd.entry.AggregateDemand(de) },
		AnswerRenewal:   func(msg *schema.Renewal) *schema.RenewalAnswer { return nd.renewal.Answer(msg) },
	})
	nd.pool = peer.New(peer.Options{
		OnSuspicion: nd.setSuspect, OnGrant: nd.setGrant, Dial: opt.Dial, LinkQuota: quota,
		OnRenewal: func(vm call.VM, msg *schema.RenewalAnswer) { nd.renewal.Receive(vm, msg) },
	})
	nd.renewal = nd.newRenewal(seed)
	eopt := entry.Options{
		VM: call.VM(set.GetName()), Domain: call.FailureDomain(set.GetFailureDomain()), Trees: trees,
		Guard: nd.guard, Pool: nd.pool, Seed: seed, Metrics: nd.metrics, RetrySlack: opt.RetrySlack,
		Events: nd.events, Freshness: nd.renewal, PlaceByCost: opt.PlaceByCost,
	}
	if nd.allowances != nil {
		eopt.Allowances = nd.allowances
	}
	if opt.Policy == BaselinePolicy {
		eopt.HopRetries = baselineHopRetries
	}
	controls := controlAddresses(set)
	if nd.claims = newClaims(controls, nd.rpc); nd.claims != nil {
		eopt.Claims = nd.claims
	}
	nd.entry = entry.New(eopt)
	nd.announcements = announce.New(time.Now, nd.upstreamsChanged)
	nd.announcements.SetDrainPeriod(opt.UpstreamDrainPeriod)
	if !opt.FirstStart {
		nd.announcements.AwaitRecall()
	}
	nd.peerListener = opt.SocketWrappers.listener(nd.peerListener)
	if err := nd.openMembership(controls, opt.SocketWrappers); err != nil {
		nd.Close()
		return nil, err
	}
	nd.exportMetrics()
	return nd, nil
}

// listen opens the TCP listeners of the settings and of the additional endpoints.
func (nd *Node) listen() error {
	for _, open := range []struct {
		listener *net.Listener
		address  string
	}{
		{&nd.callerListener, nd.set.GetCallerAddress()},
		{&nd.peerListener, nd.opt.BindIP.Address(nd.set.GetPeerAddress())},
		{&nd.localListener, nd.set.GetLocalAddress()},
	} {
		ln, err := net.Listen("tcp", open.address)
		if err != nil {
			return errors.Wrap(err, "node "+nd.set.GetName())
		}
		*open.listener = ln
	}
	for _, ep := range nd.opt.Endpoints {
		ln, err := net.Listen("tcp", ep.Address)
		if err != nil {
			return errors.Wrap(err, "node "+nd.set.GetName())
		}
		nd.endpointListeners = append(nd.endpointListeners, ln)
	}
	return nil
}

// openMembership opens the UDP socket of the membership and creates the gossip and the
// rollout.
func (nd *Node) openMembership(controls []string, sockets SocketWrappers) error {
	conn, err := net.ListenPacket("udp", nd.peerListener.Addr().String())
	if err != nil {
		return errors.Wrap(err, "node "+nd.set.GetName())
	}
	nd.gossip, err = gossip.New(gossip.Settings{
		Deployment: call.Deployment(nd.set.GetDeployment()), Name: call.VM(nd.set.GetName()),
		FailureDomain: call.FailureDomain(nd.set.GetFailureDomain()), Role: membership.NodeRole,
		Address: nd.opt.BindIP.Announced(nd.set.GetPeerAddress(), nd.peerListener), Contacts: nd.set.GetFirstContacts(), FirstStart: nd.opt.FirstStart,
		Metrics: nd.metrics, Log: nd.log,
	}, sockets.packetConn(conn))
	if err != nil {
		conn.Close()
		return err
	}
	nd.memberNotices = nd.gossip.Subscribe()
	nd.rollout, err = rollout.New(rollout.Settings{
		Deployment: call.Deployment(nd.set.GetDeployment()), DataFolder: nd.set.GetDataFolder(), Controls: controls,
		ControlClient: func(address string) rollout.Fetcher {
			return schemaconnect.NewControlClient(nd.fetchClient, "http://"+address, connect.WithReadMaxBytes(maxConfigurationBytes))
		},
		PeerClient: func(address string) rollout.Fetcher {
			return schemaconnect.NewPeerClient(nd.fetchClient, "http://"+address, connect.WithReadMaxBytes(maxConfigurationBytes))
		},
		Hints: nd.gossip.Hints(), PresentPeers: nd.presentPeers, PresentControls: nd.presentControls, OnChange: nd.configure,
		Log: nd.log, Metrics: nd.metrics,
	})
	return err
}

// configure puts a configuration into force in the entry and the routing table, and
// announces its revision. It returns an error if the configuration is invalid.
func (nd *Node) configure(revision uint64, cfg *schema.Configuration) error {
	cd, err := config.Compile(cfg, revision)
	if err != nil {
		return err
	}
	if !nd.configured.Swap(true) && startedWithFleet(nd.gossip.Members(), nd.set.GetName(), nd.started) {
		nd.entry.StartSlowly()
		nd.log.Info("most nodes have just started; requests are admitted by a slow start")
	}
	nd.entry.SetConfiguration(cd)
	if nd.allowances != nil {
		nd.allowances.SetConfiguration(cd)
	}
	nd.renewal.SetConfiguration(revision, cd.HasCustomers())
	if !slices.ContainsFunc(cfg.GetFailureDomains(), func(fd *schema.FailureDomain) bool {
		return fd.GetName() == nd.set.GetFailureDomain()
	}) {
		nd.log.Warn("the configuration does not name this node's failure domain")
	}
	nd.entry.ApplyRouteEvent(route.SameRegion{Domains: sameRegionDomains(cfg, nd.set.GetFailureDomain())})
	nd.gossip.SetRevision(revision)
	nd.log.WithFields(log.Fields{"build": process.Build(), "revision": revision, "version": cfg.GetVersion()}).Info("configuration in force")
	return nil
}

// sameRegionDomains returns the failure domains in the region of the failure domain own,
// except own itself.
func sameRegionDomains(cfg *schema.Configuration, own string) []call.FailureDomain {
	var region string
	for _, fd := range cfg.GetFailureDomains() {
		if fd.GetName() == own {
			region = fd.GetRegion()
		}
	}
	var others []call.FailureDomain
	for _, fd := range cfg.GetFailureDomains() {
		if fd.GetRegion() == region && fd.GetName() != own {
			others = append(others, call.FailureDomain(fd.GetName()))
		}
	}
	return others
}

// upstreamsChanged passes a changed announcement of the upstream to the guard and the
// gossip.
func (nd *Node) upstreamsChanged(ups []membership.Upstream) {
	ctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	var up *membership.Upstream
	if len(ups) > 0 {
		up = &ups[0]
	}
	if err := nd.guard.SetUpstream(ctx, up); err != nil {
		nd.log.WithError(err).Error("announcement of the upstream is not applied to the guard")
	}
	nd.gossip.Announce(ups)
}

// followRecalls passes the departures that earlier runs of the node have acknowledged to the
// registry until ctx ends.
func (nd *Node) followRecalls(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case rc := <-nd.gossip.Recalls():
			lg := nd.log.WithFields(log.Fields{"departures": len(rc.Departures), "complete": rc.Complete})
			lg.Info("departures acknowledged before the start recalled")
			nd.announcements.Restore(rc.Departures, rc.Complete)
		}
	}
}

// ConfirmDepartures waits until other processes hold all departures of upstreams that were
// reported, so that the node can recall them after a restart, or until ctx ends.
func (nd *Node) ConfirmDepartures(ctx context.Context) error {
	return nd.gossip.AnnounceDepartures(ctx, nd.announcements.Departures())
}

// controlAddresses returns the addresses of the control replicas in the settings.
func controlAddresses(set *schema.Settings) []string {
	var addresses []string
	for _, replica := range set.GetControlReplicas() {
		addresses = append(addresses, replica.GetAddress())
	}
	return addresses
}

// Addresses returns the addresses on which the node listens.
func (nd *Node) Addresses() (callers, peers, local string) {
	return nd.callerListener.Addr().String(), nd.peerListener.Addr().String(), nd.localListener.Addr().String()
}

// Entry returns the entry, which admits the requests of callers.
func (nd *Node) Entry() *entry.Entry { return nd.entry }

// Announcements returns the registry of the upstream's announcements.
func (nd *Node) Announcements() *announce.Registry { return nd.announcements }

// UpstreamService returns the service of the upstream beside the node, or "" if the node
// knows no upstream.
func (nd *Node) UpstreamService() call.Service { return nd.guard.Service() }

// ClientMemory returns the budget for what callers and other nodes make the node hold.
func (nd *Node) ClientMemory() *buffer.Budget { return nd.opt.ClientMemory }

// Metrics returns the metrics of the node.
func (nd *Node) Metrics() *metrics.Set { return nd.metrics }

// Log returns the log of the node.
func (nd *Node) Log() log.Interface { return nd.log }

// Stopping reports whether the node has begun to stop.
func (nd *Node) Stopping() bool { return nd.stopping.Load() }

// Close closes the listeners of a node that was not run.
func (nd *Node) Close() {
	for _, ln := range append([]net.Listener{nd.callerListener, nd.peerListener, nd.localListener}, nd.endpointListeners...) {
		if ln != nil {
			ln.Close()
		}
	}
}

// randomNonZero returns a random number other than 0.
func randomNonZero() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:]) | 1
}

// Ready reports whether the given revision or a later one is in force, and the node knows
// at least the given number of upstreams.
func (nd *Node) Ready(revision uint64, upstreams int) bool {
	if have, _ := nd.rollout.Current(); have < revision {
		return false
	}
	known := 0
	for _, entries := range nd.entry.RoutingTable() {
		known += len(entries)
	}
	return known >= upstreams
}
