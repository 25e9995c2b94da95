// Package control is the daemon of a control replica: it keeps the replicated
// log of configurations and claims, and serves them to operators and nodes.
//
// There is one goroutine for each duty: the log, its disk, snapshots, the
// applied state, and the messages to each other replica. Bounded rings join
// them.
package control

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"camphortrail/claim"
	"camphortrail/internal/fleet/gossip"
	"camphortrail/queue"
	"camphortrail/quorum"
	"camphortrail/schema"
	"camphortrail/store"
)

const (
	messageRingSize  = 4096
	proposalRingSize = 4096
	applyRingSize    = 4096
	sendRingSize     = 1024
	// maxBacklog bounds the entries that wait for the applied state besides
	// its ring; from refuseBacklog on new requests are refused.
	maxBacklog              = 1 << 17
	backlogRefusalThreshold = 1 << 14
	tickInterval            = 20 * time.Millisecond
	// elasticVoters is the number of voters where replicas come and go. It
	// bears the loss of one.
	elasticVoters = 3
	// shutdownTimeout bounds the time for requests in flight at a stop.
	shutdownTimeout = 3 * time.Second
)

// ErrNotListed is returned when the settings list control replicas without
// this one.
var ErrNotListed = errors.New("control: the replica is not listed in control-replicas")

// ErrReplicaMismatch is returned when the log in the data folder belongs to
// other control replicas than the settings list.
var ErrReplicaMismatch = errors.New("control: the data folder belongs to other control-replicas")

// Options are what a control replica needs besides its settings. All may be
// left out.
type Options struct {
	// Log is where the replica logs. The default discards everything.
	Log log.Interface
	// Validate refuses a configuration before it is proposed.
	Validate func(*schema.Configuration) error
	// Claims bounds the claim table, equally on all replicas. The default is
	// claim.DefaultLimits.
	Claims claim.Limits
	// Timing overrides the timeouts of the replicated log.
	Timing func(*quorum.Settings)
	// Elastic says that replicas come and go. The settings list those that
	// found the log, if any; the membership tells of others, which are named
	// by their addresses.
	Elastic bool
	// Endpoints are further addresses that the replica serves.
	Endpoints []Endpoint

	// wrapTransport replaces the transport to another replica, and dial what makes
	// its connections.
	wrapTransport func(quorum.Replica, http.RoundTripper) http.RoundTripper
	dial          func(ctx context.Context, network, address string) (net.Conn, error)
}

// Endpoint is an address with an interface of its own.
type Endpoint struct {
	// Address is IP:port, TCP.
	Address string
	Handler func(*Control) http.Handler
}

// Control is one control replica.
type Control struct {
	set       *schema.Settings
	opt       Options
	log       log.Interface
	id        quorum.Replica
	addresses map[quorum.Replica]string

	store   *store.Store
	machine *quorum.Machine
	state   *state
	senders map[quorum.Replica]*sender
	// startTask starts a goroutine that Run waits for.
	startTask func(func(context.Context) error)
	waiters   *waiters
	metrics   *replicaMetrics
	view      atomic.Pointer[machineView]

	gossip    *gossip.Gossip
	listener  net.Listener
	local     net.Listener
	endpoints []net.Listener

	messages    *queue.Queue[quorum.Event]
	proposals   *queue.Queue[quorum.Event]
	snapshots   *queue.Queue[quorum.Compact]
	compactions *queue.Queue[quorum.Event]
	writes      *queue.Queue[quorum.Persist]
	written     *queue.Queue[quorum.Event]
	applies     *queue.Queue[quorum.Action]
	// ticks, absence and backlog belong to the log's goroutine; behind tells the
	// others.
	ticks         uint
	leaderAbsence leaderAbsence
	backlog       []quorum.Action
	backlogFull   atomic.Bool
	// snapshotPending is set while a snapshot is written.
	snapshotPending atomic.Bool
}

// New opens the data folder and the addresses, and returns a replica that is
// ready to run.
func New(set *schema.Settings, opt Options) (*Control, error) {
	if opt.Log == nil {
		opt.Log = discardLog()
	}
	if opt.Claims == (claim.Limits{}) {
		opt.Claims = claim.DefaultLimits()
	}
	if opt.dial == nil {
		opt.dial = (&net.Dialer{Timeout: exchangeTimeout}).DialContext
	}
	co := &Control{
		set: set, opt: opt, id: quorum.Replica(set.GetName()),
		log:         opt.Log.WithFields(log.Fields{"vm": set.GetName(), "duty": "control"}),
		waiters:     newWaiters(),
		messages:    queue.New[quorum.Event](messageRingSize),
		proposals:   queue.New[quorum.Event](proposalRingSize),
		snapshots:   queue.New[quorum.Compact](1),
		compactions: queue.New[quorum.Event](1),
		writes:      queue.New[quorum.Persist](1),
		written:     queue.New[quorum.Event](1),
		applies:     queue.New[quorum.Action](applyRingSize),
	}
	co.metrics = newReplicaMetrics(co)
	co.state = newState(co)
	co.view.Store(&machineView{})
	if err := co.findReplicas(); err != nil {
		return nil, err
	}
	if err := co.open(); err != nil {
		co.close()
		return nil, err
	}
	return co, nil
}

func discardLog() log.Interface { return &log.Logger{Handler: discard.New()} }

