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

// Figures holds the results of one arm of a scenario. The stand-in upstreams and callers
// count them, not the nodes.
type Figures struct {
	Scenario string `json:"scenario"`
	Arm      string `json:"arm"`
	// GoodputRatio is the number of root requests that were completed in time during the
	// trigger, divided by the number that the scenario expects.
	GoodputRatio float64 `json:"goodput-ratio"`
	// ImportantRatio is the share of the most important root requests of the trigger that
	// were completed in time.
	ImportantRatio float64 `json:"important-ratio"`
	// RecoveryMS is the time in milliseconds from the end of the trigger until goodput stays
	// normal, or -1 if it does not.
	RecoveryMS int64 `json:"recovery-ms"`
	// The next five figures are described at the functions that count them.
	OrderViolations      int `json:"order-violations"`
	MaxRetriesPerRequest int `json:"max-retries-per-request"`
	DuplicateEffects     int `json:"duplicate-effects"`
	MixedAnswers         int `json:"mixed-answers"`
	FalseNotRun          int `json:"false-not-run"`
	// Roots, Sends and Runs are the numbers of records that the figures are based on.
	Roots int `json:"roots"`
	Sends int `json:"sends"`
	Runs  int `json:"runs"`
	// Failures counts the sends that did not get the complete answer, by class and then by
	// status, outcome and reason.
	Failures map[call.Class]map[string]int `json:"failures,omitempty"`
	// AddedP50MS and AddedP99MS are the latencies that the nodes add at the median and the
	// 99th percentile, in milliseconds. Only the scenario latency has them.
	AddedP50MS *float64 `json:"added-p50-ms,omitempty"`
	AddedP99MS *float64 `json:"added-p99-ms,omitempty"`
}

// countFigures returns the figures that all scenarios have. The order of importance is
// checked at the service deepest; expected is the expected goodput in root requests per
// second.
func countFigures(lg *standin.Log, tl timeline, deepest call.Service, expected float64) Figures {
	return Figures{
		GoodputRatio:         roundTo4(goodput(lg, tl, expected)),
		ImportantRatio:       roundTo4(importantShare(lg, tl)),
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

// addedLatency returns the quantile of the latencies through the nodes minus that of the
// latencies without them, in milliseconds.
func addedLatency(through, direct []time.Duration, quantile float64) float64 {
	difference := quantileOf(through, quantile) - quantileOf(direct, quantile)
	return roundTo4(float64(difference) / float64(time.Millisecond))
}

// quantileOf returns the smallest value that at least the given share of the values does
// not exceed, or 0 without values.
func quantileOf(values []time.Duration, quantile float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	rank := int(math.Ceil(quantile*float64(len(sorted)))) - 1
	return sorted[max(0, rank)]
}

// roundTo4 rounds to four decimal places.
func roundTo4(value float64) float64 { return math.Round(value*1e4) / 1e4 }

// write writes the figures as a line of JSON.
func (fg *Figures) write(w io.Writer) error {
	return errors.Wrap(json.NewEncoder(w).Encode(fg), "write figures")
}
