package measure

import (
	"encoding/json"
	"io"
	"math"
	"slices"
	"time"

	"camphortrail/call"
	"camphortrail/internal/lab/standin"

	"github.com/pkg/errors"
)

// Figures are what one arm of a scenario showed. All are counted by the
// stand-in upstreams and callers.
type Figures struct {
	Scenario string `json:"scenario"`
	Arm      string `json:"arm"`
	// GoodputRatio is the number of whole root requests completed in time
	// during the trigger, over what the scenario expects.
	GoodputRatio float64 `json:"goodput-ratio"`
	// ImportantRatio is the share of the most important root requests of the
	// trigger that were completed in time.
	ImportantRatio float64 `json:"important-ratio"`
	// RecoveryMS is the time in milliseconds from the end of the trigger until
	// goodput stays normal, or -1.
	RecoveryMS           int64 `json:"recovery-ms"`
	OrderViolations      int   `json:"order-violations"`
	MaxRetriesPerRequest int   `json:"max-retries-per-request"`
	DuplicateEffects     int   `json:"duplicate-effects"`
	MixedAnswers         int   `json:"mixed-answers"`
	FalseNotRun          int   `json:"false-not-run"`
	// Roots, Sends and Runs are the sizes of the sample.
	Roots int `json:"roots"`
	Sends int `json:"sends"`
	Runs  int `json:"runs"`
	// Failures counts the sends that did not bring the whole answer, by class
	// and then by status, outcome and reason.
	Failures map[call.Class]map[string]int `json:"failures,omitempty"`
	// AddedP50MS and AddedP99MS are the latencies that the nodes add, in
	// milliseconds.
	AddedP50MS *float64 `json:"added-p50-ms,omitempty"`
	AddedP99MS *float64 `json:"added-p99-ms,omitempty"`
}

// count fills the figures that all scenarios share. The order of importance
// is checked at the service deepest; expected is in root requests a second.
func count(lg *standin.Log, tl timeline, deepest call.Service, expected float64) Figures {
	return Figures{
		GoodputRatio:         round(goodput(lg, tl, expected)),
		ImportantRatio:       round(importantShare(lg, tl)),
		RecoveryMS:           recovery(lg, tl),
		OrderViolations:      orderViolations(lg, deepest),
		MaxRetriesPerRequest: maxRetries(lg),
		DuplicateEffects:     duplicateEffects(lg),
		MixedAnswers:         mixedAnswers(lg),
		FalseNotRun:          falseNotRun(lg),
		Roots:                len(lg.Roots),
		Sends:                len(lg.Sends),
		Runs:                 len(lg.Runs),
		Failures:             failures(lg),
	}
}

// added returns the difference of a quantile of the latencies of whole roots
// through the nodes and without them, in milliseconds.
func added(through, direct []time.Duration, quantile float64) float64 {
	difference := quantileOf(through, quantile) - quantileOf(direct, quantile)
	return round(float64(difference) / float64(time.Millisecond))
}

// quantileOf returns the least value that the given share of the values does
// not exceed, or 0 without values.
func quantileOf(values []time.Duration, quantile float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	rank := int(math.Ceil(quantile*float64(len(sorted)))) - 1
	return sorted[max(0, rank)]
}

// round keeps four digits after the point.
func round(value float64) float64 { return math.Round(value*1e4) / 1e4 }

func (fg *Figures) write(w io.Writer) error {
	return errors.Wrap(json.NewEncoder(w).Encode(fg), "write figures")
}
