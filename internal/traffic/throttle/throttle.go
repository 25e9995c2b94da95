// Package throttle refuses requests at their entry, before any work, when their
// call trees meet a service that is at its limit.
//
// The load pattern is a small service deep in the tree at its limit: what it
// refuses has spent the work of all services above it. Three rules answer it.
// Answers bring the calls that a request makes of each service of its tree. Where such
// a service is busy its guards divide its slots among all entries (package room),
// which admit the shares that they are given. Where the guards tell nothing, the
// share of the requests that is admitted follows the highest occupancy of the
// services of the tree (share). What fails all the same while a service is busy is
// refused by its outcome: of n requests of which a came through,
// max(0, (n - k*a)/(n + 1)) are refused, which is the adaptive throttling of Beyer
// et al., "Site Reliability Engineering", chapter 21. The refusals deep in the
// tree go by importance, so the kinds that fail are the ones to refuse here. Where
// all services have room, a request that is likely to fail takes nothing from
// others, and is admitted. While nothing is known of the services, as nothing comes
// through, one is tried now and then: a fault that has passed is to leave no refusals
// behind.
package throttle

import (
	"maps"
	"time"

	"camphortrail/call"
	"camphortrail/internal/traffic/decay"
)

const (
	// excess is k: the requests that are let through for each that comes
	// through. With it a share of 1/5 may fail, and the share that is let
	// through doubles in 2 s when none does.
	excess = 1.25
	// tryInterval is the time after which a request is let through whatever fails,
	// while nothing is known of the services of its tree and the weight of those
	// that came through is under noAccepts.
	tryInterval = 500 * time.Millisecond
	noAccepts   = 0.5
	// halfLife is the time in which the weight of a past request halves: well
	// under the bursts of some seconds that the rule answers.
	halfLife = 500 * time.Millisecond
	// blameWeight is the number of requests that count as failed for each one
	// of a more important kind that fails.
	blameWeight = 1
	// sharedFailures is the weight of failures from which a kind counts as
	// failing; a single one may have another cause.
	sharedFailures = 1.5
	// mostlyRefused is the share of refusals from which a kind counts as
	// refused.
	mostlyRefused = 0.85
	// minRetryAfter is about the time in which the rule reacts, and
	// maxRetryAfter about that in which the share of refusals falls from
	// nearly all to few.
	minRetryAfter = 400 * time.Millisecond
	maxRetryAfter = 4 * time.Second
)

// Controller decides on the requests of all kinds at one entry. It is not safe for
// concurrent use.
type Controller struct {
	kinds    map[call.Class]*kind
	services map[call.Service]*service
}

// New returns a group that refuses nothing.
func New() *Controller {
	return &Controller{kinds: make(map[call.Class]*kind), services: make(map[call.Service]*service)}
}

// Request is a request at its entry.
type Request struct {
	Class      call.Class
	Importance call.Importance
	// Waited is the time since the caller sent it first, and Target that within
	// which an answer has its full worth, or zero if there is none.
	Waited, Target time.Duration
}

// Decision is what happens to a request.
type Decision struct {
	Admitted bool
	// RefusedForFailures says that it is refused because those before it failed, and not
	// because of the occupancy that they met.
	RefusedForFailures bool
	// Share is the part of the requests of the kind that is admitted by the room
	// that there is, or by the occupancy that they meet.
	Share float64
	// RetryAfter is the mean time after which it may come back.
	RetryAfter time.Duration
}

// Admit decides on a request. The draw is uniform from 0 to 1. A kind is refused
// only after the less important ones that meet a busy service, or fail with it.
func (gp *Controller) Admit(now time.Time, rq Request, draw float64) Decision {
	kd := gp.kind(rq.Class)
	kd.importance = rq.Importance
	late := kd.late(rq)
	least := gp.leastShare(now)
	kd.share.arrived++
	share, yielding := gp.share(now, kd, late, least)
	if !kd.flow(late).grant(now, share) && !yielding {
		// This does not count as a failure, for which more would be refused.
		return Decision{Share: share, RetryAfter: kd.returnTime(rq, 1-share)}
	}
	kd.share.admitted++
	refusing := kd.refusing(now)
	if draw < refusing && kd.share.occupied(now) && !gp.othersYield(now, rq.Importance) && !kd.try(now) {
		kd.requests++
		return Decision{RefusedForFailures: true, Share: share, RetryAfter: returnTime(refusing)}
	}
	kd.triedAt = now
	return Decision{Admitted: true, Share: share}
}

// share returns the part of the requests of a kind that is admitted: that for which
// the guards of its services have room, or else what the entry finds by itself.
// yielding says that a less important kind is to give way first.
func (gp *Controller) share(now time.Time, kd *kind, late bool, least float64) (share float64, yielding bool) {
	if share, ok := gp.roomFor(now, kd, late); ok {
		if !late {
			share = max(share, leastShare)
			kd.share.set(now, share)
		}
		return share, false
	}
	kd.share.adjust(now, gp.target(kd))
	kd.share.value = max(kd.share.value, least, leastShare)
	return kd.share.value, gp.lesserAdmitted(now, kd.importance, least)
}

