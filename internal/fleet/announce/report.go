package announce

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"camphortrail/call"
	"camphortrail/membership"
)

// ErrStaleReport is returned for a report that is older than the last one of the
// upstream, or of an incarnation that has ended.
var ErrStaleReport = errors.New("announce: stale report")

// ErrSuperseded is returned for a report of an upstream in whose place the settings name another
// one since.
var ErrSuperseded = errors.New("announce: the settings name another upstream")

// ErrServiceChanged is returned for a report with another service than earlier reports of
// the same incarnation.
var ErrServiceChanged = errors.New("announce: service changed")

// ErrNumberOutOfRange is returned for a report whose number is too far above the last
// one.
var ErrNumberOutOfRange = errors.New("announce: number out of range")

const (
	// MaxReportNumber is the highest number of a report. It is the largest whole number
	// that every JSON implementation can represent exactly.
	MaxReportNumber = 1<<53 - 1
	// maxNumberStep is how far the number of a report may be above the last one, while
	// the upstream has a lease or is leaving. If a number far too high were accepted, the
	// next correct ones would be stale.
	maxNumberStep = 1 << 20
	// MaxClockSkew is how far the start time of an upstream may be ahead of the node's
	// clock, since clocks may be set back.
	MaxClockSkew = 24 * time.Hour

	// maxEnded bounds how many ended incarnations, and how many ended instances, are
	// remembered.
	maxEnded = 64
)

// Report is a numbered announcement. The number makes it possible to detect a report that
// arrives late.
type Report struct {
	Upstream membership.Upstream
	// StartTime is the start of this incarnation of the upstream. Number increases with
	// each report of an incarnation.
	StartTime time.Time
	Number    uint64
}

// incarnation identifies one run of an upstream instance.
type incarnation struct {
	instance  string
	startTime time.Time
}

// incarnation returns the incarnation that makes the report.
func (rp Report) incarnation() incarnation {
	return incarnation{instance: rp.Upstream.Instance, startTime: rp.StartTime}
}

// reportHistory holds what earlier reports said. The zero value holds no report.
type reportHistory struct {
	current    incarnation
	lastNumber uint64
	service    call.Service
	// leaving is set once the current incarnation has said that it leaves or endInstance
	// has ended it.
	leaving bool
	// ended holds incarnations that have ended. endedInstances holds instances that ended
	// before their first report, with the time of their end in place of the start. Both are
	// ordered from oldest to newest.
	ended, endedInstances []incarnation
	// departures are those that the upstreams of this node have reported, the newest first,
	// with those of earlier runs of the node. A restart of the node must not end their effect.
	departures []membership.Departure
}

// departed reports whether an incarnation has left by one of the departures.
func (rh *reportHistory) departed(inc incarnation) bool {
	return slices.ContainsFunc(rh.departures, func(dp membership.Departure) bool { return dp.Covers(inc.instance, inc.startTime) })
}

// depart adds a departure that was reported at the time now. It is the newest one also if the
// clock was set back, since only the newest are retained. One without a start covers the runs before
// its time, and gets a later one only if it would be dropped at once.
func (rh *reportHistory) depart(now time.Time, inc incarnation) {
	at, count := now.Truncate(time.Millisecond), len(rh.departures)
	dropped := count >= membership.MaxDepartures && !at.After(rh.departures[count-1].At)
	if count > 0 && !at.After(rh.departures[0].At) && (!inc.startTime.IsZero() || dropped) {
		at = rh.departures[0].At.Add(time.Millisecond)
	}
	rh.departures = membership.AddDeparture(rh.departures, membership.Departure{
		Instance: membership.HashInstance(inc.instance), StartTime: inc.startTime, At: at,
	})
}

// restore adds departures that earlier runs of the node have acknowledged. It reports whether
// the current incarnation has left by one of them.
func (rh *reportHistory) restore(dps []membership.Departure) (ended bool) {
	for _, dp := range dps {
		rh.departures = membership.AddDeparture(rh.departures, dp)
	}
	if rh.current.instance == "" || rh.leaving || !rh.departed(rh.current) {
		return false
	}
	rh.ended = appendBounded(rh.ended, rh.current)
	rh.leaving = true
	return true
}

// accept records a report, or returns an error unless it is the newest report of an
// incarnation that has not ended. hasLease says whether the current incarnation still has
// a lease. A report whose start time is before that of the current incarnation is refused,
// so that a delayed report does not restore an earlier incarnation. If the lease has ended
// and the current incarnation did not say that it leaves, start time, number and service
// are not compared with it, because its start time or number may have been wrong.
func (rh *reportHistory) accept(now time.Time, rp Report, hasLease bool) error {
	inc := rp.incarnation()
	if at := slices.IndexFunc(rh.endedInstances, func(ended incarnation) bool { return ended.instance == inc.instance }); at >= 0 {
		if !inc.startTime.After(rh.endedInstances[at].startTime) {
			rh.ended = appendBounded(rh.ended, inc)
		}
		rh.endedInstances = slices.Delete(rh.endedInstances, at, at+1)
	}
	blocks := hasLease || rh.leaving
	switch {
	case slices.Contains(rh.ended, inc):
		return ErrStaleReport
	case inc != rh.current && !rp.Upstream.Draining && rh.departed(inc):
		return ErrStaleReport
	case !blocks:
	case inc != rh.current:
		if rp.StartTime.Before(rh.current.startTime) {
			return ErrStaleReport
		}
	case rp.Upstream.Service != rh.service:
		return errors.Wrapf(ErrServiceChanged, "%.*q, before %q", membership.MaxNameBytes, rp.Upstream.Service, rh.service)
	case rp.Number <= rh.lastNumber:
		return ErrStaleReport
	case rp.Number-rh.lastNumber > maxNumberStep:
		return errors.Wrapf(ErrNumberOutOfRange, "last %d", rh.lastNumber)
	}
	rh.current, rh.lastNumber, rh.service = inc, rp.Number, rp.Upstream.Service
	rh.leaving = rp.Upstream.Draining
	if rh.leaving {
		rh.depart(now, inc)
	}
	return nil
}

