// Package throttle refuses requests at their entry, before any work, when their call
// trees include a service that is at its concurrency limit.
//
// The load pattern is a small service deep in the tree that is at its limit: each call it
// refuses wastes the work of all services above it. Three rules respond to it. Answers
// report the fan-out of a request, that is the calls that it makes of each service of its
// tree. While such a service is busy, its guards divide its slots among all entries
// (package allocation), and an entry admits the shares that they grant. Where no guard
// has granted a share, the share of admitted requests follows the highest occupancy of
// the services of the tree (localShare). Requests that still fail while a service is busy
// are throttled by their outcomes: if n requests were received and a succeeded, a fraction
//
//	max(0, (n - k*a)/(n + 1))
//
// is refused, which is the adaptive throttling of Beyer et al., "Site Reliability
// Engineering", chapter 21. Refusals deep in the tree follow importance, so the classes
// that fail are the ones to refuse here. What was broken while all requests were admitted is
// not held against a share that is much smaller. Where all services have free slots, a request
// that is likely to fail takes nothing from others and is admitted. While nothing succeeds and
// the state of the services is unknown, one request is admitted from time to time as a probe,
// so that no refusals remain after a fault has passed.
//
// While no request of a class gets through since a service of its tree cannot be reached, only
// such probes are admitted, and others are told when to return. The first success ends that.
//
// Requests of customers come with positions (package shares). They decide which requests of a class
// are admitted within its share or refused for failures, and not how many.
//
// Each class has an account of the requests that it sent and of those that were served, over
// many seconds. Guards divide by the sums of these accounts, so that a class that one rule
// has served too little for some seconds gets more in the next ones.
package throttle

import (
	"maps"
	"time"

	"camphortrail/call"
	"camphortrail/internal/traffic/allocation"
)

const (
	// successMultiplier is k: the number of requests that are admitted for each one that
	// succeeds. With 1.25, a fifth of them may fail, and the share of admitted requests
	// doubles in 2 s when none does.
	successMultiplier = 1.25
	// grantedMultiplier is k while guards grant a share of the class. What is admitted is
	// bounded then already, so the rule is for the failures of a step of the capacity: at 2,
	// the requests that are admitted double with each duration of a request once it is over.
	grantedMultiplier = 2
	// probeInterval is the time without an admission after which one request of a class is
	// admitted as a probe in spite of earlier failures. This applies while a service of its tree
	// cannot be reached, or no occupancy of them is known and the weight of recent successes is
	// under maxProbeAccepts.
	probeInterval   = 500 * time.Millisecond
	maxProbeAccepts = 0.5
	// blameWeight is the number of failures that are counted for a failing class when a
	// request of a more important class fails.
	blameWeight = 1
	// mostlyRefusedRatio is the refusal ratio from which a class has yielded to more
	// important ones.
	mostlyRefusedRatio = 0.85
	// minCarriedRatio is the share of requests that must succeed while upstreams with free slots
	// refuse work, so that the class is not refused where a service of its tree is busy.
	minCarriedRatio = 0.25
	// minRetryAfter is about the time in which the rule reacts, and maxRetryAfter about
	// the time in which the refusal ratio falls from nearly all to few.
	minRetryAfter = 400 * time.Millisecond
	maxRetryAfter = 4 * time.Second
)

// Controller decides which requests of all classes are admitted at one entry. It is not
// safe for concurrent use.
type Controller struct {
	classes  map[classKey]*classState
	services map[call.Service]*service
	// startSlowly says that classes begin with a slow start.
	startSlowly bool
}

// New returns a controller that has seen no requests and refuses none.
func New() *Controller {
	return &Controller{classes: make(map[classKey]*classState), services: make(map[call.Service]*service)}
}

// classKey identifies the state of a class. importance is that of a customer if it differs from
// the one of the class, and otherwise zero.
type classKey struct {
	class      call.Class
	importance call.Importance
}

