package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"camphortrail/call"
)

// StopPlan is a scenario of planned stops of nodes.
type StopPlan struct {
	Mix Mix
	// NoCallersAtStops lets only nodes stop at which there are no callers, so that what is lost
	// was lost by the guard beside the upstream.
	NoCallersAtStops bool
	// Hangups lets SIGHUPs come during stops, and at nodes that run.
	Hangups bool
	// Controls lets control replicas stop too, one at a time.
	Controls bool
	// Rounds is the number of times that nodes are stopped, or 0 until the end of the run.
	Rounds int
	// Together is the number of nodes that each round stops at once, or 0 for 1 to 5 nodes at once
	// or one after the other.
	Together int
	// WholeService lets all nodes of a service stop in each round, one after the other.
	WholeService bool
	// Repeated lets a second SIGTERM come during a stop, and Young lets some nodes stop once more soon
	// after their start.
	Repeated, Young bool
	// Exchanges lets upstreams leave and others take their place, Changes changes the configuration, keys
	// of customers included, and Starve takes the processors away for seconds; all until the end.
	Exchanges, Changes, Starve bool
	// Throttle lets nodes have only a part of a processor.
	Throttle bool
	// Roll lets a third of the nodes stop in each round, rollTogether at a time and rollGap apart, so that
	// the grace times of several failure domains overlap.
	Roll bool
	// Pauses suspends one node after the other, and PausesAtStops some nodes that do not stop, from just
	// before the first SIGTERM of a round. The record does not count either: processes that share a computer
	// with others may get no processor for as long.
	Pauses, PausesAtStops bool
	// ScaleIn lets the upstream beside each stopped node leave before the SIGTERM, and Release exchanges half
	// of the upstreams of a service in each round.
	ScaleIn, Release bool
	// Troubles impairs upstreams and nodes, each until a few seconds before a round.
	Troubles bool
}

const (
	// firstStop is the time from the first request to the first stop.
	firstStop = 3400 * time.Millisecond
	// maxStops is the largest number of nodes that are stopped in one round.
	maxStops = 5
	// maxStagger bounds the time between the stops of a round that does not stop all at once.
	maxStagger = 1500 * time.Millisecond
	// minRound and maxRound bound the time between the beginnings of two rounds. A stop may last
	// longer, so that rounds overlap.
	minRound, maxRound = 4 * time.Second, 10 * time.Second
	// maxHangups is the number of running nodes that get a SIGHUP in a round.
	maxHangups = 2
	// serviceGap bounds the time between the stops of two nodes of a service.
	serviceGap = time.Second
	// maxYoung bounds the time from the start of a node to a stop under Young.
	maxYoung = 1500 * time.Millisecond
	// maxExchangeGap, maxConfigGap and maxStarveGap bound the time between two exchanges of an upstream,
	// two changes of the configuration, and two times without processors.
	maxExchangeGap, maxConfigGap, maxStarveGap = 2 * time.Second, 3 * time.Second, 8 * time.Second
	// maxRestart bounds the time from the end of a process to its next start.
	maxRestart = time.Second
	// rollShare, rollTogether and rollGap describe a round under Roll.
	rollShare    = 0.36
	rollTogether = 4
	rollGap      = 1200 * time.Millisecond
	// pausedAtStops is the number of nodes that are suspended at a round under PausesAtStops, and minLead
	// and maxLead bound the time from then to the first SIGTERM.
	pausedAtStops    = 4
	minLead, maxLead = 200 * time.Millisecond, 600 * time.Millisecond
	// releaseTogether and releaseGap describe the exchanges under Release.
	releaseTogether = 5
	releaseGap      = 1100 * time.Millisecond
	// callerServiceShare is the share of nodes that have callers under NoCallersAtStops.
	callerServiceShare = 0.6
)

// processorShare is the part of a processor that a node gets under Throttle.
const processorShare = 0.64

// longShare is the share of long requests in all scenarios of stops.
const longShare = 0.2

