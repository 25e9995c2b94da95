package control

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/pkg/errors"

	"camphortrail/call"
	"camphortrail/internal/fleet/gossip"
	"camphortrail/membership"
)

const (
	// announceInterval is the interval at which the replica checks for a new revision to
	// announce.
	announceInterval = 50 * time.Millisecond
	// leaveTimeout bounds the announcement that the replica stops.
	leaveTimeout = time.Second
)

// joinMembership starts gossip on the UDP port of the peer address. Nodes learn about new
// revisions through it.
func (co *Control) joinMembership() error {
	conn, err := net.ListenPacket("udp", co.peerListener.Addr().String())
	if err != nil {
		return errors.Wrap(err, "control: peer address")
	}
	co.gossip, err = gossip.New(gossip.Settings{
		Deployment: call.Deployment(co.set.GetDeployment()), Name: call.VM(co.set.GetName()),
		FailureDomain: call.FailureDomain(co.set.GetFailureDomain()), Role: membership.ControlRole,
		Address: co.opt.BindIP.Announced(co.set.GetPeerAddress(), co.peerListener), Contacts: co.contacts(),
		// The replicas of an elastic deployment are listed only at its first start.
		FirstStart: co.opt.Elastic && len(co.set.GetControlReplicas()) > 0,
		Metrics:    co.metrics.set, Log: co.log,
	}, conn)
	if err != nil {
		conn.Close()
	}
	return err
}

// contacts returns the addresses of the first contacts: those in the settings and the other
// replicas.
func (co *Control) contacts() []string {
	contacts := slices.Clone(co.set.GetFirstContacts())
	for id, address := range co.addresses {
		if id != co.id {
			contacts = append(contacts, address)
		}
	}
	return contacts
}

// announceRevisions announces each new revision to the other processes until ctx ends.
func (co *Control) announceRevisions(ctx context.Context) error {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	var announced uint64
	for {
		if revision := uint64(co.state.current.Load().revision); revision > announced {
			co.gossip.SetRevision(revision)
			announced = revision
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// leaveMembership announces to the other processes that the replica stops.
func (co *Control) leaveMembership() {
	ctx, stop := context.WithTimeout(context.Background(), leaveTimeout)
	defer stop()
	if err := co.gossip.Leave(ctx); err != nil {
		co.log.WithError(err).Warn("departure not announced")
	}
}