// Request is a request at its entry.
type Request struct {
	Class      call.Class
	Importance call.Importance
	// OfCustomer says that the importance is that of the customer and differs from the one of
	// the class. Such requests are decided on apart from the others of the class.
	OfCustomer bool
	// Position is the place of the request among those of its importance, uniform in [0, 1).
	// Within a class, requests with lower positions are admitted first. Positioned is false if
	// the request has none.
	Position   float64
	Positioned bool
	// Waited is the time since the caller first sent the request. Target is the time
	// within which an answer has its full value, or zero if there is none.
	Waited, Target time.Duration
	// Blocks is the least time until the deadlines of the requests that wait for the answer
	// to this one on its connection, or zero if none is known to wait.
	Blocks time.Duration
}

// Rule is one of the rules that decide on requests.
type Rule uint8

// The rules.
const (
	// Grant is the share that the guards of a service granted, and OwnShare the one that the
	// entry derives from the occupancy while there is no grant.
	Grant Rule = iota + 1
	OwnShare
	// SlowStart is the bound of the requests in flight after a start.
	SlowStart
	// Failures is the refusal of requests because earlier ones failed.
	Failures
	// Unreachable is the refusal of requests while a service of their tree cannot be reached.
	Unreachable
	// Blocking is the refusal of an admitted request in favor of one that blocks no others.
	Blocking
)

// String returns the name of the rule in logs.
func (ru Rule) String() string {
	switch ru {
	case Grant:
		return "grant"
	case OwnShare:
		return "own-share"
	case SlowStart:
		return "slow-start"
	case Failures:
		return "failures"
	case Unreachable:
		return "unreachable"
	case Blocking:
		return "blocking"
	}
	return "none"
}

// Decision says whether a request is admitted, and when to retry if it is not.
type Decision struct {
	Admitted bool
	// By is the rule that refused the request, or whose share admitted it.
	By Rule
	// Share is the fraction of the requests of the class that is admitted by the grants
	// of the guards, or else by the occupancy that the requests met.
	Share float64
	// Settle, if not zero, is the time for which an admitted request waits before it starts.
	// Confirm then decides again.
	Settle time.Duration
	// RetryAfter is the mean time after which a refused request may be sent again.
	RetryAfter time.Duration
}

// Admit decides on a request. The draw is a uniform random number in [0, 1). A class is
// refused only after the less important ones that meet a busy service, or fail with it.
func (ctl *Controller) Admit(now time.Time, rq Request, draw float64) Decision {
	cs := ctl.stateOf(rq.key())
	if cs.slowStart.began.IsZero() {
		cs.slowStart.began = now
	}
	cs.importance = rq.Importance
	late := cs.late(rq)
	minShare := ctl.minShare(now)
	cs.recent.arrived++
	cs.account.arrived++
	share, othersFirst := ctl.share(now, cs, late, minShare)
	if rq.Positioned {
		draw = cs.limiter(late).positionDraw(share, rq.Position)
	}
	if !cs.limiter(late).allow(now, share, cs.granted, rq, cs.blocking(rq)) && !othersFirst {
		// This does not count as a failure, or still more requests would be refused.
		return Decision{By: cs.shareRule(), Share: share, RetryAfter: cs.retryAfter(rq, 1-share)}
	}
	if !cs.slowStart.admits(now) {
		return Decision{By: SlowStart, Share: share, RetryAfter: cs.retryAfter(rq, 1-share)}
	}
	cs.recent.admitted++
	if refusalRatio := cs.refusalRatio(now); draw < refusalRatio && !ctl.lessImportantFailing(now, rq.Importance) && !cs.shouldProbe(now) {
		if cs.unreachable.active(now) {
			return Decision{By: Unreachable, Share: share, RetryAfter: cs.retryAfter(rq, 1)}
		}
		if !cs.mostlyFails(now) {
			cs.outcomes.requests++
		}
		return Decision{By: Failures, Share: share, RetryAfter: retryDelay(refusalRatio)}
	}
	cs.account.admitted++
	cs.admittedAt = now
	cs.slowStart.inFlight++
	return Decision{Admitted: true, By: cs.shareRule(), Share: share, Settle: cs.settleTime(now, share)}
}

