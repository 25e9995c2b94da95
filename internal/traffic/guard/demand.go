package guard

import (
	"math"
	"sync"
	"time"

	"camphortrail/call"
	"camphortrail/internal/ops/events"
	"camphortrail/internal/traffic/allocation"
	"camphortrail/internal/traffic/attempt"
	"camphortrail/internal/traffic/link"
	"camphortrail/schema"
)

// slotAllocation divides the slots of the upstream among the entries, by their demands and
// by the time for which calls hold a slot.
type slotAllocation struct {
	mu        sync.Mutex
	allocator *allocation.Allocator
	slotTimes allocation.SlotTimeEstimator
}

// addSlotTime adds the time for which a call of a class held a slot.
func (sa *slotAllocation) addSlotTime(now time.Time, class call.Class, took time.Duration) {
	sa.mu.Lock()
	defer sa.mu.Unlock()
	sa.slotTimes.Add(now, class, took)
}

// slotTime returns how long a call of a class holds a slot.
func (sa *slotAllocation) slotTime(class call.Class) time.Duration {
	sa.mu.Lock()
	defer sa.mu.Unlock()
	return sa.slotTimes.Estimate(class)
}

// lastAllocation returns the number of slots demanded at the last allocation, and the
// capacity that was available to the least important rank, in percent of the slots.
func (sa *slotAllocation) lastAllocation() (demanded float64, percent int) {
	sa.mu.Lock()
	defer sa.mu.Unlock()
	demanded, part := sa.allocator.LastAllocation()
	return demanded, int(100 * part)
}

// ranks returns the last allocation by rank.
func (sa *slotAllocation) ranks() (list []events.RankUsage) {
	sa.mu.Lock()
	defer sa.mu.Unlock()
	for _, ra := range sa.allocator.LastRanks() {
		list = append(list, events.RankUsage{
			Rank: ra.Rank.String(), Slots: math.Round(10*ra.Slots) / 10, SharePercent: int(100 * ra.Share),
			Successes: math.Round(ra.Successes), FirstSends: math.Round(ra.FirstSends),
		})
	}
	return list
}

// AnswerDemand records the demand of an entry, and returns the shares of its requests for
// which the upstream has capacity. It returns false if there is no upstream, or one of
// another service.
func (gd *Guard) AnswerDemand(de *attempt.Demand) (allocation.Grant, bool) {
	tg := gd.target.Load()
	if tg == nil || tg.upstream.Service != de.Service {
		return allocation.Grant{}, false
	}
	now := time.Now()
	ld := allocation.Load{Slots: int(gd.loop.limit.Load()), Occupancy: call.Occupancy(gd.loop.occupancy.Load())}
	for imp := range ld.Waiting {
		ld.Waiting[imp] = int(gd.loop.waitingOf[imp].Load())
	}
	if tg.endsSoon(now) {
		ld.Slots = 1
	}
	gd.slots.mu.Lock()
	defer gd.slots.mu.Unlock()
	ld.SlotTimes = &gd.slots.slotTimes
	gd.slots.allocator.SetDemand(now, de.Entry, de.Wants)
	return gd.slots.allocator.Grant(now, ld, de.Wants), true
}

// serveDemand answers the demand of an entry on another node. It closes the link if the
// message is malformed.
func (gd *Guard) serveDemand(lk *link.Link, msg *schema.Demand) {
	de, err := attempt.FromDemandFrame(msg)
	if err != nil {
		lk.Close()
		return
	}
	answer := gd.AnswerDemand
	if de.Aggregate {
		if answer = gd.aggregateDemand; answer == nil {
			return
		}
	}
	if an, ok := answer(de); ok {
		// If the answer is lost, the next demand gets one.
		_ = lk.Send(attempt.GrantFrame(de.Service, an))
	}
}
