package entry

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"camphortrail/call"
	"camphortrail/internal/traffic/attempt"
)

const (
	// maxCustomerCounters is the number of customers with counters of their own. The others share
	// those of otherCustomers, which is no name of a customer.
	maxCustomerCounters = 64
	otherCustomers      = ""
	// rankInterval is the time after which the counters go to the customers with most requests.
	rankInterval = 10 * time.Second
)

// customerResults are the results by which the requests of a customer are counted.
var customerResults = [...]string{"served", "refused", "failed"}

// customerCounters counts the requests of callers by customer and result.
type customerCounters struct {
	mu       sync.Mutex
	byName   map[call.Customer]*customerCounter
	rest     *customerCounter
	rankedAt time.Time
}

// customerCounter holds the counters of one customer.
type customerCounter [len(customerResults)]*metrics.Counter

// newCustomerCounter returns the counters with the name of a customer in a set.
func newCustomerCounter(set *metrics.Set, name string) *customerCounter {
	cc := new(customerCounter)
	for i := range cc {
		cc[i] = set.GetOrCreateCounter(customerMetric(name, i))
	}
	return cc
}

func customerMetric(name string, result int) string {
	return fmt.Sprintf(`camphortrail_customer_requests_total{customer=%q,result=%q}`, name, customerResults[result])
}

// count counts a request of a customer.
func (ccs *customerCounters) count(set *metrics.Set, cu call.Customer, an *attempt.Answer) {
	result := 0
	switch {
	case an.Outcome == call.NotRun:
		result = 1
	case an.Failed() || an.Status == http.StatusInternalServerError:
		result = 2
	}
	ccs.mu.Lock()
	defer ccs.mu.Unlock()
	cc := ccs.byName[cu]
	if cc == nil {
		cc = ccs.add(set, cu)
	}
	cc[result].Inc()
}

// add returns the counters of a customer that has had none: new ones, or those of the rest.
func (ccs *customerCounters) add(set *metrics.Set, cu call.Customer) *customerCounter {
	if len(ccs.byName) < maxCustomerCounters {
		if ccs.byName == nil {
			ccs.byName = make(map[call.Customer]*customerCounter)
		}
		cc := newCustomerCounter(set, string(cu))
		ccs.byName[cu] = cc
		return cc
	}
	if ccs.rest == nil {
		ccs.rest = newCustomerCounter(set, otherCustomers)
	}
	return ccs.rest
}

// rank gives the counters to the customers with most requests, if there have been requests of
// others since the last time and rankInterval has passed. heaviest returns these customers.
func (ccs *customerCounters) rank(now time.Time, set *metrics.Set, heaviest func() []call.Customer) {
	ccs.mu.Lock()
	due := ccs.rest != nil && now.Sub(ccs.rankedAt) >= rankInterval
	ccs.mu.Unlock()
	if !due {
		return
	}
	list := heaviest()
	ccs.mu.Lock()
	defer ccs.mu.Unlock()
	ccs.rankedAt = now
	for cu, cc := range ccs.byName {
		if slices.Contains(list, cu) {
			continue
		}
		// The sums over all customers stay the same.
		for i, counter := range cc {
			ccs.rest[i].AddInt64(int64(counter.Get()))
			set.UnregisterMetric(customerMetric(string(cu), i))
		}
		delete(ccs.byName, cu)
	}
	for _, cu := range list {
		if ccs.byName[cu] == nil && len(ccs.byName) < maxCustomerCounters {
			ccs.add(set, cu)
		}
	}
}

// countCustomer counts a request of a caller by its customer.
func (en *Entry) countCustomer(rq *request, an *attempt.Answer) {
	if en.opt.Metrics != nil && rq != nil && rq.customer != nil {
		en.customers.count(en.opt.Metrics, rq.customer.Name, an)
	}
}

// rankCustomers gives the counters to the customers with most requests.
func (en *Entry) rankCustomers(now time.Time) {
	if en.opt.Metrics == nil {
		return
	}
	en.customers.rank(now, en.opt.Metrics, func() []call.Customer {
		en.mu.Lock()
		defer en.mu.Unlock()
		return en.shares.Heaviest(now, maxCustomerCounters, nil)
	})
}
