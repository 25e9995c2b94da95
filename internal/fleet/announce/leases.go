package announce

import (
	"slices"
	"time"

	"camphortrail/call"
	"camphortrail/membership"
)

const (
	// RepeatInterval is how often an upstream is asked to repeat its
	// announcement.
	RepeatInterval = 2 * time.Second
	// LeaseDuration is how long an announcement holds. An upstream that does not
	// repeat it counts as draining from then on, and as gone after two.
	LeaseDuration = 6 * time.Second
)

// lease is the announcement of one upstream and how long it holds.
type lease struct {
	upstream membership.Upstream
	instance string
	// draining is set by the upstream or an operator, lapsed by silence.
	draining bool
	lapsed   bool
	renewed  time.Time
}

// leases are the announcements of the upstreams beside a node, by service.
// The zero value has none. Methods report whether the announced set changes.
type leases struct {
	list []lease
	// stopping is set while the node itself takes no new work.
	stopping bool
}

func (ls *leases) find(svc call.Service) *lease {
	for i := range ls.list {
		if ls.list[i].upstream.Service == svc {
			return &ls.list[i]
		}
	}
	return nil
}

// announce renews or adds a lease. Draining lasts until the upstream resumes,
// leaves or announces another instance.
func (ls *leases) announce(now time.Time, up membership.Upstream, instance string) (changed, ok bool) {
	before := ls.upstreams()
	ln := ls.find(up.Service)
	if ln == nil {
		if len(ls.list) >= membership.MaxUpstreams {
			return false, false
		}
		ls.list = append(ls.list, lease{})
		ln = &ls.list[len(ls.list)-1]
	}
	draining := up.Draining || ln.draining && ln.instance == instance
	up.Draining = false
	*ln = lease{upstream: up, instance: instance, draining: draining, renewed: now}
	return ls.differs(before), true
}

// drain marks the upstream of a service as draining, or all when svc is empty.
func (ls *leases) drain(svc call.Service, draining bool) (changed bool) {
	before := ls.upstreams()
	for i := range ls.list {
		if svc == "" || ls.list[i].upstream.Service == svc {
			ls.list[i].draining = draining
		}
	}
	return ls.differs(before)
}

// stop marks all upstreams as draining, those of later announcements too.
func (ls *leases) stop(stopping bool) (changed bool) {
	before := ls.upstreams()
	ls.stopping = stopping
	return ls.differs(before)
}

// leave ends the lease of a service, or all when svc is empty.
func (ls *leases) leave(svc call.Service) (changed bool) {
	before := ls.upstreams()
	ls.list = slices.DeleteFunc(ls.list, func(ln lease) bool {
		return svc == "" || ln.upstream.Service == svc
	})
	return ls.differs(before)
}

// expire ends what has not been renewed in time.
func (ls *leases) expire(now time.Time) (changed bool) {
	before := ls.upstreams()
	ls.list = slices.DeleteFunc(ls.list, func(ln lease) bool {
		return now.Sub(ln.renewed) >= 2*LeaseDuration
	})
	for i := range ls.list {
		ls.list[i].lapsed = now.Sub(ls.list[i].renewed) >= LeaseDuration
	}
	return ls.differs(before)
}

// upstreams returns what is to be announced to other processes.
func (ls *leases) upstreams() []membership.Upstream {
	ups := make([]membership.Upstream, len(ls.list))
	for i, ln := range ls.list {
		ups[i] = ln.upstream
		ups[i].Draining = ln.draining || ln.lapsed || ls.stopping
	}
	return ups
}

func (ls *leases) differs(before []membership.Upstream) bool {
	return !slices.Equal(before, ls.upstreams())
}
