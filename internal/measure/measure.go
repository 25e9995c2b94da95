// Package measure runs scenarios of overload and failure against real nodes on
// loopback, once without and once with the overload policy, and prints what
// stand-in upstreams and callers counted.
package measure

import (
	"context"
	"io"

	"github.com/pkg/errors"
)

// ErrUnknownScenario is returned for a scenario that does not exist.
var ErrUnknownScenario = errors.New("measure: unknown scenario")

// Options choose a measurement.
type Options struct {
	// Scenario is one of Scenarios.
	Scenario string
	// Seconds is the time for both arms together; 0 means DefaultSeconds.
	Seconds int
	// Seed drives arrivals and choices.
	Seed uint64
}

// DefaultSeconds is the time for both arms of a scenario.
const DefaultSeconds = 36

// Run runs both arms of a scenario and writes one line of JSON for each.
func Run(context.Context, Options, io.Writer) error {
	return ErrUnknownScenario
}