// endInstance ends the current incarnation of an instance, and reports whether there is
// one. If there is none, it remembers the instance: a node that has just started may
// receive a delayed report of an instance that has ended already.
func (rh *reportHistory) endInstance(now time.Time, instance string) bool {
	if rh.current.instance != instance {
		if !slices.ContainsFunc(rh.ended, func(inc incarnation) bool { return inc.instance == instance }) {
			end := incarnation{instance: instance, startTime: now}
			rh.endedInstances = appendBounded(rh.endedInstances, end)
			rh.depart(now, incarnation{instance: instance})
		}
		return false
	}
	rh.ended = appendBounded(rh.ended, rh.current)
	rh.depart(now, rh.current)
	rh.leaving = true
	return true
}

// endOther ends an incarnation that is not the current one. A departure with a start later than
// that of the current incarnation would end this one, too.
func (rh *reportHistory) endOther(now time.Time, inc incarnation) {
	rh.ended = appendBounded(rh.ended, inc)
	if inc.startTime.After(rh.current.startTime) && rh.current.instance != "" {
		inc.startTime = time.Time{}
	}
	rh.depart(now, inc)
}

// appendBounded appends item to list unless it is in it, and removes the oldest item if
// there are more than maxEnded.
func appendBounded[T comparable](list []T, item T) []T {
	if slices.Contains(list, item) {
		return list
	}
	if list = append(list, item); len(list) > maxEnded {
		list = slices.Delete(list, 0, 1)
	}
	return list
}

// AddReport records a numbered announcement. It replaces the announcement of any earlier
// incarnation, also of another instance. The error matches ErrStaleReport, ErrSuperseded,
// ErrServiceChanged, ErrNumberOutOfRange or ErrRecallPending.
func (rg *Registry) AddReport(rp Report) error {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	rp.Upstream.StartTime = rp.StartTime
	if !rg.expected.fits(rp.Upstream) {
		if rp.Upstream.Draining {
			// It gets no work any more, which is all that it asks for.
			return nil
		}
		return errors.Wrapf(ErrSuperseded, "instance %q of service %.*q", rp.Upstream.Instance, membership.MaxNameBytes, rp.Upstream.Service)
	}
	before := rg.leases.upstreams()
	earlier := rg.reports.current
	service := rg.reports.service
	if !rp.Upstream.Draining && !rg.recall.admits(rp.incarnation(), rp.Number) {
		return errors.Wrapf(ErrRecallPending, "instance %q, number %d", rp.Upstream.Instance, rp.Number)
	}
	if err := rg.reports.accept(rg.now(), rp, rg.leases.find(service) != nil); err != nil {
		return errors.Wrapf(err, "instance %q, number %d", rp.Upstream.Instance, rp.Number)
	}
	if earlier != rg.reports.current && service != "" {
		rg.leases.remove(service)
	}
	if ln := rg.leases.find(rp.Upstream.Service); ln != nil {
		// Reports state the remaining warm-up time, which decreases. The lease retains
		// the full length, which the first report states.
		rp.Upstream.WarmUp = ln.upstream.WarmUp
	}
	instance := rp.Upstream.Instance + "/" + rp.StartTime.String()
	if _, ok := rg.leases.announce(rg.now(), rp.Upstream, instance); !ok {
		return errors.Wrapf(ErrStaleReport, "no room for service %q", rp.Upstream.Service)
	}
	if rg.leases.changedFrom(before) {
		rg.onChange(rg.leases.upstreams())
	}
	if rp.Upstream.Draining {
		select {
		case rg.drains <- struct{}{}:
		default:
		}
	}
	return nil
}

// EndInstance ends the current incarnation of an instance and removes its upstream, which
// receives no new work.
func (rg *Registry) EndInstance(instance string) { rg.EndRun(instance, time.Time{}) }

// EndRun is EndInstance for the incarnation that started at a time. A later one of the same
// instance goes on.
func (rg *Registry) EndRun(instance string, startTime time.Time) {
	rg.update(func() bool {
		if inc := (incarnation{instance, startTime}); !startTime.IsZero() && inc != rg.reports.current {
			rg.reports.endOther(rg.now(), inc)
			return false
		}
		if !rg.reports.endInstance(rg.now(), instance) {
			return false
		}
		return rg.leases.remove(rg.reports.service)
	})
}
