package guard

import (
	"sync"
	"time"

	"camphortrail/call"
	"camphortrail/internal/traffic/allocation"
	"camphortrail/internal/traffic/attempt"
	"camphortrail/internal/traffic/link"
	"camphortrail/schema"
)

// rooms divides the slots among the entries.
type rooms struct {
	mu      sync.Mutex
	divider *allocation.Allocator
	pace    allocation.SlotTimeEstimator
}

// took takes in the time for which a call had a slot.
func (ro *rooms) took(now time.Time, class call.Class, took time.Duration) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	ro.pace.Add(now, class, took)
}

// last returns the slots that were wanted, and the room in percent of the slots, at
// the last division.
func (ro *rooms) last() (wanted float64, percent int) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	wanted, part := ro.divider.LastAllocation()
	return wanted, int(100 * part)
}

// AnswerDemand takes in what an entry wants of the upstream, and returns the shares of its
// requests for which there is room. It reports false if the upstream serves
// something else, or nothing.
func (gd *Guard) AnswerDemand(de *attempt.Demand) (allocation.Grant, bool) {
	up := gd.current.Load()
	if up == nil || up.Service != de.Service {
		return allocation.Grant{}, false
	}
	now := time.Now()
	ld := allocation.Load{Slots: int(gd.duty.limit.Load()), Occupancy: call.Occupancy(gd.duty.occupancy.Load())}
	for imp := range ld.Waiting {
		ld.Waiting[imp] = int(gd.duty.waitingOf[imp].Load())
	}
	gd.rooms.mu.Lock()
	defer gd.rooms.mu.Unlock()
	ld.SlotTimes = &gd.rooms.pace
	gd.rooms.divider.SetDemand(now, de.Entry, de.Wants)
	return gd.rooms.divider.Grant(now, ld, de.Wants), true
}

// serveDemand answers the demand of another entry.
func (gd *Guard) serveDemand(lk *link.Link, msg *schema.Demand) {
	de, err := attempt.FromDemandFrame(msg)
	if err != nil {
		lk.Close()
		return
	}
	if an, ok := gd.AnswerDemand(de); ok {
		// An answer that is not taken is asked for again.
		_ = lk.Send(attempt.RoomFrame(de.Service, an))
	}
}
