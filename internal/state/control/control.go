// Package control implements the daemon of a control replica. It replicates the log of
// configurations and claims, and serves them to operators and nodes.
//
// There is one goroutine each for the log, its disk, snapshots, the applied state, and the
// messages to each other replica. They communicate over bounded queues.
package control

import (
	"cmp"
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
	"camphortrail/internal/ops/process"
	"camphortrail/internal/traffic/peer"
	"camphortrail/queue"
	"camphortrail/quorum"
	"camphortrail/schema"
	"camphortrail/store"
)

const (
	// These are the capacities of the queues: messages received, proposals, actions for
	// the applied state, and messages to one other replica.
	messageQueueSize  = 4096
	proposalQueueSize = 4096
	applyQueueSize    = 4096
	sendQueueSize     = 1024
	// maxBacklog bounds the entries that wait for the applied state in addition to those in
	// its queue. From overloadBacklog on, new requests are refused.
	maxBacklog      = 1 << 17
	overloadBacklog = 1 << 14
	// tickInterval is the interval of the ticks of the quorum machine.
	tickInterval = 20 * time.Millisecond
	// defaultVoters is the default of Options.Voters. Three tolerate the loss of one.
	defaultVoters = 3
	// shutdownTimeout bounds the time in which requests in flight are answered at a stop.
	shutdownTimeout = 3 * time.Second
)

// ErrNotListed is returned by New if the settings list control replicas but not this one.
var ErrNotListed = errors.New("control: the replica is not listed in control-replicas")

// ErrReplicaMismatch is returned by New if the voters in the log of the data folder are not
// the control replicas that the settings list.
var ErrReplicaMismatch = errors.New("control: the data folder belongs to other control-replicas")

// Options configure a control replica in addition to its settings. All are optional.
type Options struct {
	// Log receives the log of the replica. The default discards it.
	Log log.Interface
	// Validate checks a configuration before it is proposed. An error refuses it.
	Validate func(*schema.Configuration) error
	// Claims bounds the claim table. All replicas must use the same limits. The default is
	// claim.DefaultLimits.
	Claims claim.Limits
	// Timing modifies the timeouts of the replicated log.
	Timing func(*quorum.Settings)
	// Elastic means that control replicas join and leave at any time. The settings then list
	// only those that create the log, if any. The others are discovered through the
	// membership, and their names are their addresses.
	Elastic bool
	// Voters is the number of voters that elastic control replicas maintain, as far as there are
	// replicas (default 3). What was acknowledged outlasts the loss of fewer than half of them.
	Voters int
	// Endpoints are additional addresses that the replica serves.
	Endpoints []Endpoint
	// Lead, if set, is called with the term in which the replica leads: when it first holds the lease
	// of the term, and before each Grant. now is of the boot clock.
	Lead func(now time.Time, term uint64)
	// Grant, if set, answers the demands of customers that a renewal of the node child carries.
	// cfg is the configuration in force, and now is of the boot clock. Only a replica that leads
	// calls it.
	Grant func(now time.Time, child string, cfg *schema.Configuration, list []*schema.CustomerDemand) []*schema.CustomerAllowance
	// BindIP is the IP of the traffic with other processes, if that is not the announced one.
	BindIP peer.BindIP
	// WrapFolder, if set, wraps the data folder, so that a test of processes can inject faults of
	// the disk.
	WrapFolder store.WrapFolder

	// wrapTransport wraps the transport to another replica, dial makes its connections, and
	// wrapDisk wraps the disk. Tests set them.
	wrapDisk      func(disk) disk
	wrapTransport func(quorum.Replica, http.RoundTripper) http.RoundTripper
	dial          func(ctx context.Context, network, address string) (net.Conn, error)
}

// Endpoint is an additional address with its own HTTP handler.
type Endpoint struct {
	// Address is IP:port, TCP.
	Address string
	Handler func(*Control) http.Handler
}

