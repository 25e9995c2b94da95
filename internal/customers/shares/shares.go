// Package shares divides scarce capacity fairly among the customers of a deployment. For each
// importance it learns what each customer asks of an entry and what it is served, and gives each
// request a position among those that compete with it. Whoever has to refuse a part of the
// requests refuses those with the highest positions.
//
// Positions follow max-min fairness without knowing the capacity. Let a be the requests that a
// customer has asked lately and u a uniform number that the request brings along. A request is
// within a water level w if a*u < w, so that min(a, w) requests of each customer are. The position
// of a request is the part of all requests that are within the level at which it is: positions are
// uniform in [0, 1), and for any share s, the requests with positions below s are the max-min fair
// selection of a fraction s of all. MinServedRatio goes before that.
//
// A node sees few requests of most customers. Counts of them are rounded to nothing nowhere: a
// customer without recent requests has a near zero, so that its next request comes first.
package shares

import (
	"math"
	"time"

	"camphortrail/call"
)

const (
	// MinServedRatio is the ratio of the served part of a customer's requests to the served part
	// of all requests that no customer is to stay below.
	MinServedRatio = 0.25
	// targetServedRatio is the ratio at which positions hold a customer far beyond its fair share.
	// It is above MinServedRatio, since an entry sees few requests of a customer and serves them by
	// chance.
	targetServedRatio = 0.4
	// memory is the mean age of the requests that count as recent.
	memory = 5 * time.Second
	// ownWeight is added to the recent requests of a customer, so that requests of customers with
	// hardly any are in random order.
	ownWeight = 0.25
	// priorRequests is the number of requests, served as often as all, that are assumed of each
	// customer when its served part is compared with that of all. A single refused request of a
	// customer with few says little.
	priorRequests = 1
	// uniformWeight is the number of requests with uniform positions that are assumed in each
	// distribution, so that positions are random until something is known.
	uniformWeight = 2
	// maxCustomers bounds the customers of which counts are kept, over all importances. Beyond it,
	// the counts of customers with few recent requests are reused.
	maxCustomers = 4096
	// evictionCandidates is the number of accounts of which the one with the fewest recent requests
	// is reused.
	evictionCandidates = 8
	// minLevelLog2 and levelBinsPerOctave define the bins of water levels: 4 in each octave from
	// 1/16 request on.
	minLevelLog2       = -4
	levelBinsPerOctave = 4
	bins               = 64
	// decayInterval is the interval in which the distributions and sums are aged.
	decayInterval = 100 * time.Millisecond
)

// Controller gives positions to the requests at one entry. It is not safe for concurrent use.
type Controller struct {
	index    map[accountKey]int32
	accounts []account
	// hand is the account at which the search for one to reuse goes on.
	hand  int
	pools [call.MaxImportance + 1]pool
}

// accountKey identifies the requests of a customer of one importance.
type accountKey struct {
	customer   call.Customer
	importance call.Importance
}

// account counts the recent requests of a customer of one importance.
type account struct {
	key           accountKey
	asked, served float64
	agedAt        time.Time
}

// pool holds what is known of all requests of one importance.
type pool struct {
	asked, served float64
	agedAt        time.Time
	// levels is the distribution of the water levels of recent requests, and orders that of
	// the lower of a request's part within its level and its minimum.
	levels, orders histogram
}

// New returns a controller that knows no customers.
func New() *Controller { return &Controller{index: make(map[accountKey]int32)} }

// Position is the place of a request among those of its importance.
type Position struct {
	// Value is uniform in [0, 1) over all requests of customers. Requests with lower values are
	// served first.
	Value float64
	// scale is the water level at which all requests of the customer are served.
	scale float64
}

// Cohort returns the cohort of a request: the highest for the first position.
func (ps Position) Cohort() call.Cohort {
	return call.Cohort(math.MaxUint8 - min(int(ps.Value*(math.MaxUint8+1)), math.MaxUint8))
}