func init() {
	for name, sp := range map[string]StopPlan{
		"lost":          {Mix: Mix{Long: longShare, Ahead: 0.25, Calls: 0.25, SlowBodies: 0.15}, Hangups: true, Controls: true},
		"lost-late":     {Mix: Mix{Long: longShare}, Rounds: 1, Together: maxStops},
		"lost-series":   {Mix: Mix{Long: longShare}},
		"lost-guard":    {Mix: Mix{Long: longShare}, NoCallersAtStops: true},
		"lost-ahead":    {Mix: Mix{Long: longShare, Ahead: 1}},
		"lost-calls":    {Mix: Mix{Long: longShare, Calls: 1}},
		"lost-bodies":   {Mix: Mix{Long: longShare, SlowBodies: 1}},
		"lost-hangup":   {Mix: Mix{Long: longShare}, Hangups: true},
		"lost-service":  {Mix: Mix{Long: longShare}, WholeService: true},
		"lost-again":    {Mix: Mix{Long: longShare}, Repeated: true, Young: true, Hangups: true},
		"lost-leave":    {Mix: Mix{Long: longShare}, Exchanges: true},
		"lost-change":   {Mix: Mix{Long: longShare}, Changes: true},
		"lost-parts":    {Mix: Mix{Long: longShare, Parts: 1}},
		"lost-starve":   {Mix: Mix{Long: longShare}, Starve: true},
		"lost-throttle": {Mix: Mix{Long: longShare}, Throttle: true, WholeService: true},
		"lost-roll":     {Mix: Mix{Long: longShare}, Roll: true},
		"lost-pause":    {Mix: Mix{Long: longShare}, Pauses: true},
		"lost-pause-at": {Mix: Mix{Long: longShare}, PausesAtStops: true},
		"lost-pause-service": {
			Mix: Mix{Long: longShare}, PausesAtStops: true, WholeService: true,
		},
		"lost-scale-in": {Mix: Mix{Long: longShare}, ScaleIn: true},
		"lost-release":  {Mix: Mix{Long: longShare}, Release: true, Roll: true},
		"lost-troubles": {Mix: Mix{Long: longShare}, Troubles: true, Roll: true},
		"lost-sheet": {
			Mix:    Mix{Long: longShare, Ahead: 0.25, Calls: 0.25, SlowBodies: 0.15, Parts: 1},
			Pauses: true, Roll: true, ScaleIn: true, Release: true, Troubles: true, Exchanges: true, Changes: true, Hangups: true, Controls: true,
		},
		"lost-all": {
			Mix:     Mix{Long: longShare, Ahead: 0.25, Calls: 0.25, SlowBodies: 0.15, Parts: 1},
			Hangups: true, Controls: true, WholeService: true, Repeated: true, Young: true, Exchanges: true, Changes: true,
		},
	} {
		scenarios[name] = Scenario{Play: sp.play, Check: checkStops}
	}
}

// checkStops checks the rules LOST, TWICE and REFUSED.
func checkStops(fl *Fleet) []Finding {
	events := fl.Recorder.Events()
	findings, _ := CheckLost(events, fl.controlNames())
	return append(findings, CheckPromises(events)...)
}

// play sends requests to all nodes and stops nodes round by round. A plan with a number of rounds
// ends with the last of them.
func (sp StopPlan) play(ctx context.Context, fl *Fleet) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	targets := fl.Nodes
	var group sync.WaitGroup
	if sp.NoCallersAtStops {
		targets = sp.chooseTargets(fl)
	}
	for _, ma := range fl.Nodes {
		if sp.NoCallersAtStops && slices.Contains(targets, ma) {
			continue
		}
		for i := range fl.callersPerNode() {
			group.Go(func() { newCaller(ma, i, sp.Mix).run(ctx) })
		}
	}
	for _, duty := range []struct {
		on  bool
		run func(ctx context.Context, fl *Fleet)
	}{{sp.Exchanges, exchangeUpstreams}, {sp.Changes, changeConfigurations}, {sp.Starve, starveOften}, {sp.Throttle, throttleNodes}, {sp.Pauses, pauseNodes}} {
		if duty.on {
			group.Go(func() { duty.run(ctx, fl) })
		}
	}
	err := newStopper(sp, fl, targets).run(ctx)
	stop()
	group.Wait()
	return err
}

// hangUp rewrites the settings of a node that runs and sends it a SIGHUP.
func (st *stopper) hangUp(ctx context.Context, ps plannedStop) {
	if pause(ctx, ps.after) != nil {
		return
	}
	if err := ps.ma.SetSettings(nil); err != nil {
		st.fl.Recorder.Find(Fault, "%s: settings not written: %v", ps.ma.Name, err)
	}
	ps.ma.Signal(syscall.SIGHUP)
}

