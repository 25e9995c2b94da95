package soak

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"camphortrail/call"
)

// ErrScenario is returned for a scenario that is not known.
var ErrScenario = errors.New("soak: unknown scenario")

// Scenario is what happens to a fleet in a run.
type Scenario struct {
	// Options changes the options of the fleet, if it is not nil.
	Options func(Options) Options
	// Keyless says that the requests have no keys, so that no deployment with customers can be played.
	Keyless bool
	// Play acts on a fleet whose nodes are ready and whose first configuration is in force, until
	// ctx ends, and returns when all that it began is over.
	Play func(ctx context.Context, fl *Fleet) error
	// Check judges the record.
	Check func(fl *Fleet) []Finding
}

// scenarios holds all scenarios by name. Each file of a scenario adds its own.
var scenarios = make(map[string]Scenario)

// Scenarios returns the names of all scenarios.
func Scenarios() []string { return slices.Sorted(maps.Keys(scenarios)) }

// Report is the result of a run.
type Report struct {
	Scenario string  `json:"scenario"`
	Seed     Seed    `json:"seed"`
	Seconds  float64 `json:"seconds"`
	Requests int     `json:"requests"`
	Answered int     `json:"answered"`
	Cut      int     `json:"cut"`
	GaveUp   int     `json:"gave-up"`
	Stops    int     `json:"stops"`
	// Served is the share of the requests of callers that an upstream answered with 200, and AtWork the
	// number of those at whose node a SIGTERM came while an upstream worked on them.
	Served float64 `json:"served"`
	AtWork int     `json:"at-work-at-stops"`
	// OwnAnswerCount is the number of requests that got an answer of a node while an upstream worked and
	// before they were due, and PeakMemoryMB the most memory that all processes together took.
	OwnAnswerCount int   `json:"own-answer-count"`
	PeakMemoryMB   int64 `json:"peak-memory-mb"`
	// Statuses counts the answers by status.
	Statuses map[int]int `json:"statuses"`
	// Losses counts the requests that had no whole answer of an upstream.
	Losses map[LossVerdict]int `json:"losses"`
	// OwnAnswers are some of the requests with the verdict ExcusedOwnAnswer. Around a stop they would break
	// the rule.
	OwnAnswers []string `json:"own-answers"`
	// OwnEnds are the processes that ended by themselves.
	OwnEnds  []string  `json:"own-ends"`
	Findings []Finding `json:"findings"`
}

// startLimit bounds the time until all nodes are ready.
const startLimit = time.Minute

// Run plays a scenario on a new fleet for a time and returns the report. It writes a line of
// progress each second to progress. The errors match ErrScenario or ErrDeployment, or are those of a fleet.
func Run(ctx context.Context, name string, length time.Duration, opt Options, progress io.Writer) (*Report, error) {
	sc, ok := scenarios[name]
	switch {
	case !ok:
		return nil, errors.Wrap(ErrScenario, name)
	case opt.Deployment != nil && sc.Keyless && opt.Deployment.Customers.Count > 0:
		return nil, errors.Wrap(ErrDeployment, name+" plays no deployment with customers")
	}
	if sc.Options != nil {
		opt = sc.Options(opt)
	}
	fl, err := New(opt)
	if err != nil {
		return nil, err
	}
	if err := fl.checkLimits(); err != nil {
		return nil, err
	}
	fleetCtx, stopFleet := context.WithCancel(ctx)
	defer stopFleet()
	defer fl.Close()
	if err := fl.startServing(fleetCtx); err != nil {
		return nil, err
	}
	playCtx, stopPlay := context.WithTimeout(fleetCtx, length)
	defer stopPlay()
	var group sync.WaitGroup
	group.Go(func() { fl.printProgress(playCtx, progress) })
	var peakKB int64
	var memoryErr error
	group.Go(func() {
		defer stopPlay()
		peakKB, memoryErr = fl.watchMemory(playCtx)
	})
	begun := time.Now()
	err = sc.Play(playCtx, fl)
	stopPlay()
	group.Wait()
	if err = cmp.Or(err, memoryErr); err != nil {
		return nil, err
	}
	re := fl.report()
	re.PeakMemoryMB = peakKB >> 10
	re.Scenario, re.Seed, re.Seconds = name, opt.Seed, time.Since(begun).Seconds()
	_, re.Losses = CheckLost(fl.Recorder.Events(), fl.controlNames())
	hi := newHistory(fl.Recorder.Events(), fl.controlNames())
	re.OwnAnswers, re.OwnAnswerCount = hi.ownAnswers()
	re.Served, re.AtWork = hi.servedShare(), hi.atWorkAtStops()
	re.Findings = slices.Concat(fl.Recorder.Findings(), sc.Check(fl), fl.checkOwnEnds())
	return re, nil
}