// Control is one control replica.
type Control struct {
	set *schema.Settings
	opt Options
	log log.Interface
	id  quorum.Replica
	// addresses holds the peer addresses of the listed replicas.
	addresses map[quorum.Replica]string

	disk disk
	// writeFailure is the reason why the data folder could not be written when it was opened,
	// or nil.
	writeFailure error
	machine      *quorum.Machine
	state        *state
	senders      map[quorum.Replica]*sender
	// startTask starts a goroutine that Run waits for.
	startTask func(func(context.Context) error)
	waiters   *waiters
	metrics   *replicaMetrics
	view      atomic.Pointer[machineView]

	gossip        *gossip.Gossip
	peerListener  net.Listener
	localListener net.Listener
	endpoints     []net.Listener

	// messages, proposals, compactions and written are the inputs of the log, writes is that
	// of the disk, snapshots that of the snapshot writer, and applies that of the state.
	messages    *queue.Queue[quorum.Event]
	proposals   *queue.Queue[quorum.Event]
	snapshots   *queue.Queue[quorum.Compact]
	compactions *queue.Queue[quorum.Event]
	writes      *queue.Queue[quorum.Persist]
	written     *queue.Queue[quorum.Event]
	applies     *queue.Queue[quorum.Action]
	// ticks, leaderAbsence, followers, leaseTerm and backlog are used by the goroutine of the log
	// only.
	// leaseTerm is the latest term whose lease was reported to Options.Lead. overloaded is set
	// while the backlog has reached overloadBacklog.
	ticks         uint
	leaderAbsence leaderAbsence
	followers     followers
	leaseTerm     quorum.Term
	backlog       []quorum.Action
	overloaded    atomic.Bool
	// snapshotPending is set from the taking of a snapshot until it is written and passed
	// to the log.
	snapshotPending atomic.Bool
}

// New opens the data folder and listens on the addresses. The returned replica is ready for
// Run.
func New(set *schema.Settings, opt Options) (*Control, error) {
	if opt.Log == nil {
		opt.Log = discardLog()
	}
	if opt.Claims == (claim.Limits{}) {
		opt.Claims = claim.DefaultLimits()
	}
	if opt.dial == nil {
		opt.dial = opt.BindIP.Dialer(exchangeTimeout).DialContext
	}
	co := &Control{
		set: set, opt: opt, id: quorum.Replica(set.GetName()),
		log:         opt.Log.WithFields(log.Fields{"vm": set.GetName(), "duty": "control"}),
		waiters:     newWaiters(),
		messages:    queue.New[quorum.Event](messageQueueSize),
		proposals:   queue.New[quorum.Event](proposalQueueSize),
		snapshots:   queue.New[quorum.Compact](1),
		compactions: queue.New[quorum.Event](1),
		writes:      queue.New[quorum.Persist](1),
		written:     queue.New[quorum.Event](1),
		applies:     queue.New[quorum.Action](applyQueueSize),
	}
	co.metrics = newReplicaMetrics(co)
	co.state = newState(co)
	co.view.Store(&machineView{})
	if err := co.readReplicas(); err != nil {
		return nil, err
	}
	if err := co.open(); err != nil {
		co.close()
		return nil, err
	}
	return co, nil
}

func discardLog() log.Interface { return &log.Logger{Handler: discard.New()} }

