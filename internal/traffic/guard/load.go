package guard

import (
	"sync"
	"time"

	"camphortrail/call"
	"camphortrail/cost"
	"camphortrail/internal/traffic/attempt"
)

// upstreamLoad learns what attempts cost at the upstream, and reports the work that is left there.
// It is safe for concurrent use.
type upstreamLoad struct {
	// enabled says whether the load is learned and reported.
	enabled bool

	mu sync.Mutex
	// held are the times for which attempts hold a slot, and own the ones that the upstream takes
	// itself, without waiting for calls.
	held, own *cost.Model
	speed     cost.Speed
	work      cost.Work
}

// begin records that an attempt begins to run, and returns its handle for end.
func (ul *upstreamLoad) begin(now time.Time, at *attempt.Attempt) (handle int) {
	if !ul.enabled {
		return 0
	}
	ul.mu.Lock()
	defer ul.mu.Unlock()
	return ul.work.Begin(now, ul.held.Estimate(cost.KeyOf(at.Class, len(at.Body))))
}

// end records that an attempt has ended. held is the time of its last send, and own that part of it
// in which it did not wait for calls. Both count only if it succeeded.
func (ul *upstreamLoad) end(now time.Time, at *attempt.Attempt, handle int, held, own time.Duration, succeeded bool) {
	if !ul.enabled {
		return
	}
	ul.mu.Lock()
	defer ul.mu.Unlock()
	ul.work.End(handle)
	if !succeeded {
		return
	}
	ky := cost.KeyOf(at.Class, len(at.Body))
	ul.speed.Add(now, own, ul.own.Estimate(ky).Mean)
	ul.held.Add(now, ky, held)
	ul.own.Add(now, ky, own)
}

// reset discards what was learned, because the upstream is of another service now.
func (ul *upstreamLoad) reset() {
	ul.mu.Lock()
	defer ul.mu.Unlock()
	ul.held, ul.own, ul.speed = cost.NewModel(), cost.NewModel(), cost.Speed{}
}

// reportLoad adds the load of the upstream to an answer, if that is enabled.
func (gd *Guard) reportLoad(now time.Time, at *attempt.Attempt, an *attempt.Answer) {
	ul := &gd.load
	if !ul.enabled {
		return
	}
	if an.Load == nil {
		an.Load = &attempt.Load{}
	}
	waiting := int64(0)
	for imp := at.Importance; imp <= call.MaxImportance; imp++ {
		waiting += gd.loop.waitingOf[imp].Load()
	}
	ul.mu.Lock()
	defer ul.mu.Unlock()
	ahead := ul.work.Remaining(now) + time.Duration(waiting)*ul.held.All().Mean
	an.Load.Slowness, an.Load.Age = ul.speed.Slowness(now)
	an.Load.Ahead = time.Duration(float64(ahead) * an.Load.Slowness / float64(max(gd.loop.limit.Load(), 1)))
}
