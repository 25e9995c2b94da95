// Package node runs the process beside an upstream: it takes requests, guards
// the upstream, and takes part in membership and configuration.
package node

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/pkg/errors"

	"camphortrail/admission"
	"camphortrail/call"
	"camphortrail/config"
	"camphortrail/internal/fleet/announce"
	"camphortrail/internal/fleet/gossip"
	"camphortrail/internal/fleet/rollout"
	"camphortrail/internal/ops/events"
	"camphortrail/internal/traffic/calltree"
	"camphortrail/internal/traffic/entry"
	"camphortrail/internal/traffic/guard"
	"camphortrail/internal/traffic/peer"
	"camphortrail/membership"
	"camphortrail/retry"
	"camphortrail/route"
	"camphortrail/schema"
	"camphortrail/schema/schemaconnect"
	"camphortrail/withdrawal"
)

// Policy says which overload decisions are in force.
type Policy uint8

// The policies.
const (
	// FullPolicy is the policy of the system.
	FullPolicy Policy = iota
	// BaselinePolicy takes work in the order of arrival without bound, with
	// a number of retries at each hop and no shedding. Measurements compare
	// with it.
	BaselinePolicy
)

const baselineHopRetries = 3

// Options vary a node.
type Options struct {
	Policy Policy
	// Seed makes choices repeatable. Zero draws one.
	Seed uint64
	Log  log.Interface
	// Dial opens the connections to other processes; see peer.Options.
	Dial peer.DialFunc
	// SocketWrappers may stand between the node and its sockets for control.
	SocketWrappers SocketWrappers
	// Events is where decisions on requests are written; nil writes none.
	Events io.Writer
	// NewCallerServer replaces the server for callers.
	NewCallerServer func(*Node) Server
	// Endpoints are further addresses that the node serves.
	Endpoints []Endpoint
	// UpstreamProtocol replaces the interface to upstreams.
	UpstreamProtocol guard.Protocol
	// RetrySlack is the number of retries to a service that all nodes
	// together may make without successes; see entry.Options.
	RetrySlack float64
	// Admission tunes the admission to the upstream beside the node.
	Admission admission.Settings
	// MaxBufferedBytes bounds the bodies of answers that are read at a time, in bytes;
	// see guard.Options.
	MaxBufferedBytes int64
	// MaxHeapGrowthPercent, if set, is how far the heap may grow over what lives on it while the
	// node is busy, in percent; see process.Growth.
	MaxHeapGrowthPercent int
	// Stop says how the node stops. The zero value stands for DefaultStop.
	Stop StopPlan
}

// Server serves the connections of a listener; see http.Server.
type Server interface {
	Serve(ln net.Listener) error
	Shutdown(ctx context.Context) error
	Close() error
}

// Endpoint is an address with an interface of its own.
type Endpoint struct {
	// Address is IP:port, TCP.
	Address string
	Handler func(*Node) http.Handler
}

// StopPlan says how a node stops.
type StopPlan struct {
	// NoticePeriod is the time for which the node stays, until the others have
	// learned that it leaves.
	NoticePeriod time.Duration
	// DrainPeriod, if set, is how long before the end of Notice the upstream is
	// announced as leaving. Until then other nodes send it work. Otherwise it is
	// announced at once.
	DrainPeriod time.Duration
	// FinishTimeout bounds the wait for work in flight after that.
	FinishTimeout time.Duration
	// AcceptCallers says that requests of callers are taken during Notice: they are
	// told to go elsewhere by Stopping.
	AcceptCallers bool
}

// DefaultStop refuses the requests of callers at once.
var DefaultStop = StopPlan{NoticePeriod: 1500 * time.Millisecond, FinishTimeout: 60 * time.Second}

// Node is the process beside one upstream.
type Node struct {
	set     *schema.Settings
	log     log.Interface
	metrics *metrics.Set

	opt                   Options
	stopping              atomic.Bool
	doors                 []net.Listener
	callers, peers, local net.Listener
	guard                 *guard.Guard
	entry                 *entry.Entry
	pool                  *peer.Pool
	gossip                *gossip.Gossip
	rollout               *rollout.Rollout
	announce              *announce.Registry
	claims                claimClient
	events                *events.Log
	notices               <-chan gossip.Notice
	// heapGrowth is the growth of the heap that was set last, in percent.
	heapGrowth int
	rpc        *http.Client
}

