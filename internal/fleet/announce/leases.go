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
	// noticeDivisor says that other processes are told of the drain of an upstream when
	// 1/noticeDivisor of its drain period is left.
	noticeDivisor = 8
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
	// drainAt is the time at which the upstream is marked as draining, or zero, and servesUntil
	// the time until which it still serves requests.
	drainAt, servesUntil time.Time
}

// leases holds the announcements of the upstreams beside a node, by service. The zero
// value is empty. Methods report whether the upstreams to announce to other processes
// have changed.
type leases struct {
	list []lease
	// drainPeriod is the time for which an upstream still serves requests after it has stated that
	// it drains, or zero if that is not known.
	drainPeriod time.Duration
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
	next := lease{upstream: up, instance: instance, renewedAt: now}
	next.upstream.Draining = false
	if ln.instance == instance {
		next.draining, next.drainAt, next.servesUntil = ln.draining, ln.drainAt, ln.servesUntil
	}
	if up.Draining {
		ls.drain(now, &next, ln.instance == instance)
	}
	*ln = next
	return ls.changedFrom(before), true
}

// drain makes an upstream drain that has stated so. If it was announced before, other processes
// use it for the first part of its drain period, and learn of the drain in the rest. If it was not,
// the statement may repeat one that an earlier run of this process has answered.
func (ls *leases) drain(now time.Time, ln *lease, known bool) {
	switch {
	case !ln.drainAt.IsZero():
	case known && ls.drainPeriod > 0:
		ln.drainAt, ln.servesUntil = now.Add(ls.drainPeriod-ls.drainPeriod/noticeDivisor), now.Add(ls.drainPeriod)
	default:
		ln.draining = true
	}
}

// nextDrain returns the first time at which an upstream is to be marked as draining, or zero if there
// is none.
func (ls *leases) nextDrain() (first time.Time) {
	for _, ln := range ls.list {
		if !ln.draining && !ln.drainAt.IsZero() && (first.IsZero() || ln.drainAt.Before(first)) {
			first = ln.drainAt
		}
	}
	return first
}

// setDraining marks the upstream of a service as draining or not, or all upstreams if svc
// is empty.
func (ls *leases) setDraining(svc call.Service, draining bool) (changed bool) {
	before := ls.upstreams()
	for i := range ls.list {
		if svc == "" || ls.list[i].upstream.Service == svc {
			ls.list[i].draining, ls.list[i].drainAt, ls.list[i].servesUntil = draining, time.Time{}, time.Time{}
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
// that were not renewed for LeaseDuration as lapsed. It marks upstreams as draining whose time to
// drain has come.
func (ls *leases) expire(now time.Time) (changed bool) {
	before := ls.upstreams()
	ls.list = slices.DeleteFunc(ls.list, func(ln lease) bool {
		return now.Sub(ln.renewedAt) >= 2*LeaseDuration
	})
	for i := range ls.list {
		ln := &ls.list[i]
		ln.lapsed = now.Sub(ln.renewedAt) >= LeaseDuration
		ln.draining = ln.draining || !ln.drainAt.IsZero() && !now.Before(ln.drainAt)
	}
	return ls.changedFrom(before)
}

// upstreams returns the upstreams to announce to other processes.
func (ls *leases) upstreams() []membership.Upstream {
	ups := make([]membership.Upstream, len(ls.list))
	for i, ln := range ls.list {
		ups[i] = ln.upstream
		ups[i].Draining = ln.draining || ln.lapsed || ls.nodeDraining
		ups[i].ServesUntil = ln.servesUntil
	}
	return ups
}

// changedFrom reports whether upstreams would return something other than before.
func (ls *leases) changedFrom(before []membership.Upstream) bool {
	return !slices.Equal(before, ls.upstreams())
}
