package announce

import (
	"slices"
	"time"

	"camphortrail/call"
	"camphortrail/membership"
)

const (
	// RepeatInterval is the interval at which upstreams are asked to repeat their
	// announcements.
	RepeatInterval = 2 * time.Second
	// LeaseDuration is how long an announcement is valid. An upstream that does not
	// repeat it counts as draining after one LeaseDuration, and is removed after two.
	LeaseDuration = 6 * time.Second
)

// lease is the announcement of one upstream and the time at which it was last renewed.
type lease struct {
	upstream membership.Upstream
	instance string
	// draining is set at the request of the upstream or of an operator, and lapsed when
	// the lease was not renewed in time.
	draining  bool
	lapsed    bool
	renewedAt time.Time
}

// leases holds the announcements of the upstreams beside a node, by service. The zero
// value is empty. Methods report whether the upstreams to announce to other processes
// have changed.
type leases struct {
	list []lease
	// nodeDraining is set while the node itself admits no new work.
	nodeDraining bool
}

// find returns the lease of a service, or nil.
func (ls *leases) find(svc call.Service) *lease {
	for i := range ls.list {
		if ls.list[i].upstream.Service == svc {
			return &ls.list[i]
		}
	}
	return nil
}

// announce renews or adds a lease. ok is false if there are too many leases. Draining
// lasts until the upstream resumes, leaves or announces another instance.
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
	*ln = lease{upstream: up, instance: instance, draining: draining, renewedAt: now}
	return ls.changedFrom(before), true
}

// setDraining marks the upstream of a service as draining or not, or all upstreams if svc
// is empty.
func (ls *leases) setDraining(svc call.Service, draining bool) (changed bool) {
	before := ls.upstreams()
	for i := range ls.list {
		if svc == "" || ls.list[i].upstream.Service == svc {
			ls.list[i].draining = draining
		}
	}
	return ls.changedFrom(before)
}

// setNodeDraining marks all upstreams as draining or not, including those announced
// later.
func (ls *leases) setNodeDraining(draining bool) (changed bool) {
	before := ls.upstreams()
	ls.nodeDraining = draining
	return ls.changedFrom(before)
}

// remove ends the lease of a service, or all leases if svc is empty.
func (ls *leases) remove(svc call.Service) (changed bool) {
	return ls.retain(func(up membership.Upstream) bool { return svc != "" && up.Service != svc })
}

// retain ends the leases of the upstreams for which retain returns false.
func (ls *leases) retain(retain func(up membership.Upstream) bool) (changed bool) {
	before := ls.upstreams()
	ls.list = slices.DeleteFunc(ls.list, func(ln lease) bool { return !retain(ln.upstream) })
	return ls.changedFrom(before)
}

// expire removes the leases that were not renewed for twice LeaseDuration, and marks those
// that were not renewed for LeaseDuration as lapsed.
func (ls *leases) expire(now time.Time) (changed bool) {
	before := ls.upstreams()
	ls.list = slices.DeleteFunc(ls.list, func(ln lease) bool {
		return now.Sub(ln.renewedAt) >= 2*LeaseDuration
	})
	for i := range ls.list {
		ls.list[i].lapsed = now.Sub(ls.list[i].renewedAt) >= LeaseDuration
	}
	return ls.changedFrom(before)
}

// upstreams returns the upstreams to announce to other processes.
func (ls *leases) upstreams() []membership.Upstream {
	ups := make([]membership.Upstream, len(ls.list))
	for i, ln := range ls.list {
		ups[i] = ln.upstream
		ups[i].Draining = ln.draining || ln.lapsed || ls.nodeDraining
	}
	return ups
}

// changedFrom reports whether upstreams would return something other than before.
func (ls *leases) changedFrom(before []membership.Upstream) bool {
	return !slices.Equal(before, ls.upstreams())
}