// maxProcesses bounds the processes of a fleet.
const maxProcesses = 300

// ErrLimits is returned for a fleet that is too large for this computer.
var ErrLimits = errors.New("soak: the fleet is too large")

// checkLimits checks the number of processes.
func (fl *Fleet) checkLimits() error {
	if count := len(fl.Machines()); count > maxProcesses {
		return errors.Wrapf(ErrLimits, "%d processes", count)
	}
	return nil
}

// memoryInterval is the time between two measurements of the memory of all processes.
const memoryInterval = 250 * time.Millisecond

// watchMemory measures the memory of all processes until ctx ends, and returns the peak. The error matches
// ErrLimits if they take more than half of the memory of this computer.
func (fl *Fleet) watchMemory(ctx context.Context) (peakKB int64, err error) {
	data, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0, errors.Wrap(ErrLimits, err.Error())
	}
	var totalKB int64
	if _, err := fmt.Sscanf(string(data), "MemTotal: %d", &totalKB); err != nil {
		return 0, errors.Wrap(ErrLimits, err.Error())
	}
	for {
		var usedKB int64
		for _, ma := range fl.Machines() {
			usedKB += ma.memoryKB()
		}
		if peakKB = max(peakKB, usedKB); usedKB > totalKB/2 {
			return peakKB, errors.Wrapf(ErrLimits, "%d MB of %d MB", usedKB>>10, totalKB>>10)
		}
		if pause(ctx, memoryInterval) != nil {
			return peakKB, nil
		}
	}
}

// startServing starts the fleet, whose upstreams end with ctx, applies the first configuration and
// waits until all nodes are ready.
func (fl *Fleet) startServing(ctx context.Context) error {
	if err := fl.Start(ctx); err != nil {
		return err
	}
	ctx, stop := context.WithTimeout(ctx, startLimit)
	defer stop()
	if err := fl.Apply(ctx, fl.FirstConfiguration()); err != nil {
		return err
	}
	return fl.WaitReady(ctx)
}

// printProgress writes a line each second until ctx ends.
func (fl *Fleet) printProgress(ctx context.Context, progress io.Writer) {
	begun := time.Now()
	for pause(ctx, time.Second) == nil {
		re := fl.report()
		fmt.Fprintf(progress, "\r%4.0f s: %d requests, %d answered, %d cut, %d given up, %d stops ",
			time.Since(begun).Seconds(), re.Requests, re.Answered, re.Cut, re.GaveUp, re.Stops)
	}
	fmt.Fprintln(progress)
}

// checkOwnEnds checks the rule Fault: processes that end by themselves three times, on a tenth of
// the machines (two at least) or on half of the control replicas.
func (fl *Fleet) checkOwnEnds() []Finding {
	ends := make(map[call.VM]int)
	for _, ev := range fl.Recorder.Events() {
		if en, ok := ev.(Ended); ok && en.Own {
			ends[en.VM]++
		}
	}
	machines, controls := 0, 0
	for _, ma := range fl.Machines() {
		if ends[ma.Name] < 3 {
			continue
		}
		machines++
		if ma.Kind == ControlMachine {
			controls++
		}
	}
	if 10*machines < len(fl.Machines()) || machines < 2 {
		if controls == 0 || 2*controls < len(fl.Controls) {
			return nil
		}
	}
	return []Finding{{Fault, strings.Join(fl.report().OwnEnds, "; ")}}
}

// controlNames returns the names of the control replicas.
func (fl *Fleet) controlNames() []call.VM {
	var names []call.VM
	for _, ma := range fl.Controls {
		names = append(names, ma.Name)
	}
	return names
}

// report counts what the record holds.
func (fl *Fleet) report() *Report {
	re := &Report{Statuses: make(map[int]int)}
	for _, ev := range fl.Recorder.Events() {
		switch ev := ev.(type) {
		case Sent:
			re.Requests++
		case Answered:
			re.Answered++
			re.Statuses[ev.Status]++
		case Cut:
			re.Cut++
		case GaveUp:
			re.GaveUp++
		case Signalled:
			if ev.Signal == syscall.SIGTERM {
				re.Stops++
			}
		case Ended:
			if ev.Own {
				re.OwnEnds = append(re.OwnEnds, fmt.Sprintf("%s at %s: %s", ev.VM, ev.At, ev.Cause))
			}
		}
	}
	return re
}