// Ask records a request of a customer and returns its position. The draw is a uniform number in
// [0, 1) that the request brings along.
func (ctl *Controller) Ask(now time.Time, cu call.Customer, imp call.Importance, draw float64) Position {
	imp = min(imp, call.MaxImportance)
	po, ac := &ctl.pools[imp], ctl.account(now, accountKey{cu, imp})
	po.age(now)
	ac.age(now)
	scale := ac.asked + ownWeight
	within := po.levels.add(levelBin(scale*draw), draw)
	order := min(within, draw/targetServedRatio) * po.shortage(ac)
	value := po.orders.add(order*bins, draw)
	po.asked++
	ac.asked++
	return Position{Value: min(value, math.Nextafter(1, 0)), scale: scale}
}

// Served records that a request of a customer was served.
func (ctl *Controller) Served(now time.Time, cu call.Customer, imp call.Importance) {
	imp = min(imp, call.MaxImportance)
	po, ac := &ctl.pools[imp], ctl.account(now, accountKey{cu, imp})
	po.age(now)
	ac.age(now)
	po.served++
	ac.served++
}

// Owed returns the requests per second that a customer is owed while a fraction share of all
// requests of its importance is admitted, and those that it asks, given the position of its last
// request.
func (ctl *Controller) Owed(imp call.Importance, ps Position, share float64) (owed, asked float64) {
	po := &ctl.pools[min(imp, call.MaxImportance)]
	part := max(targetServedRatio*share, min(levelOfBin(po.levels.quantile(share))/ps.scale, 1))
	asked = ps.scale / memory.Seconds()
	return part * asked, asked
}

// account returns the account with the key. If there is none, it creates one, or reuses the one
// with the fewest recent requests of some.
func (ctl *Controller) account(now time.Time, key accountKey) *account {
	if at, ok := ctl.index[key]; ok {
		return &ctl.accounts[at]
	}
	at := len(ctl.accounts)
	if at < maxCustomers {
		ctl.accounts = append(ctl.accounts, account{})
	} else {
		at = ctl.evict(now)
	}
	ctl.accounts[at] = account{key: key, agedAt: now}
	ctl.index[key] = int32(at)
	return &ctl.accounts[at]
}

// evict removes the account with the fewest recent requests of the next ones.
func (ctl *Controller) evict(now time.Time) int {
	fewest := ctl.hand
	for range evictionCandidates {
		ac := &ctl.accounts[ctl.hand]
		if ac.age(now); ac.asked < ctl.accounts[fewest].asked {
			fewest = ctl.hand
		}
		ctl.hand = (ctl.hand + 1) % len(ctl.accounts)
	}
	delete(ctl.index, ctl.accounts[fewest].key)
	return fewest
}

// age lowers the counts by the time since they were aged last.
func (ac *account) age(now time.Time) {
	factor := decayFactor(now.Sub(ac.agedAt))
	if factor < 1 {
		ac.agedAt = now
		ac.asked *= factor
		ac.served *= factor
	}
}

// age lowers the sums and distributions once in each decayInterval.
func (po *pool) age(now time.Time) {
	elapsed := now.Sub(po.agedAt)
	if elapsed < decayInterval {
		return
	}
	po.agedAt = now
	factor := decayFactor(elapsed)
	po.asked *= factor
	po.served *= factor
	po.levels.scale(factor)
	po.orders.scale(factor)
}

// shortage returns a factor for the order of a request of a customer: less than 1 if the served
// part of its recent requests is below targetServedRatio of that of all.
func (po *pool) shortage(ac *account) float64 {
	all := po.served / max(po.asked, 1)
	if all <= 0 {
		return 1
	}
	own := (ac.served + priorRequests*all) / (ac.asked + priorRequests)
	return min(own/(targetServedRatio*all), 1)
}

// decayFactor returns the factor by which counts are lowered after a time.
func decayFactor(elapsed time.Duration) float64 {
	if elapsed <= 0 {
		return 1
	}
	return math.Exp(-float64(elapsed) / float64(memory))
}
