package node

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"camphortrail/internal/fleet/gossip"
	"camphortrail/internal/ops/process"
)

// stop stops the node in the order that lets work in flight finish, while the upstream beside it
// goes on serving the other nodes for as long as it can: the entry finishes the requests of callers,
// then the upstream drains, and the node leaves the membership and shuts the servers down. What has
// not finished by the end of the stop is cut off.
//
// Requests of callers may take until the end of the stop, for example when a failure domain that
// their trees need is cut off. The upstream may be the only one of its service that others can
// reach then.
func (nd *Node) stop(ctx context.Context, servers []namedServer) {
	nd.log.WithField("build", process.Build()).Info("node stopping")
	plan := nd.opt.Stop
	nd.stopping.Store(true)
	now := time.Now()
	times := plan.times(nd.stalls.Earliest(now), now)
	ctx, cancel := context.WithDeadline(ctx, times.end)
	defer cancel()
	// The entry still admits the calls that the upstream itself makes, because its work
	// in flight needs them.
	if plan.AcceptCallers {
		nd.entry.Stop(times.noticeEnd, times.finishBy)
	} else {
		nd.entry.Stop(times.begun, times.finishBy)
	}
	nd.serveDuringNotice(ctx, times.noticeEnd, times.finishBy)
	if plan.DrainPeriod > 0 {
		nd.drainLate(ctx, times.end)
	}
	nd.stopStep("guard", "attempts cut off", func() error { return nd.guard.Wait(ctx) })
	nd.stopStep("entry", "requests cut off", func() error { return nd.entry.Wait(ctx) })
	nd.stopStep("leave", "departure not announced", func() error { return nd.gossip.Leave(ctx) })
	nd.shutDown(ctx, servers)
}

// stopTimes are the times of a stop.
type stopTimes struct {
	// begun is the earliest time at which the signal may have come. What begins from then on must be over
	// by finishBy, and the stop ends at end.
	begun, noticeEnd, finishBy, end time.Time
}

// times returns the times of a stop whose signal came between earliest and now.
func (plan StopPlan) times(earliest, now time.Time) stopTimes {
	whole := plan.NoticePeriod + plan.FinishTimeout
	st := stopTimes{begun: earliest, noticeEnd: earliest.Add(plan.NoticePeriod), finishBy: earliest.Add(whole), end: now.Add(whole)}
	if latest := st.finishBy.Add(plan.LateTime); st.end.After(latest) {
		// After a long stall the process may be killed at any moment, or have all of its time. What runs
		// gets a chance to end.
		st.end = latest
		if least := now.Add(plan.FinishTimeout); latest.Before(least) {
			st.end = least
		}
	}
	return st
}

// shutDown closes the links of other nodes, and shuts all servers down at the same time, so that
// one that has to wait takes no time from the others.
func (nd *Node) shutDown(ctx context.Context, servers []namedServer) {
	for _, server := range servers {
		// A link that is accepted after Disconnect would stay open.
		if is, ok := server.Server.(*internalServer); ok {
			is.StopListening()
		}
	}
	nd.stopStep("links", "links cut off", func() error { nd.guard.Disconnect(ctx); return nil })
	var group sync.WaitGroup
	for _, server := range servers {
		group.Go(func() {
			nd.stopStep(server.name, "connections cut off", func() error { return server.Shutdown(ctx) })
		})
	}
	group.Wait()
}

// serveDuringNotice waits for the notice period. Without a drain period the upstream drains during
// all of it. Otherwise it goes on serving, and what it begins must be over by the end of the stop:
// the entries of other nodes may stop as well, and may not answer for work that is cut off here.
func (nd *Node) serveDuringNotice(ctx context.Context, noticeEnd, end time.Time) {
	if nd.opt.Stop.DrainPeriod == 0 {
		nd.announcements.Drain()
	} else {
		nd.guard.FinishBy(end)
	}
	pause(ctx, time.Until(noticeEnd))
}

// drainLate waits for the requests of callers, but not beyond the time that the rest of the stop
// takes, and then announces the upstream as draining for the drain period.
func (nd *Node) drainLate(ctx context.Context, end time.Time) {
	plan := nd.opt.Stop
	callersCtx, cancel := context.WithDeadline(ctx, end.Add(-max(plan.DrainPeriod, gossip.LeaveDuration)))
	defer cancel()
	// The requests that are left are waited for once more after the drain.
	nd.stopStep("callers", "requests of callers are not finished yet", func() error { return nd.entry.WaitCallers(callersCtx) })
	nd.announcements.Drain()
	// The announcement of the departure, which follows, is the last part of the drain period.
	pause(ctx, plan.DrainPeriod-gossip.LeaveDuration)
}

// stopStep runs one step of the stop. It logs how long the step took and what was left to be
// done, or that the step failed.
func (nd *Node) stopStep(name, failure string, step func() error) {
	begun := time.Now()
	err := step()
	ld := nd.guard.Load()
	lg := nd.log.WithFields(log.Fields{
		"step": name, "took-ms": time.Since(begun).Milliseconds(), "running": ld.Running, "waiting": ld.Waiting,
		"requests": nd.entry.InFlight(),
	})
	if err != nil {
		lg.WithError(err).Warn(failure)
		return
	}
	lg.Info("step of the stop ended")
}

// pause waits for the given time or until ctx ends.
func pause(ctx context.Context, length time.Duration) {
	select {
	case <-time.After(length):
	case <-ctx.Done():
	}
}

// closeAll closes the servers and their connections at once.
func closeAll(servers []namedServer) {
	for _, server := range servers {
		_ = server.Close()
	}
}
