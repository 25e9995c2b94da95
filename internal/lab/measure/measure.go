// Package measure runs scenarios of overload and failure against real nodes on loopback,
// without and with the overload policy, and prints what the stand-in upstreams and
// callers counted.
package measure

import (
	"context"
	"io"
	"maps"
	"slices"

	"github.com/pkg/errors"
)

// ErrUnknownScenario is returned for a scenario that does not exist.
var ErrUnknownScenario = errors.New("measure: unknown scenario")

// ErrTooShort is returned when Options.Seconds is too short for both arms.
var ErrTooShort = errors.New("measure: a scenario needs 12 seconds or more")

// Options selects a measurement.
type Options struct {
	// Scenario is one of Scenarios.
	Scenario string
	// Seconds is the time for both arms together; 0 means DefaultSeconds.
	Seconds int
	// Seed seeds the arrivals and the random choices of callers and nodes.
	Seed uint64
}

const (
	// DefaultSeconds is the default time for both arms of a scenario together.
	DefaultSeconds = 36
	minSeconds     = 12
)

// Scenarios returns the names of the scenarios.
func Scenarios() []string {
	names := append(slices.Collect(maps.Keys(scenarios)), latencyScenario, rolloutScenario, failoverScenario, partitionScenario, spreadScenario)
	slices.Sort(names)
	return names
}

// Run runs a scenario and writes one line of JSON for each arm. The scenarios rollout,
// failover, partition and spread have no baseline arm; spread writes a line for each
// number of nodes and one with the regression lines.
func Run(ctx context.Context, opt Options, w io.Writer) error {
	if opt.Seconds == 0 {
		opt.Seconds = DefaultSeconds
	}
	if opt.Seconds < minSeconds {
		return ErrTooShort
	}
	switch opt.Scenario {
	case spreadScenario:
		return runSpread(ctx, opt, w)
	case partitionScenario:
		return runPartition(ctx, opt, w)
	case latencyScenario:
		return runLatency(ctx, opt, w)
	case rolloutScenario, failoverScenario:
		return runChanges(ctx, opt, w)
	}
	sc, ok := scenarios[opt.Scenario]
	if !ok {
		return errors.Wrap(ErrUnknownScenario, opt.Scenario)
	}
	return runScenario(ctx, sc, opt, w)
}