// findReplicas reads the list of replicas; without one this is the only one.
func (co *Control) findReplicas() error {
	co.addresses = make(map[quorum.Replica]string)
	for _, cr := range co.set.GetControlReplicas() {
		co.addresses[quorum.Replica(cr.GetName())] = cr.GetAddress()
	}
	co.senders = make(map[quorum.Replica]*sender)
	if co.opt.Elastic {
		return nil
	}
	if len(co.addresses) == 0 {
		co.addresses[co.id] = co.set.GetPeerAddress()
	}
	if _, ok := co.addresses[co.id]; !ok {
		return errors.Wrap(ErrNotListed, string(co.id))
	}
	return nil
}

// address returns the peer address of a replica.
func (co *Control) address(id quorum.Replica) string {
	if address, ok := co.addresses[id]; ok || !co.opt.Elastic {
		return address
	}
	return string(id)
}

// sender returns the sender to a replica, and starts it at the first message.
// Only the log's goroutine calls it.
func (co *Control) sender(id quorum.Replica) *sender {
	se := co.senders[id]
	if se == nil {
		se = newSender(co, id, co.address(id))
		co.senders[id] = se
		co.startTask(se.run)
	}
	return se
}

func (co *Control) open() error {
	begin := time.Now()
	incarnation := quorum.Incarnation(begin.UnixMilli())
	st, found, re, err := store.Open(co.set.GetDataFolder(), incarnation)
	if err != nil {
		return err
	}
	co.store = st
	co.logRecovery(re, found, time.Since(begin))
	if !co.opt.Elastic {
		if err := co.checkVoters(found.Voters()); err != nil {
			return err
		}
	}
	set := quorum.DefaultSettings(co.id, nil)
	for id := range co.addresses {
		set.Replicas = append(set.Replicas, id)
	}
	if co.opt.Elastic {
		set.VoterCount = elasticVoters
	}
	set.Seed = electionSeed(begin, co.id)
	if co.opt.Timing != nil {
		co.opt.Timing(&set)
	}
	co.machine = quorum.New(set, found)
	if co.listener, err = net.Listen("tcp", co.set.GetPeerAddress()); err != nil {
		return errors.Wrap(err, "control: peer address")
	}
	if address := co.set.GetLocalAddress(); address != "" {
		if co.local, err = net.Listen("tcp", address); err != nil {
			return errors.Wrap(err, "control: local address")
		}
	}
	for _, dr := range co.opt.Endpoints {
		ln, err := net.Listen("tcp", dr.Address)
		if err != nil {
			return errors.Wrap(err, "control: door")
		}
		co.endpoints = append(co.endpoints, ln)
	}
	return co.joinMembership()
}

// electionSeed returns the seed of the election timeouts of a replica. Replicas that
// start at the same moment must not stand for election at the same moments, or they
// split the vote again and again.
func electionSeed(begin time.Time, id quorum.Replica) uint64 {
	return uint64(begin.UnixNano()) ^ xxhash.Sum64String(string(id))
}

func (co *Control) checkVoters(voters quorum.Voters) error {
	if voters == nil {
		return nil
	}
	for id := range voters {
		if _, ok := co.addresses[id]; !ok {
			return errors.Wrapf(ErrReplicaMismatch, "%s is not listed", id)
		}
	}
	if len(voters) != len(co.addresses) {
		return errors.Wrapf(ErrReplicaMismatch, "%d replicas listed, %d in the log", len(co.addresses), len(voters))
	}
	return nil
}

// logRecovery logs what was found in the data folder.
func (co *Control) logRecovery(re store.OpenReport, found quorum.State, took time.Duration) {
	lg := co.log.WithFields(log.Fields{
		"records": re.Records, "entries": len(found.Entries), "snapshot": uint64(found.Snapshot.Index),
		"incarnation": uint64(found.Incarnation), "took-ms": took.Milliseconds(),
	})
	switch {
	case re.Damage != "":
		lg.WithField("damage", re.Damage).Error("data folder damaged; its files are set aside and the replica learns from the others")
	case re.Empty:
		lg.Info("data folder is empty")
	case re.TruncatedBytes > 0:
		lg.WithField("cut-bytes", re.TruncatedBytes).Warn("unfinished record cut off the log")
	default:
		lg.Info("data folder read")
	}
}

// Run serves until ctx ends. A leader then hands over its leadership, and
// requests in flight are answered before Run returns. It returns an error if
// the disk fails.
func (co *Control) Run(ctx context.Context) error {
	defer co.close()
	inner, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	defer cancel(nil)
	var duties sync.WaitGroup
	duty := func(run func(context.Context) error) {
		duties.Go(func() {
			if err := run(inner); err != nil && inner.Err() == nil {
				cancel(err)
			}
		})
	}
	co.startTask = duty
	left := make(chan struct{})
	duty(func(inner context.Context) error { return co.runLog(inner, ctx.Done(), left) })
	duty(co.runDisk)
	duty(co.runSnapshots)
	duty(co.state.run)
	duty(co.gossip.Run)
	duty(co.announceRevisions)
	servers := co.serve(duty)
	select {
	case <-left:
		co.leaveMembership()
	case <-inner.Done():
		co.waiters.close()
	}
	co.shutdown(servers)
	cancel(nil)
	duties.Wait()
	co.waiters.close()
	if err := context.Cause(inner); !errors.Is(err, context.Canceled) {
		co.log.WithError(err).Error("control replica failed")
		return err
	}
	return nil
}

// shutdown ends the servers once the requests in flight are answered.
func (co *Control) shutdown(servers []*http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for _, sv := range servers {
		if sv.Shutdown(ctx) != nil {
			_ = sv.Close()
		}
	}
}

func (co *Control) close() {
	if co.listener != nil {
		_ = co.listener.Close()
	}
	if co.local != nil {
		_ = co.local.Close()
	}
	for _, ln := range co.endpoints {
		_ = ln.Close()
	}
	if co.store != nil {
		_ = co.store.Close()
	}
}
