package control

import (
	"context"
	"time"

	"github.com/apex/log"

	"camphortrail/internal/state/boottime"
	"camphortrail/membership"
	"camphortrail/quorum"
)

// noLeaderLogInterval is the time without a leader after which a warning is logged, and the
// interval of further warnings.
const noLeaderLogInterval = 10 * time.Second

// membershipCheckTicks is the number of ticks between two reads of the membership. With
// ticks of 20 ms this is 200 ms, well below ReplaceAfter of package quorum.
const membershipCheckTicks = 10

// machineView is the part of the quorum machine's state that other goroutines read.
type machineView struct {
	status quorum.Status
	// leaseEnd is the end of the leader's lease. requiredIndex is the index up to which the
	// state must be applied to be current.
	leaseEnd      time.Time
	requiredIndex quorum.Index
	// behindEntries is the largest number of committed entries that another replica has not
	// stored, and notFollowing the number of replicas that are down or behind. Both are 0 unless
	// the replica leads.
	behindEntries quorum.Index
	notFollowing  int
}

// runLog drives the quorum machine until ctx ends. When stop is closed it transfers the
// leadership, and closes resigned once the replica does not lead.
func (co *Control) runLog(ctx context.Context, stop <-chan struct{}, resigned chan<- struct{}) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	resigning := false
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
			resigning, stop, ev = true, nil, quorum.Transfer{}
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := co.step(ctx, ev); err != nil {
			return err
		}
		if resigning && co.machine.Status().Role != quorum.Leader {
			close(resigned)
			resigning = false
		}
	}
}

// tick returns a Tick event. If the control replicas are elastic, every
// membershipCheckTicks-th call returns the replicas that are alive instead.
func (co *Control) tick() quorum.Event {
	co.ticks++
	if co.ticks%membershipCheckTicks == 1 {
		co.reportFollowers()
	}
	if !co.opt.Elastic || co.ticks%membershipCheckTicks != 0 {
		return quorum.Tick{}
	}
	lr := quorum.LiveReplicas{Domains: make(map[quorum.Replica]quorum.FailureDomain)}
	for _, me := range co.gossip.Members() {
		if me.Role != membership.ControlRole {
			continue
		}
		lr.Domains[quorum.Replica(me.Name)] = quorum.FailureDomain(me.FailureDomain)
		if me.State.Present() {
			lr.Replicas = append(lr.Replicas, quorum.Replica(me.Name))
		}
	}
	return lr
}

// reportFollowers logs which replicas do not follow the log of this one any more, and which do again.
func (co *Control) reportFollowers() {
	for _, tn := range co.followers.update(boottime.Now(), co.machine.Status().Commit, co.machine.Progress()) {
		lg := co.log.WithFields(log.Fields{"replica": string(tn.replica), "state": tn.to.String(), "entries": uint64(tn.entries)})
		if tn.to == following {
			lg.Info("replica follows the log again")
		} else {
			lg.Warn("replica does not follow the log")
		}
	}
}

// step applies an event to the machine, performs the resulting actions and publishes the new
// view.
func (co *Control) step(ctx context.Context, ev quorum.Event) error {
	for _, ac := range co.machine.Step(boottime.Now(), ev) {
		if err := co.perform(ctx, ac); err != nil {
			return err
		}
	}
	mv := &machineView{status: co.machine.Status()}
	mv.leaseEnd, mv.requiredIndex = co.machine.Lease()
	mv.behindEntries, mv.notFollowing = co.followers.worst()
	co.view.Store(mv)
	co.reportLease(mv)
	if co.leaderAbsence.due(time.Now(), mv.status.Leader) {
		co.log.WithField("role", mv.status.Role.String()).
			Warn("no leader; an election needs a majority of the control replicas that hold the log, or all of them at the first start")
	}
	return nil
}

// reportLease calls Options.Lead when the replica first holds the lease of a term. Without it the
// buckets of a leader would begin to fill at the first renewal, which may come long after: the first
// requests of customers would be refused although nothing was issued before.
func (co *Control) reportLease(mv *machineView) {
	now := boottime.Now()
	if co.opt.Lead == nil || mv.status.Term == co.leaseTerm || !now.Before(mv.leaseEnd) {
		return
	}
	co.leaseTerm = mv.status.Term
	co.opt.Lead(now, uint64(mv.status.Term))
}

// leaderAbsence measures how long there has been no leader.
type leaderAbsence struct{ since time.Time }

// due returns true once per noLeaderLogInterval without a leader.
func (la *leaderAbsence) due(now time.Time, leader quorum.Replica) bool {
	if leader != "" || la.since.IsZero() {
		la.since = now
		return false
	}
	if now.Sub(la.since) < noLeaderLogInterval {
		return false
	}
	la.since = now
	return true
}

// perform performs an action of the machine. It returns an error only if ctx ends.
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

// enqueueApply passes an action to the goroutine that applies it to the state. While that is
// busy, for example with a snapshot, actions wait in the backlog, so that the log proceeds
// and a leader does not lose its lease.
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
	co.overloaded.Store(len(co.backlog) >= overloadBacklog)
	return nil
}

// drainBacklog moves waiting actions from the backlog to the queue of the state until the
// queue is full or the backlog is empty.
func (co *Control) drainBacklog() {
	for len(co.backlog) > 0 && co.applies.Offer(co.backlog[0]) {
		co.backlog = co.backlog[1:]
	}
	co.overloaded.Store(len(co.backlog) >= overloadBacklog)
}
