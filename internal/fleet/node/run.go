package node

import (
	"context"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"camphortrail/internal/ops/process"
	"camphortrail/internal/ops/series"
)

// Run runs the node until ctx ends or one of its tasks fails. When ctx ends, it stops as
// Options.Stop says: it refuses new work, finishes the work in flight and leaves the
// membership.
func (nd *Node) Run(ctx context.Context) error {
	taskCtx, cancelTasks := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelTasks()
	group, taskCtx := errgroup.WithContext(taskCtx)
	for _, task := range []func(context.Context) error{
		nd.guard.Run, nd.pool.Run, nd.gossip.Run, nd.rollout.Run, nd.announcements.Run, nd.followMembers, nd.followRecalls, nd.runClaims, nd.runEvents,
		nd.runSummaries, nd.entry.RunDemandReports, nd.renewal.Run, nd.stalls.Run,
	} {
		group.Go(func() error { return ignoreAfterCancel(taskCtx, task(taskCtx)) })
	}
	servers := nd.servers()
	for _, server := range servers {
		group.Go(func() error { return ignoreServerClosed(server.Serve(server.listener)) })
	}
	nd.log.WithField("build", process.Build()).Info("node started")
	nd.metrics.GetOrCreateGauge(series.Name("camphortrail_build_info", "build", process.Build()), func() float64 { return 1 })
	select {
	case <-ctx.Done():
		nd.stop(taskCtx, servers)
	case <-taskCtx.Done():
		closeAll(servers)
	}
	nd.guard.Disconnect(taskCtx)
	cancelTasks()
	err := group.Wait()
	nd.log.WithField("build", process.Build()).Info("node stopped")
	return err
}

// ignoreAfterCancel returns nil if ctx has ended, and otherwise err.
func ignoreAfterCancel(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// ignoreServerClosed returns nil for the error of a server that was shut down.
func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// runEvents writes the decisions on requests to Options.Events, if it is set.
func (nd *Node) runEvents(ctx context.Context) error {
	if nd.events == nil {
		return nil
	}
	return nd.events.Run(ctx, nd.opt.Events)
}

// summaryInterval is the time between two summaries of the traffic.
const summaryInterval = time.Second

// runSummaries writes summaries of the requests, the upstream and the process every
// summaryInterval.
func (nd *Node) runSummaries(ctx context.Context) error {
	timer := time.NewTimer(summaryInterval)
	defer timer.Stop()
	mt, gr := process.NewMeter(), process.NewHeapGrowth(nd.opt.MaxHeapGrowthPercent)
	for due := time.Now().Add(summaryInterval); ; due = due.Add(summaryInterval) {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		now := time.Now()
		nd.entry.Summarize(now)
		nd.guard.Summarize(now, now.Sub(due))
		nd.summarizeProcess(now, mt, gr)
		if due.Before(now.Add(-summaryInterval)) {
			due = now
		}
		timer.Reset(due.Add(summaryInterval).Sub(now))
	}
}

// summarizeProcess writes the resources used by the process as an event and adds them to
// the metrics. If MaxHeapGrowthPercent is set, it also raises the garbage collector's
// target percentage while the process is busy.
func (nd *Node) summarizeProcess(now time.Time, mt *process.Meter, gr *process.HeapGrowth) {
	ps := mt.Take()
	if growth := gr.Step(ps); nd.opt.MaxHeapGrowthPercent > 0 && growth != nd.gcPercent {
		nd.gcPercent = growth
		debug.SetGCPercent(growth)
	}
	mean, slowest, longest := nd.pool.TakeTransitTimes()
	ps.TransitMeanUS = mean.Microseconds()
	ps.SlowestVM, ps.SlowestMeanUS = string(slowest), longest.Microseconds()
	nd.events.Summarize(now, ps)
	const micro, milli = 1e-6, 1e-3
	nd.metrics.GetOrCreateFloatCounter("camphortrail_process_processor_seconds_total").Add(float64(ps.ProcessorMS) * milli)
	nd.metrics.GetOrCreateFloatCounter("camphortrail_process_collector_seconds_total").Add(float64(ps.CollectorMS) * milli)
	nd.metrics.GetOrCreateHistogram("camphortrail_process_run_wait_seconds").Update(float64(ps.RunWaitMeanUS) * micro)
	nd.metrics.GetOrCreateHistogram("camphortrail_peer_transit_seconds").Update(mean.Seconds())
}

// runClaims runs the client for claims, if there are control replicas.
func (nd *Node) runClaims(ctx context.Context) error {
	if nd.claims == nil {
		return nil
	}
	return nd.claims.Run(ctx)
}