// Confirm decides again on an admitted request that has settled. If requests have arrived behind
// it that would wait past their deadlines, it is refused before any work, and the next one of its
// class is admitted in its place.
func (ctl *Controller) Confirm(now time.Time, rq Request, de Decision) Decision {
	cs := ctl.stateOf(rq.key())
	saved := cs.limiter(cs.late(rq)).saved(rq)
	if !cs.blocking(rq) || *saved+1 > maxSavedTokens {
		return Decision{Admitted: true, By: de.By, Share: de.Share}
	}
	*saved++
	cs.recent.admitted = max(cs.recent.admitted-1, 0)
	cs.account.admitted = max(cs.account.admitted-1, 0)
	cs.slowStart.end(false, 0)
	cs.blockedAt = now
	return Decision{By: Blocking, Share: de.Share, RetryAfter: cs.retryAfter(rq, 1-de.Share)}
}

// shareRule returns the rule that set the share of the last request.
func (cs *classState) shareRule() Rule {
	if cs.granted {
		return Grant
	}
	return OwnShare
}

// share returns the fraction of the requests of a class that is admitted: the share that
// the guards of its services granted, or else the share that the entry derives from the
// occupancy. othersFirst says that a less important class must be refused first.
func (ctl *Controller) share(now time.Time, cs *classState, late bool, minShare float64) (share float64, othersFirst bool) {
	share, cs.granted = ctl.grantedShare(now, cs, late)
	if cs.granted {
		if share < 1 && !late && cs.grantLimits(share) {
			cs.slowStart.window = 0
		}
		if !late {
			share = max(share, probeShare)
			cs.share.reset(now, share)
			cs.discardStale()
		}
		return share, false
	}
	cs.share.adjust(now, ctl.targetOccupancy(cs), cs.unreachable.latest())
	cs.share.value = max(cs.share.value, minShare, probeShare)
	cs.discardStale()
	return cs.share.value, ctl.lessImportantAdmitted(now, cs.importance, minShare)
}

// key returns the key of the state that decides on the request.
func (rq *Request) key() classKey {
	if rq.OfCustomer {
		return classKey{rq.Class, rq.Importance}
	}
	return classKey{class: rq.Class}
}

// stateOf returns the state with a key, and creates it if needed. All states of a class share what
// is known of its calls.
func (ctl *Controller) stateOf(key classKey) *classState {
	cs := ctl.classes[key]
	if cs == nil {
		cs = &classState{share: newLocalShare()}
		if other := ctl.anyState(key.class); other != nil {
			cs.calls = other.calls
		} else {
			cs.calls = &calls{fanOut: make(map[call.Service]fanOut)}
		}
		if ctl.startSlowly {
			cs.slowStart.window = initialWindow
		}
		ctl.classes[key] = cs
	}
	return cs
}

// anyState returns the state of a class, or else of its requests of the highest importance of
// customers, or nil if there is none.
func (ctl *Controller) anyState(class call.Class) *classState {
	if cs := ctl.classes[classKey{class: class}]; cs != nil {
		return cs
	}
	for imp := call.MaxImportance; imp >= call.MinImportance; imp-- {
		if cs := ctl.classes[classKey{class, imp}]; cs != nil {
			return cs
		}
	}
	return nil
}

// retryDelay returns the mean time until a retry. It grows with the fraction of requests
// that is refused.
func retryDelay(refused float64) time.Duration {
	return minRetryAfter + time.Duration(refused*refused*float64(maxRetryAfter-minRetryAfter))
}

// minShare returns the share that each class gets whatever the load is: a fraction of the
// share of all classes together.
func (ctl *Controller) minShare(now time.Time) float64 {
	arrived, admitted := 0.0, 0.0
	for _, cs := range ctl.classes {
		cs.recent.decay(now, shareHalfLife)
		arrived += cs.recent.arrived
		admitted += cs.recent.admitted
	}
	return minShareRatio * admitted / max(arrived, 1)
}

