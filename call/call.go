// Package call defines the names, ids and outcomes that the other packages share: who
// sends a call, where it goes, how important it is and how it ended.
package call

import (
	"encoding/binary"
	"encoding/hex"
	"math/rand/v2"

	"github.com/pkg/errors"
)

// VM names a machine of the deployment.
type VM string

// FailureDomain names a set of VMs that can fail or be cut off together.
type FailureDomain string

// Service names a kind of upstream.
type Service string

// Class names a group of requests of equal importance.
type Class string

// Deployment names a deployment: the nodes, control replicas and upstreams that serve together.
type Deployment string

// Customer names one of the parties that share a deployment. It is empty for requests without
// one.
type Customer string

// Importance orders classes: work of lower importance is refused first.
type Importance uint8

// Bounds of Importance.
const (
	MinImportance Importance = 1
	MaxImportance Importance = 7
)

// Cohort orders the requests of one importance: lower ones are refused first. That of a request is a
// hash of it, or follows from the fair share of its customer; see RequestID.Cohort. Attempts have
// one that also follows from the calls that are lost if they are refused; see Cohort.After.
type Cohort uint8

const (
	// firstBegunCohort is the lowest cohort of attempts whose call trees have completed calls.
	firstBegunCohort = 1 << 7
	// callCohorts is the number of cohorts for each number of completed calls, and maxCalls the
	// number of calls from which more make no difference.
	callCohorts = 8
	maxCalls    = (1<<8 - firstBegunCohort) / callCohorts
)

// After returns the cohort of an attempt of a request of this cohort, for which the attempts above it
// have completed a number of calls. Attempts with more calls precede those with fewer. Among attempts
// with the same number the order is that of the requests, so that a call tree keeps its place.
func (coh Cohort) After(calls int) Cohort {
	if calls <= 0 {
		return coh / (1 << 8 / firstBegunCohort)
	}
	return firstBegunCohort + Cohort(min(calls, maxCalls)-1)*callCohorts + coh/(1<<8/callCohorts)
}

// Depth is the number of calls between the root request and this one.
type Depth uint8

// Occupancy is the number of attempts that run or wait, in percent of those that may run
// at once. Above 100, some wait.
type Occupancy uint16

// FanOut is the number of calls of one class that a request makes of a service over its
// whole call tree, itself included.
type FanOut struct {
	Service Service
	Class   Class
	// Calls is the mean number of calls.
	Calls float64
	// Occupancy is that of the service, or zero if unknown.
	Occupancy Occupancy
}

// Level is an admission level: an importance and a cohort. A guard at some level admits
// work of an equal or higher level. The zero Level admits everything.
type Level uint16

// LevelOf returns the level of work with the given importance and cohort.
func LevelOf(imp Importance, coh Cohort) Level {
	return Level(imp)<<8 | Level(coh)
}

// Importance returns the importance of the level.
func (lv Level) Importance() Importance { return Importance(lv >> 8) }

// Cohort returns the cohort of the level.
func (lv Level) Cohort() Cohort { return Cohort(lv) }

// Outcome says whether a request ran.
type Outcome uint8

// The outcomes.
const (
	// Unknown means that the request may have run.
	Unknown Outcome = iota
	// Done means that the upstream's whole answer was received.
	Done
	// NotRun means that the request did not begin to run on an upstream.
	NotRun
)

// String returns the outcome as it is written in headers.
func (oc Outcome) String() string {
	switch oc {
	case Done:
		return "done"
	case NotRun:
		return "not-run"
	default:
		return "unknown"
	}
}

// ParseOutcome returns the outcome that s names. Any other text is Unknown.
func ParseOutcome(s string) Outcome {
	switch s {
	case "done":
		return Done
	case "not-run":
		return NotRun
	default:
		return Unknown
	}
}

// ErrBadID is returned when a text is not an id.
var ErrBadID = errors.New("call: id is not 32 hexadecimal digits")

// RequestID identifies a root request over its whole call tree.
type RequestID [16]byte

// AttemptID identifies one attempt to run a request on an upstream.
type AttemptID [16]byte

// NewRequestID returns a random id drawn from rng.
func NewRequestID(rng *rand.Rand) RequestID { return randomID(rng) }

// NewAttemptID returns a random id drawn from rng.
func NewAttemptID(rng *rand.Rand) AttemptID { return randomID(rng) }

// String returns the id as 32 hexadecimal digits.
func (id RequestID) String() string { return hex.EncodeToString(id[:]) }

// String returns the id as 32 hexadecimal digits.
func (id AttemptID) String() string { return hex.EncodeToString(id[:]) }

// Cohort returns the cohort of the request.
func (id RequestID) Cohort() Cohort { return Cohort(id[15]) }

// ParseRequestID parses 32 hexadecimal digits. Its error is ErrBadID.
func ParseRequestID(s string) (RequestID, error) { return parseID(s) }

// ParseAttemptID parses 32 hexadecimal digits. Its error is ErrBadID.
func ParseAttemptID(s string) (AttemptID, error) { return parseID(s) }

func randomID(rng *rand.Rand) (id [16]byte) {
	binary.BigEndian.PutUint64(id[:8], rng.Uint64())
	binary.BigEndian.PutUint64(id[8:], rng.Uint64())
	return id
}

func parseID(s string) (id [16]byte, err error) {
	if len(s) != 2*len(id) {
		return id, ErrBadID
	}
	if _, err := hex.Decode(id[:], []byte(s)); err != nil {
		return [16]byte{}, ErrBadID
	}
	return id, nil
}
