package control

import (
	"context"
	"time"

	"github.com/apex/log"

	"camphortrail/internal/state/boottime"
	"camphortrail/membership"
	"camphortrail/quorum"
)

// noLeaderLogInterval is the time without a leader after which that is logged.
const noLeaderLogInterval = 10 * time.Second

// membershipCheckTicks is the number of ticks between two looks at the membership; with
// ticks of 20 ms a fifth of a second, well under quorum's ReplaceAfter.
const membershipCheckTicks = 10

// machineView is what other goroutines see of the machine.
type machineView struct {
	status quorum.Status
	// leaseEnd is the end of the lease, and applied the index that the state
	// must have reached to be current.
	leaseEnd      time.Time
	requiredIndex quorum.Index
}

// runLog drives the machine. Once stop ends it gives up the leadership, and
// closes left when it has.
func (co *Control) runLog(ctx context.Context, stop <-chan struct{}, left chan<- struct{}) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	leaving := false
	for {
		co.drainBacklog()
		var ev quorum.Event
		select {
		case ev = <-co.written.Out():
		case ev = <-co.messages.Out():
		case ev = <-co.proposals.Out():
		case ev = <-co.compactions.Out():
		case <-ticker.C:
			ev = co.tick()
		case <-stop:
			leaving, stop, ev = true, nil, quorum.Transfer{}
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := co.step(ctx, ev); err != nil {
			return err
		}
		if leaving && co.machine.Status().Role != quorum.Leader {
			close(left)
			leaving = false
		}
	}
}

// tick returns the event of a tick. Once in knownTicks it names the replicas
// that are alive, where they come and go.
func (co *Control) tick() quorum.Event {
	co.ticks++
	if !co.opt.Elastic || co.ticks%membershipCheckTicks != 0 {
		return quorum.Tick{}
	}
	var kn quorum.LiveReplicas
	for _, me := range co.gossip.Members() {
		if me.Role == membership.ControlRole && me.State.Present() {
			kn.Replicas = append(kn.Replicas, quorum.Replica(me.Name))
		}
	}
	return kn
}

func (co *Control) step(ctx context.Context, ev quorum.Event) error {
	for _, ac := range co.machine.Step(boottime.Now(), ev) {
		if err := co.perform(ctx, ac); err != nil {
			return err
		}
	}
	vi := &machineView{status: co.machine.Status()}
	vi.leaseEnd, vi.requiredIndex = co.machine.Lease()
	co.view.Store(vi)
	if co.leaderAbsence.due(time.Now(), vi.status.Leader) {
		co.log.WithField("role", vi.status.Role.String()).
			Warn("no leader; it takes most of the control replicas that hold the log, or all of them at the first start")
	}
	return nil
}

// leaderAbsence notices that there is no leader for long.
type leaderAbsence struct{ since time.Time }

// due returns true once in each absenceInterval without a leader.
func (ab *leaderAbsence) due(now time.Time, leader quorum.Replica) bool {
	if leader != "" || ab.since.IsZero() {
		ab.since = now
		return false
	}
	if now.Sub(ab.since) < noLeaderLogInterval {
		return false
	}
	ab.since = now
	return true
}

func (co *Control) perform(ctx context.Context, ac quorum.Action) error {
	switch ac := ac.(type) {
	case quorum.Send:
		if !co.sender(quorum.Destination(ac.Message)).messages.Offer(ac.Message) {
			co.metrics.dropped.Inc()
		}
	case quorum.Persist:
		return co.writes.Put(ctx, ac)
	case quorum.Apply, quorum.Restore:
		return co.enqueueApply(ctx, ac)
	case quorum.Rejected:
		co.waiters.resolve(ac.Proposal, rejection{err: ac.Err, leader: ac.Leader})
	case quorum.RoleChanged:
		co.log.WithFields(log.Fields{
			"role": ac.Role.String(), "term": uint64(ac.Term), "leader": string(ac.Leader),
		}).Info("role")
	}
	return nil
}

// enqueueApply passes an action to the applied state. While that is busy, as it is
// when it takes a snapshot, actions wait here, so that the log goes on and a
// leader is not lost.
func (co *Control) enqueueApply(ctx context.Context, ac quorum.Action) error {
	if len(co.backlog) == 0 && co.applies.Offer(ac) {
		return nil
	}
	if len(co.backlog) >= maxBacklog {
		if err := co.applies.Put(ctx, co.backlog[0]); err != nil {
			return err
		}
		co.backlog = co.backlog[1:]
	}
	co.backlog = append(co.backlog, ac)
	co.backlogFull.Store(len(co.backlog) >= backlogRefusalThreshold)
	return nil
}

func (co *Control) drainBacklog() {
	for len(co.backlog) > 0 && co.applies.Offer(co.backlog[0]) {
		co.backlog = co.backlog[1:]
	}
	co.backlogFull.Store(len(co.backlog) >= backlogRefusalThreshold)
}