// targetOccupancy returns the occupancy at which a class is held. It is higher for each
// less important class that exists, so that those yield first.
func (ctl *Controller) targetOccupancy(cs *classState) call.Occupancy {
	var lower [call.MaxImportance + 1]bool
	steps := 0
	for _, other := range ctl.classes {
		if other.importance < cs.importance && !lower[other.importance] {
			lower[other.importance] = true
			steps++
		}
	}
	return baseTarget + call.Occupancy(steps)*targetStep
}

// lessImportantAdmitted reports whether a less important class that may meet a busy
// service is admitted clearly above its minimum share.
func (ctl *Controller) lessImportantAdmitted(now time.Time, imp call.Importance, minShare float64) bool {
	for _, cs := range ctl.classes {
		if cs.importance < imp && cs.share.maybeBusy(now) && cs.share.value > yieldMargin*max(minShare, probeShare) {
			return true
		}
	}
	return false
}

// lessImportantFailing reports whether a less important class fails and is not mostly
// refused yet.
func (ctl *Controller) lessImportantFailing(now time.Time, imp call.Importance) bool {
	for _, cs := range ctl.classes {
		if cs.importance < imp && cs.refusalRatio(now) < mostlyRefusedRatio && cs.outcomes.failing() {
			return true
		}
	}
	return false
}

// Result is the result of an admitted request.
type Result struct {
	// Succeeded says that the caller got what it asked for, and Unreachable that it did not
	// because no VM of a service of the call tree could be reached.
	Succeeded, Unreachable bool
	// UpstreamFault says that the request failed only because upstreams with free slots refused
	// work. Admitting fewer requests would not make more of them succeed.
	UpstreamFault bool
	// Occupancy is the highest occupancy of the services of its call tree, or zero if it
	// is not known.
	Occupancy call.Occupancy
	// Took is the duration of the request.
	Took time.Duration
	// Share is that of the decision that admitted the request.
	Share float64
	// Importance is that of the request if its OfCustomer was set, and otherwise zero.
	Importance call.Importance
}

// Finish records the result of an admitted request. A failure also counts for the less
// important classes that fail: they compete for the same capacity and must yield.
// Requests whose callers left are recorded by CallerLeft.
func (ctl *Controller) Finish(now time.Time, class call.Class, rs Result) {
	cs := ctl.classes[classKey{class, rs.Importance}]
	if cs == nil {
		return
	}
	cs.slowStart.end(rs.Succeeded, rs.Occupancy)
	if rs.Occupancy > 0 {
		cs.share.observe(now, rs.Occupancy)
	}
	cs.unreachable.add(now, rs)
	if rs.Succeeded || rs.UpstreamFault {
		cs.faulty.add(now, rs.Succeeded)
	}
	if rs.UpstreamFault && !rs.Succeeded {
		return
	}
	cs.addResult(now, rs.Share, rs.Succeeded, rs.Succeeded)
	if rs.Succeeded {
		cs.recent.addServed(now, shareHalfLife)
		cs.account.addServed(now, allocation.AccountHalfLife)
		cs.durations = min(cs.durations+1, maxDurationSamples)
		cs.meanDuration += (rs.Took - cs.meanDuration) / time.Duration(cs.durations)
		return
	}
	for _, other := range ctl.classes {
		if other.importance >= cs.importance {
			continue
		}
		if other.outcomes.decay(now); other.outcomes.failing() {
			other.outcomes.requests += blameWeight
		}
	}
}

// CallerLeft records an admitted request whose caller left before the answer. It was not
// served, but it has not failed either: if it did not count as accepted, the requests that are
// refused for failures would outnumber the accepted ones where many callers leave, and the
// refusals would go on without any failures.
// Of the result, only the share and the importance count. blocked says that the caller left as a
// request that waited for the answer had expired.
func (ctl *Controller) CallerLeft(now time.Time, class call.Class, rs Result, blocked bool) {
	if cs := ctl.classes[classKey{class, rs.Importance}]; cs != nil {
		if blocked {
			cs.blockedAt = now
		}
		cs.slowStart.end(false, 0)
		cs.addResult(now, rs.Share, true, false)
	}
}