// readReplicas reads the list of replicas from the settings. Without a list, this replica is
// the only one.
func (co *Control) readReplicas() error {
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

// peerAddress returns the peer address of a replica. An unlisted elastic replica is named by
// its address.
func (co *Control) peerAddress(id quorum.Replica) string {
	if address, ok := co.addresses[id]; ok || !co.opt.Elastic {
		return address
	}
	return string(id)
}

// sender returns the sender to a replica. The first call starts it. Only the goroutine of the
// log may call it.
func (co *Control) sender(id quorum.Replica) *sender {
	se := co.senders[id]
	if se == nil {
		se = newSender(co, id, co.peerAddress(id))
		co.senders[id] = se
		co.startTask(se.run)
	}
	return se
}

// open opens the data folder and the addresses, and joins the membership.
func (co *Control) open() error {
	begin := time.Now()
	incarnation := quorum.Incarnation(begin.UnixMilli())
	st, recovered, re, err := store.OpenWrapped(co.set.GetDataFolder(), incarnation, co.opt.WrapFolder)
	if err != nil {
		return err
	}
	co.disk, co.writeFailure = st, re.WriteFailure
	if co.opt.wrapDisk != nil {
		co.disk = co.opt.wrapDisk(st)
	}
	co.logRecovery(re, recovered, time.Since(begin))
	if !co.opt.Elastic {
		if err := co.checkVoters(recovered.Voters()); err != nil {
			return err
		}
	}
	set := quorum.DefaultSettings(co.id, nil)
	for id := range co.addresses {
		set.Replicas = append(set.Replicas, id)
	}
	if co.opt.Elastic {
		set.VoterCount = cmp.Or(co.opt.Voters, defaultVoters)
	}
	set.Seed = electionSeed(begin, co.id)
	if co.opt.Timing != nil {
		co.opt.Timing(&set)
	}
	co.machine = quorum.New(set, recovered)
	if co.peerListener, err = net.Listen("tcp", co.opt.BindIP.Address(co.set.GetPeerAddress())); err != nil {
		return errors.Wrap(err, "control: peer address")
	}
	if address := co.set.GetLocalAddress(); address != "" {
		if co.localListener, err = net.Listen("tcp", address); err != nil {
			return errors.Wrap(err, "control: local address")
		}
	}
	for _, ep := range co.opt.Endpoints {
		ln, err := net.Listen("tcp", ep.Address)
		if err != nil {
			return errors.Wrap(err, "control: endpoint address")
		}
		co.endpoints = append(co.endpoints, ln)
	}
	return co.joinMembership()
}

// electionSeed returns the seed of the election timeouts of a replica. It depends on the
// name, so that replicas that start at the same time do not call elections at the same times
// and split the vote repeatedly.
func electionSeed(begin time.Time, id quorum.Replica) uint64 {
	return uint64(begin.UnixNano()) ^ xxhash.Sum64String(string(id))
}

// checkVoters returns an error if the voters found in the log are not the listed replicas.
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
func (co *Control) logRecovery(re store.OpenReport, recovered quorum.State, took time.Duration) {
	lg := co.log.WithFields(log.Fields{
		"records": re.Records, "entries": len(recovered.Entries), "snapshot": uint64(recovered.Snapshot.Index),
		"incarnation": uint64(recovered.Incarnation), "build": process.Build(), "took-ms": took.Milliseconds(),
	})
	switch {
	case re.Damage != "":
		lg.WithField("damage", re.Damage).Error("data folder damaged; its files were renamed, and the replica gets its state from the other replicas")
	case re.Empty:
		lg.Info("data folder is empty")
	case re.TruncatedBytes > 0:
		lg.WithField("cut-bytes", re.TruncatedBytes).Warn("incomplete record removed from the end of the log")
	default:
		lg.Info("data folder read")
	}
}

// Run serves until ctx ends. A leader then transfers its leadership, and requests in flight
// are answered before Run returns. It returns an error if a task fails. A disk that cannot be
// written is no such failure: the replica then neither leads nor votes until it can.
func (co *Control) Run(ctx context.Context) error {
	defer co.close()
	inner, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	defer cancel(nil)
	var tasks sync.WaitGroup
	start := func(run func(context.Context) error) {
		tasks.Go(func() {
			if err := run(inner); err != nil && inner.Err() == nil {
				cancel(err)
			}
		})
	}
	co.startTask = start
	resigned := make(chan struct{})
	start(func(inner context.Context) error { return co.runLog(inner, ctx.Done(), resigned) })
	start(co.runDisk)
	start(co.runSnapshots)
	start(co.state.run)
	start(co.gossip.Run)
	start(co.announceRevisions)
	servers := co.serve(start)
	select {
	case <-resigned:
		co.leaveMembership()
	case <-inner.Done():
		co.waiters.close()
	}
	co.shutdown(servers)
	cancel(nil)
	tasks.Wait()
	co.waiters.close()
	if err := context.Cause(inner); !errors.Is(err, context.Canceled) {
		co.log.WithError(err).Error("control replica failed")
		return err
	}
	return nil
}

// shutdown stops the servers. It waits for the requests in flight for up to
// shutdownTimeout.
func (co *Control) shutdown(servers []*http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for _, sv := range servers {
		if sv.Shutdown(ctx) != nil {
			_ = sv.Close()
		}
	}
}

// close closes the listeners and the data folder.
func (co *Control) close() {
	if co.peerListener != nil {
		_ = co.peerListener.Close()
	}
	if co.localListener != nil {
		_ = co.localListener.Close()
	}
	for _, ln := range co.endpoints {
		_ = ln.Close()
	}
	if co.disk != nil {
		_ = co.disk.Close()
	}
}