// chooseTargets returns the nodes without callers: some of each service.
func (StopPlan) chooseTargets(fl *Fleet) []*Machine {
	rnd := fl.opt.Seed.Rand("targets")
	var targets []*Machine
	for _, sz := range fl.opt.Services {
		var nodes []*Machine
		for _, ma := range fl.Nodes {
			if ma.Service == sz.Name {
				nodes = append(nodes, ma)
			}
		}
		rnd.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
		targets = append(targets, nodes[int(callerServiceShare*float64(len(nodes))):]...)
	}
	return targets
}

// stopper stops nodes as a plan says.
type stopper struct {
	StopPlan
	fl  *Fleet
	rnd *rand.Rand
	// extras chooses what later plans added, so that the seeds of earlier ones keep their choices.
	extras *rand.Rand
	// troubles chooses the impairments.
	troubles *rand.Rand
	targets  []*Machine

	mu sync.Mutex
	// busy are the nodes that are being stopped and started again.
	busy map[call.VM]bool
}

// newStopper returns a stopper of the targets.
func newStopper(sp StopPlan, fl *Fleet, targets []*Machine) *stopper {
	return &stopper{
		StopPlan: sp, fl: fl, rnd: fl.opt.Seed.Rand("stops"), extras: fl.opt.Seed.Rand("stops-extras"),
		troubles: fl.opt.Seed.Rand("troubles"), targets: targets,
		busy: make(map[call.VM]bool),
	}
}

// plannedStop is the stop of one machine, chosen from the seed, or its SIGHUP if hangupOnly is set.
type plannedStop struct {
	ma *Machine
	// after is the time from the beginning of the round to the SIGTERM, hangup that from the SIGTERM to
	// a SIGHUP (0 for none), again that to a second SIGTERM (0 for none), restart that from the end of the
	// process to the next start, and young that from the start to another stop (0 for none).
	after, hangup, again, restart, young time.Duration
	hangupOnly                           bool
	// leaves says that the upstream leaves before the SIGTERM, and another one comes after the start.
	leaves bool
}

// run stops nodes until ctx ends or all rounds are over, and then waits until all nodes run again.
func (st *stopper) run(ctx context.Context) error {
	var group sync.WaitGroup
	defer group.Wait()
	wait := firstStop
	for round := 0; st.Rounds == 0 || round < st.Rounds; round++ {
		if pause(ctx, wait) != nil {
			return nil
		}
		round := st.chooseRound()
		for _, duty := range st.chooseDuties(round) {
			group.Go(func() { duty(ctx) })
		}
		for _, ps := range round {
			if ps.hangupOnly {
				group.Go(func() { st.hangUp(ctx, ps) })
				continue
			}
			group.Go(func() { st.stop(ctx, ps) })
		}
		wait = minRound + rand64(st.rnd, maxRound-minRound)
		if st.Troubles {
			group.Go(func() { st.trouble(ctx, wait) })
		}
	}
	group.Wait()
	return nil
}

// chooseRound chooses the nodes of a round. It makes the same number of choices whatever the state
// of the nodes is, and leaves out those that are still being stopped.
func (st *stopper) chooseRound() []plannedStop {
	order := st.rnd.Perm(len(st.targets))
	number := min(1+st.rnd.IntN(maxStops), len(order))
	together := st.rnd.IntN(2) == 0
	if st.Together > 0 {
		number, together = st.Together, true
	}
	hangups := st.Hangups && st.rnd.IntN(2) == 0
	control := st.rnd.IntN(3 * len(st.fl.Controls)) // no replica stops if there is none with the index
	if st.WholeService {
		sizes := st.fl.opt.Services
		order = st.nodesOf(sizes[st.extras.IntN(len(sizes))].Name)
		number, together = len(order), false
	}
	if st.Roll {
		number, together = int(rollShare*float64(len(order))), false
	}
	gap := rand64(st.extras, serviceGap)
	var round []plannedStop
	st.mu.Lock()
	defer st.mu.Unlock()
	for i, target := range order {
		ps := plannedStop{ma: st.targets[target], after: rand64(st.rnd, maxStagger), restart: rand64(st.rnd, maxRestart)}
		if hangup := rand64(st.rnd, Grace); st.Hangups && st.rnd.IntN(3) == 0 {
			ps.hangup = hangup
		}
		if again := rand64(st.extras, Grace); st.Repeated && st.extras.IntN(3) == 0 {
			ps.again = again
		}
		if young := rand64(st.extras, maxYoung); st.Young && st.extras.IntN(3) == 0 {
			ps.young = young
		}
		if st.ScaleIn {
			ps.leaves = st.extras.IntN(2) == 0
		}
		if together {
			ps.after = 0
		}
		if st.WholeService {
			ps.after = time.Duration(i) * gap
		}
		if st.Roll {
			ps.after = time.Duration(i/rollTogether) * rollGap
		}
		if i >= number {
			ps.hangupOnly = hangups && i < number+maxHangups
			if !ps.hangupOnly {
				continue
			}
		}
		round = st.appendFree(round, ps)
	}
	if st.Controls && control < len(st.fl.Controls) && !st.anyBusy(st.fl.Controls) {
		round = st.appendFree(round, plannedStop{ma: st.fl.Controls[control], restart: maxRestart})
	}
	return round
}

