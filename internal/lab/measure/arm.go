package measure

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"camphortrail/call"
	"camphortrail/internal/fleet/node"
	"camphortrail/internal/lab/standin"
)

// arm is a policy under measurement.
type arm struct {
	name   string
	policy node.Policy
}

var arms = []arm{{"baseline", node.BaselinePolicy}, {"policy", node.FullPolicy}}

// plan is the division of an arm's time.
type plan struct {
	// settle lets limits and connections settle; it is not counted.
	settle, before, trigger, after time.Duration
}

// startupTime is left for start and stop of a fleet.
const startupTime = 3 * time.Second

func newPlan(total time.Duration) plan {
	usable := total/time.Duration(len(arms)) - startupTime
	return plan{
		settle: usable * 2 / 16, before: usable * 3 / 16, trigger: usable * 5 / 16, after: usable * 6 / 16,
	}
}

func (pn plan) timeline(start time.Time) timeline {
	begin := start.Add(pn.settle)
	tl := timeline{begin: begin, triggerStart: begin.Add(pn.before)}
	tl.triggerEnd = tl.triggerStart.Add(pn.trigger)
	tl.end = tl.triggerEnd.Add(pn.after)
	return tl
}

// phases returns the arrivals of a stream.
func (pn plan) phases(sm stream) []standin.Phase {
	return []standin.Phase{
		{Length: pn.settle + pn.before, Rate: sm.normal * capacity},
		{Length: pn.trigger, Rate: sm.trigger * capacity},
		{Length: pn.after, Rate: sm.normal * capacity},
	}
}

// runScenario runs all arms of a scenario.
func runScenario(ctx context.Context, sc scenario, opt Options, w io.Writer) error {
	for _, am := range arms {
		fg, err := runArm(ctx, sc, am, opt)
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

func runArm(ctx context.Context, sc scenario, am arm, opt Options) (Figures, error) {
	ft, err := startFleet(ctx, fleetOptions{
		configuration: configuration(), vms: vms(), policy: am.policy, seed: opt.Seed, silenceable: sc.silenceable,
	})
	if err != nil {
		return Figures{}, err
	}
	pn := newPlan(time.Duration(opt.Seconds) * time.Second)
	tl := pn.timeline(time.Now())
	disturbed := make(chan error, 1)
	go func() { disturbed <- ft.disturb(ctx, sc, tl) }()
	ft.callAll(ctx, sc.streams, pn, opt.Seed)
	err = <-disturbed
	if failure := ft.stop(); err == nil {
		err = failure
	}
	if err != nil {
		return Figures{}, err
	}
	if ctx.Err() != nil {
		return Figures{}, ctx.Err()
	}
	lg := ft.log()
	fg := count(&lg, tl, deepest, sc.expected)
	if sc.expected == 0 {
		fg.GoodputRatio = round(share(&lg, tl.triggerStart, tl.triggerEnd, call.MinImportance))
	}
	if sc.instant {
		tl.triggerEnd = tl.triggerStart
		fg.RecoveryMS = recovery(&lg, tl)
	}
	return fg, nil
}

// disturb starts and ends what goes wrong.
func (ft *fleet) disturb(ctx context.Context, sc scenario, tl timeline) error {
	for _, step := range []struct {
		at time.Time
		do func(*fleet) error
	}{{tl.triggerStart, sc.trigger}, {tl.triggerEnd, sc.relief}} {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(step.at)):
		}
		if step.do == nil {
			continue
		}
		if err := step.do(ft); err != nil {
			return err
		}
	}
	return nil
}

// rootsPerStream keeps the root ids of streams apart.
const rootsPerStream = 1 << 32

// callAll runs the callers of all streams through the plan.
func (ft *fleet) callAll(ctx context.Context, streams []stream, pn plan, seed uint64) {
	client := standin.NewClient()
	defer client.Transport.(*http.Transport).CloseIdleConnections()
	var callers sync.WaitGroup
	for i, sm := range streams {
		cr := standin.NewCaller(standin.CallerOptions{
			Pattern: sm.pattern, Phases: pn.phases(sm), Targets: ft.CallerURLs(),
			SendTimeout: sendTimeout, RootTimeout: patience, Resends: resends, MaxBackoff: resendPause,
			MaxOutstanding: outstanding, Seed: seed + uint64(i), FirstRoot: standin.RootID(i+1) * rootsPerStream,
			Recorder: ft.recorder, Client: client,
		})
		callers.Go(func() { cr.Run(ctx) })
	}
	callers.Wait()
}
