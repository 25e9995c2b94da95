// Package route chooses the VM of a service that gets an attempt. It learns of the VMs
// from announcements, and of their load from the calls that the own node sent and the
// answers to them.
package route

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"camphortrail/call"

	"github.com/pkg/errors"
)

// Errors of Choose.
var (
	// ErrNoUpstream means that no VM of the service can take the attempt.
	ErrNoUpstream = errors.New("route: no upstream")
	// ErrShed means that all reachable VMs of the service refuse work of this level.
	ErrShed = errors.New("route: shed for overload")
)

// Settings configures a Table. Zero fields take the defaults.
type Settings struct {
	// Domain is the failure domain of the own node.
	Domain call.FailureDomain
	// MaxUpstreams bounds the table (default 8192). Further upstreams are ignored.
	MaxUpstreams int
	// LevelTTL is the time for which a level from an answer is valid (default 250 ms).
	LevelTTL time.Duration
	// ShedProbeInterval is the shortest time between two attempts of one service that are
	// sent although they should be shed (default 25 ms).
	ShedProbeInterval time.Duration
	// IdleProbeInterval is the time after which a VM of the own failure domain that was
	// not chosen gets an attempt of low importance (default 1 s).
	IdleProbeInterval time.Duration
}

func (st Settings) withDefaults() Settings {
	st.MaxUpstreams = cmp.Or(st.MaxUpstreams, 8192)
	st.LevelTTL = cmp.Or(st.LevelTTL, 250*time.Millisecond)
	st.ShedProbeInterval = cmp.Or(st.ShedProbeInterval, 25*time.Millisecond)
	st.IdleProbeInterval = cmp.Or(st.IdleProbeInterval, time.Second)
	return st
}

// Request describes the attempt that needs a VM.
type Request struct {
	Service    call.Service
	Importance call.Importance
	Cohort     call.Cohort
	// Cost is the expected time that an upstream of usual speed takes for the attempt itself. It
	// matters with placement by cost only.
	Cost time.Duration
	// Exclude lists the VMs that must not be chosen.
	Exclude []call.VM
}

// Table holds the upstreams by service. It is not safe for concurrent use.
type Table struct {
	settings      Settings
	rng           *rand.Rand
	epoch         time.Time
	sameRegion    map[call.FailureDomain]bool
	services      map[call.Service]*service
	upstreamCount int
	// byCost says that VMs are chosen by the least expected time to completion.
	byCost bool
}

// New returns an empty table. It draws random choices from rng.
func New(st Settings, rng *rand.Rand) *Table {
	return &Table{settings: st.withDefaults(), rng: rng, services: make(map[call.Service]*service)}
}

// Step applies an event at the time at, which must not decrease from one call to the
// next.
func (tb *Table) Step(at time.Time, ev Event) {
	now := tb.instant(at)
	switch ev := ev.(type) {
	case Upsert:
		tb.upsert(now, ev)
	case Remove:
		tb.remove(ev)
	case Suspect:
		tb.setSuspect(ev.VM, true)
	case Alive:
		tb.setSuspect(ev.VM, false)
	case SameRegion:
		tb.setSameRegion(ev.Domains)
	case Sent:
		tb.sent(ev)
	case Answered:
		tb.answered(now, ev)
	case Failed:
		tb.failed(now, ev)
	case Placement:
		tb.byCost = ev.ByCost
	}
}

// UpstreamInfo describes an upstream for operators.
type UpstreamInfo struct {
	VM          call.VM
	Domain      call.FailureDomain
	Slots       int
	Draining    bool
	Suspect     bool
	Ejected     bool
	Outstanding int
	Latency     time.Duration
	Level       call.Level
}

// Upstreams returns the upstreams of a service at the time at, ordered by name.
func (tb *Table) Upstreams(at time.Time, service call.Service) []UpstreamInfo {
	sv := tb.services[service]
	if sv == nil {
		return nil
	}
	now := tb.instant(at)
	entries := make([]UpstreamInfo, 0, len(sv.byVM))
	for _, up := range sv.byVM {
		entries = append(entries, UpstreamInfo{
			VM: up.vm, Domain: up.domain, Slots: up.slots, Draining: up.draining, Suspect: up.suspect,
			Ejected: up.ejected(now), Outstanding: up.outstanding[0],
			Latency: time.Duration(up.currentLatency(now, sv.latency)), Level: up.currentLevel(now, tb.settings.LevelTTL),
		})
	}
	slices.SortFunc(entries, func(a, b UpstreamInfo) int { return strings.Compare(string(a.VM), string(b.VM)) })
	return entries
}

// occupancyTTL is the time for which the occupancy of a VM is valid. It is several times
// the usual time between two answers, unless hardly anything is sent to the VM.
const occupancyTTL = time.Second

// Occupancy returns the mean occupancy of the reachable VMs of a service, weighted by
// their slots. It leaves out VMs without a recent answer, and is zero if all are left
// out.
func (tb *Table) Occupancy(at time.Time, service call.Service) call.Occupancy {
	sv := tb.services[service]
	if sv == nil {
		return 0
	}
	now := tb.instant(at)
	sum, slots := 0, 0
	for _, up := range sv.byVM {
		if up.usable(now) && up.answeredAt != never && now.since(up.answeredAt) < occupancyTTL {
			sum += int(up.occupancy) * up.slots
			slots += up.slots
		}
	}
	return call.Occupancy(sum / max(slots, 1))
}

// Services returns the names of all services, ordered.
func (tb *Table) Services() []call.Service {
	names := make([]call.Service, 0, len(tb.services))
	for name := range tb.services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