// New opens the addresses of the settings and returns a node that is ready to
// run.
func New(set *schema.Settings, opt Options) (*Node, error) {
	if opt.Stop == (StopPlan{}) {
		opt.Stop = DefaultStop
	}
	nd := &Node{set: set, opt: opt, log: opt.Log, metrics: metrics.NewSet()}
	if nd.log == nil {
		nd.log = log.Log
	}
	nd.log = nd.log.WithFields(log.Fields{"vm": set.GetName(), "failure-domain": set.GetFailureDomain()})
	seed := opt.Seed
	if seed == 0 {
		seed = randomNumber()
	}
	if err := nd.listen(); err != nil {
		nd.Close()
		return nil, err
	}
	trees := calltree.New(retry.DefaultLimits())
	if opt.Events != nil {
		nd.events = events.New(set.GetName())
	}
	nd.rpc = &http.Client{Transport: opt.SocketWrappers.transport(opt.Dial)}
	nd.guard = guard.New(guard.Options{
		Trees: trees, FIFO: opt.Policy == BaselinePolicy, Seed: seed, Metrics: nd.metrics,
		Incarnation: withdrawal.Incarnation(randomNumber()), Protocol: opt.UpstreamProtocol,
		Events: nd.events, Admission: opt.Admission, MaxBufferedBytes: opt.MaxBufferedBytes,
	})
	nd.pool = peer.New(peer.Options{OnSuspicion: nd.connState, OnGrant: nd.setRoom, Dial: opt.Dial})
	eopt := entry.Options{
		VM: call.VM(set.GetName()), Domain: call.FailureDomain(set.GetFailureDomain()), Trees: trees,
		Guard: nd.guard, Pool: nd.pool, Seed: seed, Metrics: nd.metrics, RetrySlack: opt.RetrySlack,
		Events: nd.events,
	}
	if opt.Policy == BaselinePolicy {
		eopt.HopRetries = baselineHopRetries
	}
	controls := controlAddresses(set)
	if nd.claims = newClaims(controls, nd.rpc); nd.claims != nil {
		eopt.Claims = nd.claims
	}
	nd.entry = entry.New(eopt)
	nd.announce = announce.New(time.Now, nd.upstreamsChanged)
	nd.peers = opt.SocketWrappers.listener(nd.peers)
	if err := nd.join(controls, opt.SocketWrappers); err != nil {
		nd.Close()
		return nil, err
	}
	nd.exportMetrics()
	return nd, nil
}

// listen opens the TCP addresses.
func (nd *Node) listen() error {
	for _, open := range []struct {
		listener *net.Listener
		address  string
	}{
		{&nd.callers, nd.set.GetCallerAddress()},
		{&nd.peers, nd.set.GetPeerAddress()},
		{&nd.local, nd.set.GetLocalAddress()},
	} {
		ln, err := net.Listen("tcp", open.address)
		if err != nil {
			return errors.Wrap(err, "node "+nd.set.GetName())
		}
		*open.listener = ln
	}
	for _, dr := range nd.opt.Endpoints {
		ln, err := net.Listen("tcp", dr.Address)
		if err != nil {
			return errors.Wrap(err, "node "+nd.set.GetName())
		}
		nd.doors = append(nd.doors, ln)
	}
	return nil
}

