package tree

import (
	"cmp"
	"math"
	"slices"
	"time"

	"camphortrail/call"
)

const (
	// needHalfLife is the time in which the weight of a past attempt halves.
	needHalfLife = time.Second
	// rebaseWeight is the weight from which all sums are scaled down.
	rebaseWeight = 1 << 30
	// ownDivisor is the divisor of a new sample of the slot time of an attempt.
	ownDivisor = 16
	// wrongShare is the part of what an attempt of another kind takes, 1 in so many,
	// under which calls that were found are taken for those of the other kind.
	wrongShare = 3
	// minSlotTime is the slot time from which a need is told.
	minSlotTime = 100 * time.Microsecond
	// needsLife is the time for which needs are told without a new look.
	needsLife = 50 * time.Millisecond
)

// needs learns what attempts of each kind take of services by their calls. Which
// attempt made a call is often not known, or wrong, so that calls are counted
// together and shared out: by kind, in proportion to the calls that were found to
// be theirs, and evenly among the attempts of the kind.
//
// Sums grow in weight with time, so that only their ratios have a meaning.
type needs struct {
	kinds map[call.Class]*spending
	// unknown is the slot time of calls without a known parent, by attempts that
	// have ended, and pending that by those that run.
	unknown, pending map[call.Service]float64
	origin           time.Time
	// told holds the latest result by kind.
	told map[call.Class]told
}

// spending is what attempts of a kind took.
type spending struct {
	// own is the slot time of an attempt at its own service.
	own     time.Duration
	samples time.Duration
	// ended and through count attempts, and those that came through.
	ended, through float64
	// took is the slot time of the calls, in seconds.
	took map[call.Service]float64
}

type told struct {
	list []call.Need
	at   time.Time
}

func newNeeds() needs {
	return needs{
		kinds: make(map[call.Class]*spending), unknown: make(map[call.Service]float64),
		pending: make(map[call.Service]float64), told: make(map[call.Class]told),
	}
}

// weight returns what one attempt counts at the time now.
func (ns *needs) weight(now time.Time) float64 {
	if ns.origin.IsZero() {
		ns.origin = now
	}
	weight := math.Exp2(float64(now.Sub(ns.origin)) / float64(needHalfLife))
	if weight < rebaseWeight {
		return weight
	}
	for _, sp := range ns.kinds {
		sp.ended, sp.through = sp.ended/weight, sp.through/weight
		for svc := range sp.took {
			sp.took[svc] /= weight
		}
	}
	for svc := range ns.unknown {
		ns.unknown[svc] /= weight
	}
	ns.origin = now
	return 1
}

func (ns *needs) kind(class call.Class) *spending {
	sp := ns.kinds[class]
	if sp == nil {
		sp = &spending{took: make(map[call.Service]float64)}
		ns.kinds[class] = sp
	}
	return sp
}

// spent returns what an attempt of the kind took by the calls that were found to be
// its own, in seconds.
func (sp *spending) spent() (sum float64) {
	for _, took := range sp.took {
		sum += took
	}
	return sum / max(sp.ended, math.SmallestNonzeroFloat64)
}

// of returns what attempts of a kind take by their calls, in seconds. Kinds that took
// far less than others were given some of their calls.
func (ns *needs) of(class call.Class) map[call.Service]float64 {
	most := 0.0
	for _, other := range ns.kinds {
		most = max(most, other.spent())
	}
	sp := ns.kinds[class]
	calls := func(sp *spending) bool { return sp.spent() >= most/wrongShare }
	if sp == nil || !calls(sp) {
		return nil
	}
	// Those that failed took a half, if they failed at any point alike.
	attempts := (sp.ended + sp.through) / 2
	needs := make(map[call.Service]float64)
	for svc, took := range sp.took {
		all, found := ns.unknown[svc], 0.0
		for _, other := range ns.kinds {
			all += other.took[svc]
			if calls(other) {
				found += other.took[svc]
			}
		}
		needs[svc] = all * took / found / attempts
	}
	return needs
}

// Took notes that a call took a part of what calls of its kind need. The parent may
// be unknown; one that has ended already did not make the call.
func (tr *Trees) Took(now time.Time, parent *Inbound, list []call.Need, part float64) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if parent != nil && parent.ended {
		parent = nil
	}
	for _, nd := range list {
		if nd.Occupancy > 0 {
			tr.busy[nd.Service] = reading{occupancy: nd.Occupancy, at: now}
		}
		if parent == nil {
			tr.needs.pending[nd.Service] += part * nd.SlotTime.Seconds()
			continue
		}
		if parent.took == nil {
			parent.took = make(map[call.Service]float64)
		}
		parent.took[nd.Service] += part * nd.SlotTime.Seconds()
	}
}

// Ended takes in that an attempt has ended after it took a slot of its service for
// a time, and whether it came through.
func (tr *Trees) Ended(now time.Time, in *Inbound, work time.Duration, through bool) {
	if in.Class == "" {
		return
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	in.ended = true
	weight := tr.needs.weight(now)
	sp := tr.needs.kind(in.Class)
	sp.ended += weight
	for svc, took := range in.took {
		sp.took[svc] += weight * took
	}
	running := float64(len(tr.inbound) + 1)
	for svc, took := range tr.needs.pending {
		tr.needs.unknown[svc] += weight * took / running
		tr.needs.pending[svc] -= took / running
	}
	if !through {
		return
	}
	sp.through += weight
	sp.samples = min(sp.samples+1, ownDivisor)
	sp.own += (work - sp.own) / sp.samples
}

// Needs returns what attempts of the kind take of each service, the own one with
// the given occupancy first.
func (tr *Trees) Needs(now time.Time, kind call.Class, own call.Service, oc call.Occupancy) []call.Need {
	if kind == "" {
		return nil
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	sp := tr.needs.kinds[kind]
	if sp == nil || sp.samples == 0 {
		return nil
	}
	tl, known := tr.needs.told[kind]
	if !known || now.Sub(tl.at) >= needsLife {
		tl = told{list: tr.calledBy(now, kind, own), at: now}
		tr.needs.told[kind] = tl
	}
	list := make([]call.Need, 1, 1+len(tl.list))
	list[0] = call.Need{Service: own, SlotTime: sp.own, Occupancy: oc}
	return append(list, tl.list...)
}

// calledBy returns what the calls of attempts of a kind take of services other than
// their own.
func (tr *Trees) calledBy(now time.Time, kind call.Class, own call.Service) []call.Need {
	var list []call.Need
	for svc, took := range tr.needs.of(kind) {
		nd := call.Need{Service: svc, SlotTime: time.Duration(took * float64(time.Second))}
		if nd.SlotTime < minSlotTime || svc == own {
			continue
		}
		if rd := tr.busy[svc]; now.Sub(rd.at) < readingLife {
			nd.Occupancy = rd.occupancy
		}
		list = append(list, nd)
	}
	slices.SortFunc(list, func(a, b call.Need) int { return cmp.Compare(a.Service, b.Service) })
	return list
}
