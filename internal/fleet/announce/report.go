package announce

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"camphortrail/call"
	"camphortrail/membership"
)

// ErrStaleReport is returned for a report that is older than what is known of the
// upstream, or is from one that has left.
var ErrStaleReport = errors.New("announce: stale report")

// ErrServiceChanged is returned for a report that names another service than the one
// that the same life of the upstream has reported.
var ErrServiceChanged = errors.New("announce: service changed")

// ErrNumberOutOfRange is returned for a report whose number cannot follow the last one.
var ErrNumberOutOfRange = errors.New("announce: number out of range")

const (
	// MaxReportNumber is the highest number of a report, the largest for which all
	// writers of JSON have a whole number of their own.
	MaxReportNumber = 1<<53 - 1
	// maxStep is how far the number of a report may be above the last one of
	// an upstream that is still known.
	maxStep = 1 << 20
	// MaxClockSkew is how far the start of an upstream may be ahead of the clock
	// of the node, as clocks are set back.
	MaxClockSkew = 24 * time.Hour

	// maxDeparted bounds the instances whose departure is remembered.
	maxDeparted = 64
)

// Report is an announcement of an upstream that numbers its announcements, so
// that one which arrives late is found out.
type Report struct {
	Upstream membership.Upstream
	// StartTime is the start of this life of the upstream, and Number grows with
	// each report of one life.
	StartTime   time.Time
	Number uint64
}

// life is one life of an upstream.
type life struct {
	instance string
	born     time.Time
}

// reports is what is known of the upstream that reports. The zero value knows
// none.
type reports struct {
	current life
	number  uint64
	service call.Service
	// leaving is set once the current life has said that it leaves.
	leaving bool
	// departed are lives that have ended, and leavers instances that said so
	// before they reported, oldest first.
	departed []life
	leavers  []string
}

// take fails unless a report is the newest of a life that has not ended. Lives
// follow each other by their start, so that a report which was held up does not
// bring an earlier one back. A life that is silent until it is forgotten, and
// did not say that it leaves, holds nobody off: its start or number may be
// wrong.
func (rs *reports) take(rp Report, known bool) error {
	lf := life{instance: rp.Upstream.Instance, born: rp.StartTime}
	if at := slices.Index(rs.leavers, lf.instance); at >= 0 {
		rs.leavers = slices.Delete(rs.leavers, at, at+1)
		rs.departed = remember(rs.departed, lf)
	}
	holds := known || rs.leaving
	switch {
	case slices.Contains(rs.departed, lf):
		return ErrStaleReport
	case !holds:
	case lf != rs.current:
		if rp.StartTime.Before(rs.current.born) {
			return ErrStaleReport
		}
	case rp.Upstream.Service != rs.service:
		return errors.Wrapf(ErrServiceChanged, "%.*q, before %q", membership.MaxNameBytes, rp.Upstream.Service, rs.service)
	case rp.Number <= rs.number:
		return ErrStaleReport
	case rp.Number-rs.number > maxStep:
		return errors.Wrapf(ErrNumberOutOfRange, "last %d", rs.number)
	}
	rs.current, rs.number, rs.service = lf, rp.Number, rp.Upstream.Service
	rs.leaving = rp.Upstream.Draining
	return nil
}

// depart ends the present life of an instance, and reports whether it has one. A
// node that has just started may not know it yet, and get a report that was held
// up later.
func (rs *reports) depart(instance string) bool {
	if rs.current.instance != instance {
		if !slices.ContainsFunc(rs.departed, func(lf life) bool { return lf.instance == instance }) {
			rs.leavers = remember(rs.leavers, instance)
		}
		return false
	}
	rs.departed = remember(rs.departed, rs.current)
	rs.leaving = true
	return true
}

// remember adds to what has departed, unless it is there, and forgets the oldest
// beyond the bound.
func remember[T comparable](list []T, item T) []T {
	if slices.Contains(list, item) {
		return list
	}
	if list = append(list, item); len(list) > maxDeparted {
		list = slices.Delete(list, 0, 1)
	}
	return list
}

// AddReport takes a numbered announcement. It replaces what another instance
// announced before.
func (an *Registry) AddReport(rp Report) error {
	an.mu.Lock()
	defer an.mu.Unlock()
	before := an.leases.upstreams()
	earlier := an.reports.current
	service := an.reports.service
	if err := an.reports.take(rp, an.leases.find(service) != nil); err != nil {
		return errors.Wrapf(err, "instance %q, number %d", rp.Upstream.Instance, rp.Number)
	}
	if earlier != an.reports.current && service != "" {
		an.leases.leave(service)
	}
	if ln := an.leases.find(rp.Upstream.Service); ln != nil {
		// The time that is left of a warm-up shrinks with each report; the
		// first one states its length.
		rp.Upstream.WarmUp = ln.upstream.WarmUp
	}
	instance := rp.Upstream.Instance + "/" + rp.StartTime.String()
	if _, ok := an.leases.announce(an.now(), rp.Upstream, instance); !ok {
		return errors.Wrapf(ErrStaleReport, "no room for service %q", rp.Upstream.Service)
	}
	if an.leases.differs(before) {
		an.onChange(an.leases.upstreams())
	}
	return nil
}

// EndInstance ends what an instance reported. It takes no more new work.
func (an *Registry) EndInstance(instance string) {
	an.change(func() bool {
		if !an.reports.depart(instance) {
			return false
		}
		return an.leases.leave(an.reports.service)
	})
}