// join sets membership and configuration up.
func (nd *Node) join(controls []string, sockets SocketWrappers) error {
	conn, err := net.ListenPacket("udp", nd.peers.Addr().String())
	if err != nil {
		return errors.Wrap(err, "node "+nd.set.GetName())
	}
	nd.gossip, err = gossip.New(gossip.Settings{
		Deployment: call.Tenant(nd.set.GetDeployment()), Name: call.VM(nd.set.GetName()),
		FailureDomain: call.FailureDomain(nd.set.GetFailureDomain()), Role: membership.NodeRole,
		Address: nd.peers.Addr().String(), Contacts: nd.set.GetFirstContacts(),
		Metrics: nd.metrics, Log: nd.log,
	}, sockets.packet(conn))
	if err != nil {
		conn.Close()
		return err
	}
	nd.notices = nd.gossip.Subscribe()
	nd.rollout, err = rollout.New(rollout.Settings{
		Deployment: call.Tenant(nd.set.GetDeployment()), DataFolder: nd.set.GetDataFolder(), Controls: controls,
		ControlClient: func(address string) rollout.Fetcher {
			return schemaconnect.NewControlClient(nd.rpc, "http://"+address)
		},
		PeerClient: func(address string) rollout.Fetcher {
			return schemaconnect.NewPeerClient(nd.rpc, "http://"+address)
		},
		Hints: nd.gossip.Hints(), PresentPeers: nd.nodeAddresses, PresentControls: nd.controlReplicas, OnChange: nd.configure,
		Log: nd.log, Metrics: nd.metrics,
	})
	return err
}

// configure brings a configuration into force.
func (nd *Node) configure(revision uint64, cfg *schema.Configuration) error {
	cd, err := config.Compile(cfg, revision)
	if err != nil {
		return err
	}
	nd.entry.SetConfiguration(cd)
	if !slices.ContainsFunc(cfg.GetFailureDomains(), func(fd *schema.FailureDomain) bool {
		return fd.GetName() == nd.set.GetFailureDomain()
	}) {
		nd.log.Warn("the configuration does not name this node's failure domain")
	}
	nd.entry.ApplyRouteEvent(route.SameRegion{Domains: nearDomains(cfg, nd.set.GetFailureDomain())})
	nd.gossip.SetRevision(revision)
	nd.log.WithFields(log.Fields{"revision": revision, "version": cfg.GetVersion()}).Info("configuration in force")
	return nil
}

// nearDomains returns the failure domains in the region of the given one.
func nearDomains(cfg *schema.Configuration, own string) []call.FailureDomain {
	var region string
	for _, fd := range cfg.GetFailureDomains() {
		if fd.GetName() == own {
			region = fd.GetRegion()
		}
	}
	var near []call.FailureDomain
	for _, fd := range cfg.GetFailureDomains() {
		if fd.GetRegion() == region && fd.GetName() != own {
			near = append(near, call.FailureDomain(fd.GetName()))
		}
	}
	return near
}

// upstreamsChanged takes what the upstream beside the node announced.
func (nd *Node) upstreamsChanged(ups []membership.Upstream) {
	ctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	var up *membership.Upstream
	if len(ups) > 0 {
		up = &ups[0]
	}
	if err := nd.guard.SetUpstream(ctx, up); err != nil {
		nd.log.WithError(err).Error("announcement not taken")
	}
	nd.gossip.Announce(ups)
}

func controlAddresses(set *schema.Settings) []string {
	var addresses []string
	for _, replica := range set.GetControlReplicas() {
		addresses = append(addresses, replica.GetAddress())
	}
	return addresses
}

// Addresses returns the addresses that the node listens on.
func (nd *Node) Addresses() (callers, peers, local string) {
	return nd.callers.Addr().String(), nd.peers.Addr().String(), nd.local.Addr().String()
}

// Entry returns what takes requests.
func (nd *Node) Entry() *entry.Entry { return nd.entry }

// Announcements returns what takes the announcements of the upstream.
func (nd *Node) Announcements() *announce.Registry { return nd.announce }

// Log returns the log of the node.
func (nd *Node) Log() log.Interface { return nd.log }

// Stopping reports whether the node has begun to stop.
func (nd *Node) Stopping() bool { return nd.stopping.Load() }

// Close closes the addresses of a node that does not run.
func (nd *Node) Close() {
	for _, ln := range append([]net.Listener{nd.callers, nd.peers, nd.local}, nd.doors...) {
		if ln != nil {
			ln.Close()
		}
	}
}

// randomNumber returns a random number other than 0.
func randomNumber() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:]) | 1
}

// Ready reports whether the revision, or a later one, is in force, and the
// node knows at least the given number of upstreams.
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