// Retain removes all classes for which retain returns false, and the services that no
// remaining class calls.
func (ctl *Controller) Retain(retain func(call.Class) bool) {
	maps.DeleteFunc(ctl.classes, func(key classKey, _ *classState) bool { return !retain(key.class) })
	maps.DeleteFunc(ctl.services, func(svc call.Service, _ *service) bool { return !ctl.isCalled(svc) })
}

// classState is the state of one class, or of those of its requests whose customers have an
// importance of their own.
type classState struct {
	importance  call.Importance
	outcomes    outcomes
	unreachable unreachability
	// faulty counts the requests that succeeded, and those that failed by a fault of upstreams
	// with free slots.
	faulty outcomes
	// recent counts the sends of the last seconds, and account those of many seconds, across
	// all that decided on them meanwhile. results counts the results of the last second.
	recent, account sendCounts
	results         resultCounts
	// unlimited says that results were counted of requests that were admitted while all were.
	unlimited bool
	// granted says that guards granted a share when the last request arrived.
	granted bool
	// admittedAt is when a request was last admitted.
	admittedAt time.Time
	// blockedAt is when a request last blocked another one on its connection past its
	// deadline, or was refused as it would have.
	blockedAt time.Time
	share     localShare
	slowStart slowStart
	// timely limits the requests that can still be answered within their target, and
	// overdue the others.
	timely, overdue shareLimiter
	*calls
	// meanDuration is the mean duration of the requests that succeeded, and durations the
	// number of them in the mean, up to maxDurationSamples.
	meanDuration time.Duration
	durations    int
}

// addResult counts the result of a request that a share admitted: whether it counts as accepted, and
// whether it succeeded. What was broken while all requests were admitted says nothing about a share
// that is much smaller.
func (cs *classState) addResult(now time.Time, share float64, accepted, succeeded bool) {
	if share >= 1 && cs.share.value <= maxStaleShare {
		return
	}
	cs.unlimited = cs.unlimited || share >= 1
	cs.outcomes.add(now, accepted)
	cs.results.add(now, succeeded)
}

// discardStale discards the results of requests that were admitted while all were, once few are.
func (cs *classState) discardStale() {
	if cs.unlimited && cs.share.value <= maxStaleShare {
		cs.outcomes, cs.results, cs.unlimited = outcomes{}, resultCounts{}, false
	}
}

// shouldProbe reports whether a request must be admitted to learn the state of its services, as
// none was admitted for some time and none succeeded.
func (cs *classState) shouldProbe(now time.Time) bool {
	unknown := !cs.share.occupancyKnown(now) && cs.outcomes.accepts < maxProbeAccepts
	return (unknown || cs.unreachable.active(now)) && now.Sub(cs.admittedAt) >= probeInterval
}

// refusalRatio returns the fraction of requests to refuse because of earlier failures. It is zero
// where all services have free slots.
func (cs *classState) refusalRatio(now time.Time) float64 {
	cs.outcomes.decay(now)
	switch {
	case cs.unreachable.active(now):
		return 1
	case !cs.share.maybeBusy(now):
		return 0
	}
	multiplier := successMultiplier
	if cs.granted {
		multiplier = grantedMultiplier
	}
	ratio := cs.outcomes.refusalRatio(multiplier)
	if cs.mostlyFails(now) {
		ratio = max(ratio, mostlyRefusedRatio)
	}
	return ratio
}

// mostlyFails reports whether nearly all requests of the class fail by a fault of upstreams with free
// slots. Refusing some makes no others succeed, but the slots of busy services are wasted on them.
func (cs *classState) mostlyFails(now time.Time) bool {
	cs.faulty.decay(now)
	return cs.faulty.failing() && cs.faulty.accepts < minCarriedRatio*cs.faulty.requests
}
