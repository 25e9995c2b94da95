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

// arm is a policy that a scenario measures.
type arm struct {
	name   string
	policy node.Policy
}

var arms = []arm{{"baseline", node.BaselinePolicy}, {"policy", node.FullPolicy}}

// plan divides the time of an arm into periods.
type plan struct {
	// settle is the time for concurrency limits and connections to stabilize. It is not
	// counted.
	settle, before, trigger, after time.Duration
}

// startupTime is reserved for the start and the stop of a fleet.
const startupTime = 3 * time.Second

// newPlan divides the share of one arm in the total time of a scenario.
func newPlan(total time.Duration) plan {
	usable := total/time.Duration(len(arms)) - startupTime
	return plan{
		settle: usable * 2 / 16, before: usable * 3 / 16, trigger: usable * 5 / 16, after: usable * 6 / 16,
	}
}

// timeline returns the times of an arm that starts at the given time.
func (pn plan) timeline(start time.Time) timeline {
	begin := start.Add(pn.settle)
	tl := timeline{begin: begin, triggerStart: begin.Add(pn.before)}
	tl.triggerEnd = tl.triggerStart.Add(pn.trigger)
	tl.end = tl.triggerEnd.Add(pn.after)
	return tl
}

// phases returns the arrival rates of a stream for the periods of the plan.
func (pn plan) phases(sm stream) []standin.Phase {
	return []standin.Phase{
		{Length: pn.settle + pn.before, Rate: sm.normalDemand * capacity},
		{Length: pn.trigger, Rate: sm.triggerDemand * capacity},
		{Length: pn.after, Rate: sm.normalDemand * capacity},
	}
}

// runScenario runs both arms of a scenario and writes their figures.
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

// runArm runs one arm on a new fleet and returns its figures.
func runArm(ctx context.Context, sc scenario, am arm, opt Options) (Figures, error) {
	ft, err := startFleet(ctx, fleetOptions{
		configuration: configuration(), vms: vms(), policy: am.policy, seed: opt.Seed, silenceable: sc.silenceable,
	})
	if err != nil {
		return Figures{}, err
	}
	pn := newPlan(time.Duration(opt.Seconds) * time.Second)
	tl := pn.timeline(time.Now())
	faultDone := make(chan error, 1)
	go func() { faultDone <- ft.applyFault(ctx, sc, tl) }()
	ft.runCallers(ctx, sc.streams, pn, opt.Seed)
	err = <-faultDone
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
	fg := countFigures(&lg, tl, deepest, sc.expectedGoodput)
	if sc.expectedGoodput == 0 {
		fg.GoodputRatio = roundTo4(completedShare(&lg, tl.triggerStart, tl.triggerEnd, call.MinImportance))
	}
	if sc.instant {
		tl.triggerEnd = tl.triggerStart
		fg.RecoveryMS = recovery(&lg, tl)
	}
	return fg, nil
}

// applyFault starts the fault of a scenario at the start of the trigger and ends it at
// its end.
func (ft *fleet) applyFault(ctx context.Context, sc scenario, tl timeline) error {
	for _, step := range []struct {
		at time.Time
		do func(*fleet) error
	}{{tl.triggerStart, sc.startFault}, {tl.triggerEnd, sc.endFault}} {
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

// rootsPerStream is the size of the range of root ids that each stream has.
const rootsPerStream = 1 << 32

// runCallers runs a caller for each stream through the plan and returns when all have
// ended.
func (ft *fleet) runCallers(ctx context.Context, streams []stream, pn plan, seed uint64) {
	client := standin.NewClient()
	defer client.Transport.(*http.Transport).CloseIdleConnections()
	var callers sync.WaitGroup
	for i, sm := range streams {
		cr := standin.NewCaller(standin.CallerOptions{
			Pattern: sm.pattern, Phases: pn.phases(sm), Targets: ft.CallerURLs(),
			SendTimeout: sendTimeout, RootTimeout: rootTimeout, Resends: resends, MaxBackoff: maxBackoff,
			MaxOutstanding: maxOutstanding, Seed: seed + uint64(i), FirstRoot: standin.RootID(i+1) * rootsPerStream,
			Recorder: ft.recorder, Client: client,
		})
		callers.Go(func() { cr.Run(ctx) })
	}
	callers.Wait()
}
