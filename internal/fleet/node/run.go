package node

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"camphortrail/internal/ops/process"
)

// Run runs the node until ctx ends, and then stops it: new work is refused,
// work in flight is finished, and the other processes are told.
func (nd *Node) Run(ctx context.Context) error {
	duties, endDuties := context.WithCancel(context.WithoutCancel(ctx))
	defer endDuties()
	group, duties := errgroup.WithContext(duties)
	for _, duty := range []func(context.Context) error{
		nd.guard.Run, nd.pool.Run, nd.gossip.Run, nd.rollout.Run, nd.announce.Run, nd.routing, nd.claimDuty, nd.eventDuty,
		nd.summaryDuty, nd.entry.RunDemandReports,
	} {
		group.Go(func() error { return ended(duties, duty(duties)) })
	}
	servers := nd.servers()
	for server, ln := range servers {
		group.Go(func() error { return served(server.Serve(ln)) })
	}
	nd.log.Info("node started")
	select {
	case <-ctx.Done():
		nd.stop(duties, servers)
	case <-duties.Done():
		closeAll(servers)
	}
	nd.guard.Disconnect(duties)
	endDuties()
	err := group.Wait()
	nd.log.Info("node stopped")
	return err
}

// ended turns the end of a duty's context into no error.
func ended(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func served(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// eventDuty writes the decisions on requests, if they are wanted.
func (nd *Node) eventDuty(ctx context.Context) error {
	if nd.events == nil {
		return nil
	}
	return nd.events.Run(ctx, nd.opt.Events)
}

// summaryInterval is the time between two summaries of the traffic.
const summaryInterval = time.Second

// summaryDuty sums up what became of requests and how the upstream was used.
func (nd *Node) summaryDuty(ctx context.Context) error {
	timer := time.NewTimer(summaryInterval)
	defer timer.Stop()
	me, gr := process.New(), process.NewGrowth(nd.opt.MaxHeapGrowthPercent)
	for due := time.Now().Add(summaryInterval); ; due = due.Add(summaryInterval) {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		now := time.Now()
		nd.entry.Summarize(now)
		nd.guard.Summarize(now, now.Sub(due))
		nd.summarizeProcess(now, me, gr)
		if due.Before(now.Add(-summaryInterval)) {
			due = now
		}
		timer.Reset(due.Add(summaryInterval).Sub(now))
	}
}

// summarizeProcess writes what the process took of its machine, counts it in the
// metrics, and lets the heap grow with the work of the collector.
func (nd *Node) summarizeProcess(now time.Time, me *process.Meter, gr *process.Growth) {
	ps := me.Take()
	if growth := gr.Step(ps); nd.opt.MaxHeapGrowthPercent > 0 && growth != nd.heapGrowth {
		nd.heapGrowth = growth
		debug.SetGCPercent(growth)
	}
	mean, slowest, longest := nd.pool.TakeTransitTimes()
	ps.TransitMeanUS = mean.Microseconds()
	ps.Slowest, ps.SlowestUS = string(slowest), longest.Microseconds()
	nd.events.Summarize(now, ps)
	const micro, milli = 1e-6, 1e-3
	nd.metrics.GetOrCreateFloatCounter("camphortrail_process_processor_seconds_total").Add(float64(ps.ProcessorMS) * milli)
	nd.metrics.GetOrCreateFloatCounter("camphortrail_process_collector_seconds_total").Add(float64(ps.CollectorMS) * milli)
	nd.metrics.GetOrCreateHistogram("camphortrail_process_run_wait_seconds").Update(float64(ps.RunWaitMeanUS) * micro)
	nd.metrics.GetOrCreateHistogram("camphortrail_peer_transit_seconds").Update(mean.Seconds())
}

// claimDuty runs the client of the claims, if there are control replicas.
func (nd *Node) claimDuty(ctx context.Context) error {
	if nd.claims == nil {
		return nil
	}
	return nd.claims.Run(ctx)
}

func (nd *Node) servers() map[Server]net.Listener {
	var h2c http.Protocols
	h2c.SetHTTP1(true)
	h2c.SetUnencryptedHTTP2(true)
	var front Server = &http.Server{Handler: nd.entry}
	if nd.opt.NewCallerServer != nil {
		front = nd.opt.NewCallerServer(nd)
	}
	peers := &http.Server{Handler: nd.peerHandler(), Protocols: &h2c}
	servers := map[Server]net.Listener{
		front: nd.callers, peers: nd.peers, &http.Server{Handler: nd.localHandler()}: nd.local,
	}
	for i, ln := range nd.doors {
		servers[&http.Server{Handler: nd.opt.Endpoints[i].Handler(nd)}] = ln
	}
	return servers
}

// stop ends the node without cutting work in flight off.
func (nd *Node) stop(ctx context.Context, servers map[Server]net.Listener) {
	nd.log.Info("node stopping")
	plan := nd.opt.Stop
	nd.stopping.Store(true)
	if !plan.AcceptCallers {
		nd.entry.Stop()
	}
	ctx, cancel := context.WithTimeout(ctx, plan.NoticePeriod+plan.FinishTimeout)
	defer cancel()
	drain := plan.NoticePeriod
	if plan.DrainPeriod > 0 {
		drain = min(plan.DrainPeriod, plan.NoticePeriod)
	}
	pause(ctx, plan.NoticePeriod-drain)
	nd.announce.Drain()
	pause(ctx, drain)
	// The upstream's own calls are still taken: its work in flight needs them.
	nd.entry.Stop()
	if err := nd.guard.Wait(ctx); err != nil {
		nd.log.WithError(err).Warn("attempts cut off")
	}
	if err := nd.entry.Wait(ctx); err != nil {
		nd.log.WithError(err).Warn("requests cut off")
	}
	if err := nd.gossip.Leave(ctx); err != nil {
		nd.log.WithError(err).Warn("departure not told")
	}
	nd.guard.Disconnect(ctx)
	for server := range servers {
		if err := server.Shutdown(ctx); err != nil {
			nd.log.WithError(err).Warn("connections cut off")
		}
	}
}

// pause waits for a time, or until ctx ends.
func pause(ctx context.Context, length time.Duration) {
	select {
	case <-time.After(length):
	case <-ctx.Done():
	}
}

func closeAll(servers map[Server]net.Listener) {
	for server := range servers {
		_ = server.Close()
	}
}