// nodesOf returns the indexes of the targets of a service.
func (st *stopper) nodesOf(service call.Service) (order []int) {
	for i, ma := range st.targets {
		if ma.Service == service {
			order = append(order, i)
		}
	}
	return order
}

// chooseDuties returns what is done beside the stops of a round.
func (st *stopper) chooseDuties(round []plannedStop) (duties []func(ctx context.Context)) {
	if st.PausesAtStops {
		lead := minLead + rand64(st.extras, maxLead-minLead)
		for i := range round {
			round[i].after += lead
		}
		for _, index := range st.extras.Perm(len(st.fl.Nodes))[:min(pausedAtStops, len(st.fl.Nodes))] {
			ma, length := st.fl.Nodes[index], minPause+rand64(st.extras, maxPause-minPause)
			if !slices.ContainsFunc(round, func(ps plannedStop) bool { return ps.ma == ma && ps.after < length }) && ma.mayBeSuspended(length) {
				duties = append(duties, func(context.Context) { ma.suspend(length) })
			}
		}
	}
	if st.Release {
		sizes := st.fl.opt.Services
		service := sizes[st.extras.IntN(len(sizes))].Name
		nodes := st.nodesOf(service)
		for i, index := range nodes[:(len(nodes)+1)/2] {
			ma, after := st.targets[index], time.Duration(i/releaseTogether)*releaseGap
			duties = append(duties, func(ctx context.Context) {
				if pause(ctx, after) == nil {
					st.fl.exchangeUpstream(ctx, ma)
				}
			})
		}
	}
	return duties
}

// appendFree appends a stop to the round unless its machine is still being stopped.
func (st *stopper) appendFree(round []plannedStop, ps plannedStop) []plannedStop {
	if st.busy[ps.ma.Name] {
		return round
	}
	st.busy[ps.ma.Name] = !ps.hangupOnly
	return append(round, ps)
}

func (st *stopper) anyBusy(machines []*Machine) bool {
	return slices.ContainsFunc(machines, func(ma *Machine) bool { return st.busy[ma.Name] })
}

// stop stops a node and starts it again. A stop that has begun goes on when ctx ends.
func (st *stopper) stop(ctx context.Context, ps plannedStop) {
	defer func() {
		st.mu.Lock()
		defer st.mu.Unlock()
		delete(st.busy, ps.ma.Name)
	}()
	if pause(ctx, ps.after) != nil {
		return
	}
	if ps.leaves {
		ps.leaves = ps.ma.exchanging.TryLock()
	}
	if ps.leaves {
		defer ps.ma.exchanging.Unlock()
		ps.ma.currentUpstream().leave(ctx)
		if ctx.Err() != nil {
			// It has not left.
			return
		}
		defer st.fl.replaceUpstream(ps.ma)
	}
	for stopAgain := true; stopAgain; {
		ps.signalAndWait(ctx)
		if pause(ctx, ps.restart) != nil {
			return
		}
		if err := ps.ma.Restart(); err != nil {
			st.fl.Recorder.Find(Fault, "%s does not start: %v", ps.ma.Name, err)
			return
		}
		stopAgain = ps.young > 0 && pause(ctx, ps.young) == nil
		ps.young = 0
	}
}

// signalAndWait sends the signals of a stop and waits for the end of the process.
func (ps plannedStop) signalAndWait(ctx context.Context) {
	stopping, stopped := context.WithCancel(context.WithoutCancel(ctx))
	defer stopped()
	for sig, after := range map[syscall.Signal]time.Duration{syscall.SIGHUP: ps.hangup, syscall.SIGTERM: ps.again} {
		if after == 0 {
			continue
		}
		go func() {
			if pause(stopping, after) == nil {
				ps.ma.Signal(sig)
			}
		}()
	}
	ps.ma.Stop(stopping)
}
