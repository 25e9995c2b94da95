package announce

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"camphortrail/call"
	"camphortrail/membership"
)

// ErrStale is returned for a report that is older than what is known of the
// upstream, or is from one that has left.
var ErrStale = errors.New("announce: stale report")

// maxDeparted bounds the instances whose departure is remembered.
const maxDeparted = 64

// Report is an announcement of an upstream that numbers its announcements, so
// that one which arrives late is found out.
type Report struct {
	Upstream membership.Upstream
	// Born is the start of this life of the upstream, and Number grows with
	// each report of one life.
	Born   time.Time
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
	// departed are lives that have ended, and leavers instances that said so
	// before they reported, oldest first.
	departed []life
	leavers  []string
}

// take reports whether a report is the newest of a life that has not ended.
// Lives follow each other by their start, so that a report which was held up
// does not bring an earlier one back.
func (rs *reports) take(rp Report) bool {
	lf := life{instance: rp.Upstream.Instance, born: rp.Born}
	if at := slices.Index(rs.leavers, lf.instance); at >= 0 {
		rs.leavers = slices.Delete(rs.leavers, at, at+1)
		rs.departed = remember(rs.departed, lf)
	}
	switch {
	case slices.Contains(rs.departed, lf):
		return false
	case lf == rs.current:
		if rp.Number <= rs.number {
			return false
		}
	case rp.Born.Before(rs.current.born):
		return false
	}
	rs.current, rs.number, rs.service = lf, rp.Number, rp.Upstream.Service
	return true
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

// Report takes a numbered announcement. It replaces what another instance
// announced before.
func (an *Announce) Report(rp Report) error {
	an.mu.Lock()
	defer an.mu.Unlock()
	before := an.leases.upstreams()
	earlier := an.reports.current
	service := an.reports.service
	if !an.reports.take(rp) {
		return errors.Wrapf(ErrStale, "instance %q, number %d", rp.Upstream.Instance, rp.Number)
	}
	if earlier != an.reports.current && service != "" {
		an.leases.leave(service)
	}
	if ln := an.leases.find(rp.Upstream.Service); ln != nil {
		// The time that is left of a warm-up shrinks with each report; the
		// first one states its length.
		rp.Upstream.WarmUp = ln.upstream.WarmUp
	}
	instance := rp.Upstream.Instance + "/" + rp.Born.String()
	if _, ok := an.leases.announce(an.now(), rp.Upstream, instance); !ok {
		return errors.Wrapf(ErrStale, "no room for service %q", rp.Upstream.Service)
	}
	if an.leases.differs(before) {
		an.onChange(an.leases.upstreams())
	}
	return nil
}

// Depart ends what an instance reported. It takes no more new work.
func (an *Announce) Depart(instance string) {
	an.change(func() bool {
		if !an.reports.depart(instance) {
			return false
		}
		return an.leases.leave(an.reports.service)
	})
}
