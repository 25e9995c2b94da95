package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"camphortrail/schema"
)

// MaxDepartures is the number of departures in a record. Older ones follow from them, as a
// departure covers all runs that started before.
const MaxDepartures = 3

// InstanceHash is a hash of the id of an upstream.
type InstanceHash uint64

// HashInstance returns the hash of the id of an upstream.
func HashInstance(instance string) InstanceHash { return InstanceHash(xxhash.Sum64String(instance)) }

// Departure says that an upstream leaves or has left. A node that has acknowledged it must not
// forget it, so other processes hold it too.
type Departure struct {
	Instance InstanceHash
	// StartTime is the start of the upstream, or zero if it is not known.
	StartTime time.Time
	// At is the time at which the node learned of the departure.
	At time.Time
}

// Covers reports whether a run of an upstream has ended by the departure. Runs that started
// before have ended, too, unless their start is not known. If the start of the upstream that left
// is not known, its runs before the departure have ended.
func (dp Departure) Covers(instance string, startTime time.Time) bool {
	same := dp.Instance == HashInstance(instance)
	switch {
	case startTime.IsZero():
		return same
	case dp.StartTime.IsZero():
		return same && !startTime.After(dp.At)
	}
	return startTime.Before(dp.StartTime) || same && startTime.Equal(dp.StartTime)
}

// AddDeparture returns the departures with another one, the newest first, and at most
// MaxDepartures of them. A second departure of the same run changes nothing. One of an upstream
// whose start is not known replaces earlier ones, which cover less.
func AddDeparture(dps []Departure, dp Departure) []Departure {
	if slices.ContainsFunc(dps, func(known Departure) bool {
		return known.Instance == dp.Instance && known.StartTime.Equal(dp.StartTime) && (!dp.StartTime.IsZero() || !known.At.Before(dp.At))
	}) {
		return dps
	}
	dps = slices.DeleteFunc(slices.Clone(dps), func(known Departure) bool {
		return dp.StartTime.IsZero() && known.StartTime.IsZero() && known.Instance == dp.Instance
	})
	dps = append(dps, dp)
	slices.SortStableFunc(dps, func(a, b Departure) int { return cmp.Or(b.At.Compare(a.At), b.StartTime.Compare(a.StartTime)) })
	return dps[:min(len(dps), MaxDepartures)]
}

// mergeDepartures returns the departures of both lists.
func mergeDepartures(dps, others []Departure) []Departure {
	for _, dp := range others {
		dps = AddDeparture(dps, dp)
	}
	return dps
}

// equalDepartures reports whether both lists hold the same departures.
func equalDepartures(dps, others []Departure) bool {
	return slices.EqualFunc(dps, others, func(a, b Departure) bool {
		return a.Instance == b.Instance && a.StartTime.Equal(b.StartTime) && a.At.Equal(b.At)
	})
}

// encodeDepartures returns the departures as messages.
func encodeDepartures(dps []Departure) []*schema.Departure {
	var msgs []*schema.Departure
	for _, dp := range dps {
		msgs = append(msgs, &schema.Departure{Instance: uint64(dp.Instance), StartMs: encodeTime(dp.StartTime), AtMs: encodeTime(dp.At)})
	}
	return msgs
}

// decodeDepartures returns the departures in msgs, without those whose times are out of range.
func decodeDepartures(msgs []*schema.Departure) []Departure {
	var dps []Departure
	for _, msg := range msgs[:min(len(msgs), MaxDepartures)] {
		if msg.GetStartMs() <= maxIncarnation && msg.GetAtMs() <= maxIncarnation {
			dps = AddDeparture(dps, Departure{
				Instance: InstanceHash(msg.GetInstance()), StartTime: decodeTime(msg.GetStartMs()), At: decodeTime(msg.GetAtMs()),
			})
		}
	}
	return dps
}

// encodeTime returns a time in Unix milliseconds, or 0 for a time that is zero or out of range.
func encodeTime(at time.Time) uint64 {
	if ms := at.UnixMilli(); ms > 0 && ms <= maxIncarnation {
		return uint64(ms)
	}
	return 0
}

// decodeTime returns the time of encodeTime.
func decodeTime(ms uint64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(int64(ms))
}
