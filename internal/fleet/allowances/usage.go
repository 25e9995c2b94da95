package allowances

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"camphortrail/call"
	"camphortrail/internal/ops/series"
)

const (
	// maxMetricCustomers is the number of customers with counters of their own in the metrics.
	maxMetricCustomers = 64
	// maxUsageCustomers bounds the customers that are counted one by one. Requests of further
	// ones are counted together.
	maxUsageCustomers = 1 << 14
	// ceasedTime is the time without refusals after which a customer is no longer refused.
	ceasedTime = 10 * time.Second
	// maxLogLines is the number of lines in each logWindow on customers that begin or cease to
	// be refused.
	maxLogLines = 20
	logWindow   = time.Minute
)

// restName is the customer label of the counters of all customers without their own.
const restName = "(rest)"

// customerUsage counts the requests of one customer.
type customerUsage struct {
	name                     call.Customer
	taken, refused, returned uint64
	// limited is true while the customer is refused. since is the time of the first of these
	// refusals, last that of the latest, and before the number of refusals before them.
	limited     bool
	since, last time.Time
	before      uint64
}

// total returns the number of all requests of the customer.
func (cu *customerUsage) total() uint64 { return cu.taken + cu.refused }

// usage counts requests by customer.
type usage struct {
	log       log.Interface
	customers map[call.Customer]*customerUsage
	rest      customerUsage
	// limited holds the customers that are refused.
	limited []*customerUsage
	// lines counts the log lines since windowStart, and left those that were left out.
	windowStart time.Time
	lines, left int
}

// newUsage returns counters that are 0. Without lg, nothing is logged.
func newUsage(lg log.Interface) usage {
	return usage{log: lg, customers: make(map[call.Customer]*customerUsage), rest: customerUsage{name: restName}}
}

// of returns the counters of a customer.
func (us *usage) of(name call.Customer) *customerUsage {
	if cu := us.customers[name]; cu != nil {
		return cu
	}
	if len(us.customers) >= maxUsageCustomers {
		return &us.rest
	}
	cu := &customerUsage{name: name}
	us.customers[name] = cu
	return cu
}

// take counts a request that may start.
func (us *usage) take(name call.Customer) { us.of(name).taken++ }

// giveBack counts a request that was taken and did not run.
func (us *usage) giveBack(name call.Customer) { us.of(name).returned++ }

// refuse counts a refused request. The first one of a customer is logged.
func (us *usage) refuse(now time.Time, name call.Customer) {
	cu := us.of(name)
	if !cu.limited {
		cu.limited, cu.since, cu.before = true, now, cu.refused
		us.limited = append(us.limited, cu)
		us.logLine(now, log.Fields{"customer": cu.name}, "requests of a customer are refused by its usage cap")
	}
	cu.refused++
	cu.last = now
}

// logCeased logs the customers that are no longer refused.
func (us *usage) logCeased(now time.Time) {
	us.limited = slices.DeleteFunc(us.limited, func(cu *customerUsage) bool {
		if now.Sub(cu.last) < ceasedTime {
			return false
		}
		cu.limited = false
		us.logLine(now, log.Fields{
			"customer": cu.name, "refused": cu.refused - cu.before, "seconds": cu.last.Sub(cu.since).Seconds(),
		}, "requests of a customer are no longer refused by its usage cap")
		return true
	})
}

// logLine writes a log line, or counts it if there were too many.
func (us *usage) logLine(now time.Time, fields log.Fields, text string) {
	if us.log == nil {
		return
	}
	if now.Sub(us.windowStart) >= logWindow {
		us.windowStart, us.lines = now, 0
	}
	if us.lines >= maxLogLines {
		us.left++
		return
	}
	us.lines++
	if us.left > 0 {
		fields["lines-left-out"] = us.left
		us.left = 0
	}
	us.log.WithFields(fields).Info(text)
}

// registerMetrics adds the counters to the set.
func (al *Allowances) registerMetrics(set *metrics.Set) {
	if set != nil {
		set.RegisterMetricsWriter(al.writeMetrics)
	}
}

// writeMetrics writes the counters of the customers with most requests, and the sums of all
// others. These sums fall when a customer gets counters of its own.
func (al *Allowances) writeMetrics(w io.Writer) {
	al.mu.Lock()
	list := make([]customerUsage, 0, len(al.usage.customers))
	for _, cu := range al.usage.customers {
		list = append(list, *cu)
	}
	rest := al.usage.rest
	al.mu.Unlock()
	slices.SortFunc(list, func(a, b customerUsage) int {
		return cmp.Or(cmp.Compare(b.total(), a.total()), cmp.Compare(a.name, b.name))
	})
	for _, cu := range list[min(len(list), maxMetricCustomers):] {
		rest.taken, rest.refused, rest.returned = rest.taken+cu.taken, rest.refused+cu.refused, rest.returned+cu.returned
	}
	for _, cu := range append(list[:min(len(list), maxMetricCustomers)], rest) {
		for result, n := range map[string]uint64{"taken": cu.taken, "refused": cu.refused, "returned": cu.returned} {
			fmt.Fprintln(w, series.Name("camphortrail_allowance_requests_total", "customer", string(cu.name), "result", result), n)
		}
	}
}
