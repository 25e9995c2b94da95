package entry

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"

	"camphortrail/call"
	"camphortrail/internal/ops/series"
	"camphortrail/internal/traffic/attempt"
)

// maxNamedCustomers bounds the customers with counters of their own. They are those with most
// requests; the others are counted together.
const maxNamedCustomers = 64

// customerResult is the result of a request for the counters of its customer.
type customerResult uint8

const (
	resultDone customerResult = iota
	resultFailed
	resultRefused
	resultCap
	resultCount
)

// customerResultNames holds the label values of the results.
var customerResultNames = [resultCount]string{"done", "failed", "refused", "cap"}

// customerCount counts the requests of one customer by result.
type customerCount [resultCount]uint64

// sum returns the number of all requests.
func (cc *customerCount) sum() (total uint64) {
	for _, count := range cc {
		total += count
	}
	return total
}

// customerCounters counts the requests of the customers of the configuration in force, and the
// requests that were refused for their keys. The zero value is empty.
type customerCounters struct {
	mu             sync.Mutex
	counts         map[call.Customer]*customerCount
	unknown, stale uint64
}

// add counts a request that has a key, or was refused because it has none. rq may be nil.
func (ccs *customerCounters) add(rq *request, an *attempt.Answer) {
	// Requests of a deployment without customers don't wait for the lock.
	if rq == nil || rq.customer == nil && an.Reason != ReasonKeyUnknown && an.Reason != ReasonKeyStale {
		return
	}
	refused := an.Outcome == call.NotRun
	ccs.mu.Lock()
	defer ccs.mu.Unlock()
	switch {
	case rq.customer != nil:
	case an.Reason == ReasonKeyUnknown:
		ccs.unknown++
		return
	default:
		ccs.stale++
		return
	}
	cc := ccs.counts[rq.customer.Name]
	if cc == nil {
		if ccs.counts == nil {
			ccs.counts = make(map[call.Customer]*customerCount)
		}
		cc = new(customerCount)
		ccs.counts[rq.customer.Name] = cc
	}
	rs := resultDone
	switch {
	case refused && an.Reason == ReasonCap:
		rs = resultCap
	case refused:
		rs = resultRefused
	case an.Failed():
		rs = resultFailed
	}
	cc[rs]++
}

// retain removes the counts of the customers for which retain returns false.
func (ccs *customerCounters) retain(retain func(call.Customer) bool) {
	ccs.mu.Lock()
	defer ccs.mu.Unlock()
	maps.DeleteFunc(ccs.counts, func(name call.Customer, _ *customerCount) bool { return !retain(name) })
}

// write writes the counters in the Prometheus text format. It writes nothing where there are no
// customers.
func (ccs *customerCounters) write(w io.Writer) {
	ccs.mu.Lock()
	defer ccs.mu.Unlock()
	if len(ccs.counts) == 0 && ccs.unknown == 0 && ccs.stale == 0 {
		return
	}
	names := slices.SortedFunc(maps.Keys(ccs.counts), func(a, b call.Customer) int {
		return cmp.Or(cmp.Compare(ccs.counts[b].sum(), ccs.counts[a].sum()), cmp.Compare(a, b))
	})
	var rest customerCount
	for i, name := range names {
		for rs, count := range ccs.counts[name] {
			if i < maxNamedCustomers {
				fmt.Fprintln(w, series.Name("camphortrail_customer_requests_total", "customer", string(name), "result", customerResultNames[rs]), count)
			} else {
				rest[rs] += count
			}
		}
	}
	for rs, count := range rest {
		fmt.Fprintf(w, "camphortrail_other_customers_requests_total{result=%q} %d\n", customerResultNames[rs], count)
	}
	fmt.Fprintf(w, "camphortrail_key_refusals_total{reason=%q} %d\n", ReasonKeyUnknown, ccs.unknown)
	fmt.Fprintf(w, "camphortrail_key_refusals_total{reason=%q} %d\n", ReasonKeyStale, ccs.stale)
}