func (gp *Controller) kind(class call.Class) *kind {
	kd := gp.kinds[class]
	if kd == nil {
		kd = &kind{share: newShare(), calls: make(map[call.Service]calls)}
		gp.kinds[class] = kd
	}
	return kd
}

// returnTime grows with the share of requests that is refused.
func returnTime(refused float64) time.Duration {
	return minRetryAfter + time.Duration(refused*refused*float64(maxRetryAfter-minRetryAfter))
}

// leastShare returns the share that each kind gets whatever the load is: a part
// of that of all kinds together.
func (gp *Controller) leastShare(now time.Time) float64 {
	arrived, admitted := 0.0, 0.0
	for _, kd := range gp.kinds {
		kd.share.decay(now)
		arrived += kd.share.arrived
		admitted += kd.share.admitted
	}
	return leastPart * admitted / max(arrived, 1)
}

// target returns the occupancy up to which a kind is admitted more: higher for
// each less important kind there is, so that those give way first.
func (gp *Controller) target(kd *kind) call.Occupancy {
	var lower [call.MaxImportance + 1]bool
	steps := 0
	for _, other := range gp.kinds {
		if other.importance < kd.importance && !lower[other.importance] {
			lower[other.importance] = true
			steps++
		}
	}
	return baseTarget + call.Occupancy(steps)*targetStep
}

// lesserAdmitted reports whether a less important kind that meets a busy service
// is admitted clearly more than the least.
func (gp *Controller) lesserAdmitted(now time.Time, imp call.Importance, least float64) bool {
	for _, kd := range gp.kinds {
		if kd.importance < imp && kd.share.occupied(now) && kd.share.value > clearlyMore*max(least, leastShare) {
			return true
		}
	}
	return false
}

// othersYield reports whether a less important kind fails, and is not refused
// for the most part yet.
func (gp *Controller) othersYield(now time.Time, imp call.Importance) bool {
	for _, kd := range gp.kinds {
		if kd.importance < imp && kd.refusing(now) < mostlyRefused && kd.fails() {
			return true
		}
	}
	return false
}

// Result is what became of a request.
type Result struct {
	// Succeeded says that it brought what the caller asked for.
	Succeeded bool
	// Occupancy is the highest of the services of its call tree, or zero if it
	// is not known.
	Occupancy call.Occupancy
	// Took is the time that it took.
	Took time.Duration
}

// Finish counts a request that was admitted, and what became of it. A failure
// also counts for the less important kinds that fail: they share what is
// short, and are to give way. Requests whose callers left are counted by Leave.
func (gp *Controller) Finish(now time.Time, class call.Class, rs Result) {
	kd := gp.kinds[class]
	if kd == nil {
		return
	}
	if rs.Occupancy > 0 {
		kd.share.meet(now, rs.Occupancy)
	}
	kd.decay(now)
	kd.share.decay(now)
	kd.requests++
	kd.share.ended++
	if rs.Succeeded {
		kd.accepts++
		kd.share.through++
		kd.usual += (rs.Took - kd.usual) / usualWeight
		return
	}
	for _, other := range gp.kinds {
		if other.importance >= kd.importance {
			continue
		}
		if other.decay(now); other.fails() {
			other.requests += blameWeight
		}
	}
}

// CallerLeft counts a request that was admitted and whose caller left before the answer:
// it tells nothing of the load, but is not served.
func (gp *Controller) CallerLeft(now time.Time, class call.Class) {
	if kd := gp.kinds[class]; kd != nil {
		kd.share.decay(now)
		kd.share.ended++
	}
}

// Retain forgets the kinds that are not to be kept.
func (gp *Controller) Retain(keep func(call.Class) bool) {
	maps.DeleteFunc(gp.kinds, func(class call.Class, _ *kind) bool { return !keep(class) })
	maps.DeleteFunc(gp.services, func(svc call.Service, _ *service) bool { return !gp.needed(svc) })
}

// kind counts the requests of one kind, refused ones too, and those that came
// through.
type kind struct {
	importance        call.Importance
	requests, accepts float64
	clock             decay.Clock
	// triedAt is when a request was let through last.
	triedAt time.Time
	share   share
	// timely are the requests that can still be answered within their target, and
	// overdue the others.
	timely, overdue flow
	// calls are those that a request makes of each service of its tree, the mean of a
	// number of answers.
	calls   map[call.Service]calls
	answers float64
	// usual is the time that those that came through took.
	usual time.Duration
}

// try reports whether a request is to be let through to learn how busy its services
// are, as none was for some time and none came through.
func (kd *kind) try(now time.Time) bool {
	return !kd.share.known(now) && kd.accepts < noAccepts && now.Sub(kd.triedAt) >= tryInterval
}

// refusing returns the share of requests that is refused.
func (kd *kind) refusing(now time.Time) float64 {
	kd.decay(now)
	return max(0, (kd.requests-excess*kd.accepts)/(kd.requests+1))
}

func (kd *kind) fails() bool { return kd.requests-kd.accepts > sharedFailures }

func (kd *kind) decay(now time.Time) {
	keep := kd.clock.Factor(now, halfLife)
	kd.requests *= keep
	kd.accepts *= keep
}
