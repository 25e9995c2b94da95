package measure

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"camphortrail/internal/lab/standin"
)

// The scenario latency compares calls that go directly to an upstream with calls through
// an entry and a guard on two nodes. Both take turns with the same arrivals, at half of
// the capacity of the upstream.
const (
	latencyScenario    = "latency"
	latencySlots       = 16
	latencyServiceTime = 10 * time.Millisecond
	// latencyRate is half of the capacity of the upstream, in requests per second.
	latencyRate = latencySlots * float64(time.Second) / float64(latencyServiceTime) / 2
	// latencySlice is the duration of a turn.
	latencySlice = 500 * time.Millisecond

	p50 = 0.50
	p99 = 0.99
)

// The id of the first root of each path, without and through the nodes.
const (
	firstDirectRoot  standin.RootID = 1 * rootsPerStream
	firstThroughRoot standin.RootID = 2 * rootsPerStream
)

var lookupDeepest = standin.Pattern{
	Class: lookup.Class, Importance: lookup.Importance, Method: lookup.Method,
	Path: "/" + string(deepest) + "/" + kindName(lookup), AnswerBytes: answerBytes,
}

// latencyVMs returns the VM whose node is the entry, and the VM of the upstream that is called.
func latencyVMs() []standin.UpstreamOptions {
	vm := standin.UpstreamOptions{Slots: latencySlots, ServiceTime: latencyServiceTime, Connections: 1000, AnswerBytes: answerBytes}
	entry, guard := vm, vm
	entry.Service, entry.VM = front, string(front)+"-1"
	guard.Service, guard.VM = deepest, string(deepest)+"-1"
	return []standin.UpstreamOptions{entry, guard}
}

// runLatency runs both arms of the scenario and writes their figures.
func runLatency(ctx context.Context, opt Options, w io.Writer) error {
	for _, am := range arms {
		fg, err := latencyArm(ctx, am, opt)
		if err != nil {
			return err
		}
		fg.Scenario, fg.Arm = opt.Scenario, am.name
		if err := fg.write(w); err != nil {
			return err
		}
	}
	return nil
}

// latencyArm runs one arm on a new fleet and returns its figures, which count the roots
// through the nodes.
func latencyArm(ctx context.Context, am arm, opt Options) (Figures, error) {
	ft, err := startFleet(ctx, fleetOptions{
		configuration: configuration(), vms: latencyVMs(), policy: am.policy, seed: opt.Seed,
	})
	if err != nil {
		return Figures{}, err
	}
	usable := time.Duration(opt.Seconds)*time.Second/time.Duration(len(arms)) - startupTime
	settle := usable / 8
	start := time.Now()
	ft.alternateCallers(ctx, settle, usable, opt.Seed)
	if err := ft.stop(); err != nil {
		return Figures{}, err
	}
	if ctx.Err() != nil {
		return Figures{}, ctx.Err()
	}
	begin, end := start.Add(settle), start.Add(usable)
	all := ft.log()
	through := streamLog(&all, firstThroughRoot)
	tl := timeline{begin: begin, triggerStart: begin, triggerEnd: end, end: end}
	fg := countFigures(&through, tl, deepest, latencyRate/2)
	fg.RecoveryMS = 0
	direct := streamLog(&all, firstDirectRoot)
	measured := [2][]time.Duration{latencies(&through, begin), latencies(&direct, begin)}
	low, high := addedLatency(measured[0], measured[1], p50), addedLatency(measured[0], measured[1], p99)
	fg.AddedP50MS, fg.AddedP99MS = &low, &high
	return fg, nil
}

// alternateCallers runs a caller for each path. In each pair of slices one of them sends
// in the first slice and the other one in the second.
func (ft *fleet) alternateCallers(ctx context.Context, settle, usable time.Duration, seed uint64) {
	client := standin.NewClient()
	defer client.Transport.(*http.Transport).CloseIdleConnections()
	first := []standin.Phase{{Length: settle, Rate: latencyRate / 2}}
	on, off := standin.Phase{Length: latencySlice, Rate: latencyRate}, standin.Phase{Length: latencySlice}
	through, direct := first, first
	for turn := settle; turn < usable; turn += 2 * latencySlice {
		through = append(through[:len(through):len(through)], on, off)
		direct = append(direct[:len(direct):len(direct)], off, on)
	}
	opt := standin.CallerOptions{
		Pattern: lookupDeepest, SendTimeout: sendTimeout, RootTimeout: rootTimeout,
		MaxOutstanding: maxOutstanding, Seed: seed, Recorder: ft.recorder, Client: client,
	}
	var callers sync.WaitGroup
	for _, path := range []struct {
		first  standin.RootID
		phases []standin.Phase
		target string
	}{
		{firstDirectRoot, direct, "http://" + ft.Upstreams[1].Address()},
		{firstThroughRoot, through, ft.CallerURLs()[0]},
	} {
		opt.FirstRoot, opt.Phases, opt.Targets = path.first, path.phases, []string{path.target}
		cr := standin.NewCaller(opt)
		callers.Go(func() { cr.Run(ctx) })
	}
	callers.Wait()
}

// streamLog returns the part of a log that belongs to the stream whose root ids start at
// first.
func streamLog(lg *standin.Log, first standin.RootID) standin.Log {
	own := func(id standin.RootID) bool { return id >= first && id < first+rootsPerStream }
	var part standin.Log
	for _, rt := range lg.Roots {
		if own(rt.ID) {
			part.Roots = append(part.Roots, rt)
		}
	}
	for _, sn := range lg.Sends {
		if own(sn.Root) {
			part.Sends = append(part.Sends, sn)
		}
	}
	for _, rn := range lg.Runs {
		if own(rn.Root) {
			part.Runs = append(part.Runs, rn)
		}
	}
	return part
}

// latencies returns the latencies of the sends, from begin on, that got the complete
// answer.
func latencies(lg *standin.Log, begin time.Time) []time.Duration {
	var list []time.Duration
	for _, sn := range lg.Sends {
		if sn.Verdict == standin.Complete && !sn.Sent.Before(begin) {
			list = append(list, sn.Ended.Sub(sn.Sent))
		}
	}
	return list
}
