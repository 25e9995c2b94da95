// Package cost learns how much work requests are, how quick an upstream is at present, and how
// much work is left at it. Its types are state machines without clock and I/O, and none is safe for
// concurrent use.
package cost

import (
	"math/bits"
	"time"

	"camphortrail/call"
	"camphortrail/internal/traffic/decay"
)

const (
	// costHalfLife is the time in which the weight of past requests halves: much longer than the
	// phases in which an upstream is slow, which are not costs of a request.
	costHalfLife = 10 * time.Second
	// minSamples is the weight of samples that a mean keeps, however old they are.
	minSamples = 32
	// maxKeys bounds the keys with an estimate of their own.
	maxKeys = 256
	// sizes is the number of ranges of body sizes. Each one but the first spans a factor of four,
	// from smallBytes on.
	sizes      = 6
	smallBytes = 1 << 10
	// tailQuantile is the share of requests that cost less than the tail, and tailStep scales the
	// steps of its estimate.
	tailQuantile = 0.95
	tailStep     = 0.1
)

// Key identifies requests that are expected to cost alike.
type Key struct {
	Class call.Class
	size  uint8
}

// KeyOf returns the key of requests of a class with a body of some bytes.
func KeyOf(class call.Class, bodyBytes int) Key {
	size := (bits.Len(uint(bodyBytes)/smallBytes) + 1) / 2
	return Key{Class: class, size: uint8(min(size, sizes-1))}
}

// Estimate is the expected cost of a request: the mean, and the tail, which 95 % stay below. Both
// are zero if nothing is known.
type Estimate struct{ Mean, Tail time.Duration }

// Model estimates costs by key from those of earlier requests.
type Model struct {
	keys map[Key]*estimate
	all  estimate
}

// NewModel returns a model that knows nothing.
func NewModel() *Model { return &Model{keys: make(map[Key]*estimate)} }

// Add records what a request cost.
func (md *Model) Add(now time.Time, ky Key, cost time.Duration) {
	md.all.add(now, cost)
	es := md.keys[ky]
	if es == nil {
		if len(md.keys) >= maxKeys {
			return
		}
		es = &estimate{}
		md.keys[ky] = es
	}
	es.add(now, cost)
}

// Estimate returns the expected cost of a request, or that of all requests if there was none of its
// key.
func (md *Model) Estimate(ky Key) Estimate {
	if es := md.keys[ky]; es != nil {
		return es.value()
	}
	return md.all.value()
}

// All returns the expected cost of a request of which nothing is known.
func (md *Model) All() Estimate { return md.all.value() }

// Retain removes the keys of classes for which retain returns false.
func (md *Model) Retain(retain func(call.Class) bool) {
	for ky := range md.keys {
		if !retain(ky.Class) {
			delete(md.keys, ky)
		}
	}
}

// estimate holds weighted sums of costs in nanoseconds, and the estimated tail.
type estimate struct {
	sum, count, tail float64
	clock            decay.Clock
}

func (es *estimate) add(now time.Time, cost time.Duration) {
	sample := float64(max(cost, 1))
	if factor := es.clock.Factor(now, costHalfLife); es.count > minSamples {
		factor = max(factor, minSamples/es.count)
		es.sum *= factor
		es.count *= factor
	}
	es.sum += sample
	es.count++
	switch {
	case es.tail == 0:
		es.tail = sample
	case sample > es.tail:
		es.tail = min(es.tail*(1+tailStep*tailQuantile), sample)
	default:
		es.tail *= 1 - tailStep*(1-tailQuantile)
	}
}

func (es *estimate) value() Estimate {
	if es.count == 0 {
		return Estimate{}
	}
	mean := es.sum / es.count
	return Estimate{Mean: time.Duration(mean), Tail: time.Duration(max(mean, es.tail))}
}
