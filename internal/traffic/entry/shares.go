package entry

import (
	"math"
	"time"

	"camphortrail/call"
	"camphortrail/internal/ops/events"
	"camphortrail/internal/traffic/throttle"
)

// setPosition gives a request of a customer its position among those of its importance, and the
// cohort that the whole call tree keeps. The caller holds mu.
func (en *Entry) setPosition(now time.Time, rq *request) {
	if rq.customer == nil {
		return
	}
	rq.position = en.shares.Ask(now, rq.customer.Name, rq.importance, en.rng.Float64())
	rq.positioned = true
	rq.id[len(rq.id)-1] = byte(rq.position.Cohort())
}

// countServed records that an admitted request was served. The caller holds mu.
func (en *Entry) countServed(now time.Time, rq *request) {
	if rq.positioned {
		en.shares.Served(now, rq.customer.Name, rq.importance)
	}
}

// ofCustomer reports whether the request has an importance of its customer that differs from that
// of its route.
func (rq *request) ofCustomer() bool {
	return rq.customer != nil && rq.importance != rq.kind.Importance
}

// ownImportance returns the importance of the request if it is that of its customer and differs
// from that of its route, and zero otherwise.
func (rq *request) ownImportance() call.Importance {
	if rq.ofCustomer() {
		return rq.importance
	}
	return 0
}

// describeShare adds to an event what the customer of a request was owed if the request was refused
// for lack of capacity.
func (en *Entry) describeShare(rq *request, ev *events.Event) {
	if !rq.positioned || rq.admitted || rq.decidedBy != throttle.Grant && rq.decidedBy != throttle.OwnShare {
		return
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	owed, asked := en.shares.Owed(rq.importance, rq.position, float64(rq.share)/100)
	ev.Rule, ev.OwedPerS, ev.AskedPerS = events.FairShare, roundHundredths(owed), roundHundredths(asked)
}

// roundHundredths rounds a number to hundredths.
func roundHundredths(x float64) float64 { return math.Round(100*x) / 100 }
