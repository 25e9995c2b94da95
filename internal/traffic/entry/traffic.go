package entry

import (
	"math"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"camphortrail/call"
	"camphortrail/internal/ops/events"
	"camphortrail/internal/ops/series"
	"camphortrail/internal/traffic/attempt"
	"camphortrail/internal/traffic/pipeline"
	"camphortrail/internal/traffic/throttle"
)

// trafficCounters counts the results of requests by class and service since the last call
// of take.
type trafficCounters struct {
	mu       sync.Mutex
	counters map[trafficKey]*trafficCounter
}

// trafficKey names the counter of the requests of a class that go to a service.
type trafficKey struct {
	class   call.Class
	service call.Service
}

// trafficCounter counts the results of the requests of one class and service.
type trafficCounter struct {
	events.Traffic
	// shareSum is the sum of the admitted shares, in percent, at the requests of callers,
	// and shareCount the number of these requests. Calls of upstreams have no share.
	shareSum, shareCount int
}

// trafficResult is the result of one request.
type trafficResult struct {
	answer *attempt.Answer
	// late is true if the answer came after the target of the route.
	late bool
	// callerLeft is true if the request was cancelled before the answer.
	callerLeft bool
}

// add counts one request.
func (tcs *trafficCounters) add(rq *request, rs trafficResult) {
	tcs.mu.Lock()
	defer tcs.mu.Unlock()
	if tcs.counters == nil {
		tcs.counters = make(map[trafficKey]*trafficCounter)
	}
	ky := trafficKey{rq.kind.Class, rq.kind.Service}
	tc := tcs.counters[ky]
	if tc == nil {
		tc = &trafficCounter{Traffic: events.Traffic{Class: string(ky.class), Service: string(ky.service)}}
		tcs.counters[ky] = tc
	}
	tc.add(rq, rs)
}

// add counts one request of the counter's class and service under exactly one result.
func (tc *trafficCounter) add(rq *request, rs trafficResult) {
	tc.Total++
	if rq.returning {
		tc.Returning++
	}
	if rq.isCall {
		tc.Calls++
	} else {
		tc.shareSum += rq.share
		tc.shareCount++
	}
	if rq.admitted {
		tc.addAdmitted(rq, rs)
		tc.AdmittedBy = addRule(tc.AdmittedBy, rq.decidedBy)
	} else if rq.decidedBy != 0 {
		tc.RefusedBy = addRule(tc.RefusedBy, rq.decidedBy)
	}
	if rq.blocking {
		tc.Blocking++
	}
	switch an := rs.answer; {
	case an.Outcome == call.NotRun:
		tc.addRefusal(rq, an)
	case rs.callerLeft:
		tc.CallerLeft++
	case an.Failed() || an.Status == http.StatusInternalServerError:
		tc.Failed++
	case rs.late:
		tc.Late++
	default:
		tc.InTarget++
	}
}

// addRule adds one request to the counts by the rule that decided on it.
func addRule(counts map[string]int, ru throttle.Rule) map[string]int {
	if counts == nil {
		counts = make(map[string]int)
	}
	counts[ru.String()]++
	return counts
}

// Reasons why an admitted request was not answered within its target, apart from those of its
// answer.
const (
	reasonLate = "late"
	// reasonBlockedExpired means that the caller left as a request that waited for the answer
	// had expired.
	reasonBlockedExpired = "blocked-expired"
	// reasonGaveWay means that the request was cancelled for a finished one behind it.
	reasonGaveWay = "gave-way"
	// reasonCallOverload means that the upstream failed as one of its calls was refused or
	// came too late, reasonCallUnreachable that no VM of a called service could be reached, and
	// reasonUpstreamFailed that it failed otherwise.
	reasonCallOverload    = "call-overload"
	reasonCallUnreachable = "call-unreachable"
	reasonUpstreamFailed  = "upstream-failed"
)

// addAdmitted counts an admitted request, and the reason for which it was not answered within
// its target.
func (tc *trafficCounter) addAdmitted(rq *request, rs trafficResult) {
	tc.Admitted++
	reason := lossReason(rq, rs)
	if reason == "" {
		return
	}
	if tc.Losses == nil {
		tc.Losses = make(map[string]int)
	}
	tc.Losses[reason]++
}

// lossReason returns the one reason for which an admitted request was not answered within its
// target, or an empty string if it was.
func lossReason(rq *request, rs trafficResult) string {
	an := rs.answer
	failed := an.Failed() || an.Status == http.StatusInternalServerError
	switch {
	case rs.callerLeft:
		return leftReason(rq.cause)
	case an.Outcome == call.Done && failed && (rq.overload || an.Overload):
		return reasonCallOverload
	case an.Outcome == call.Done && an.Unreachable:
		return reasonCallUnreachable
	case an.Outcome == call.Done && failed:
		return reasonUpstreamFailed
	case an.Outcome != call.Done:
		return an.Reason
	case rs.late:
		return reasonLate
	}
	return ""
}

// leftReason returns the reason for which a request was cancelled before its deadline, given the
// cause of the cancellation.
func leftReason(cause error) string {
	switch {
	case errors.Is(cause, pipeline.ErrGaveWay):
		return reasonGaveWay
	case errors.Is(cause, pipeline.ErrBlockedExpired):
		return reasonBlockedExpired
	case errors.Is(cause, pipeline.ErrShutdown):
		return ReasonStopping
	}
	return events.CallerLeft
}

// addRefusal counts a request that did not run: throttled by the entry before any attempt,
// refused because its kind fails, or refused otherwise. RetryTooLate counts those whose target
// passes before the caller may retry.
func (tc *trafficCounter) addRefusal(rq *request, an *attempt.Answer) {
	switch {
	case an.Reason == ReasonOverload && rq.attempts == 0:
		tc.Throttled++
	case an.Reason == ReasonKindFails:
		tc.RefusedForFailures++
	default:
		tc.Refused++
	}
	if rq.returning {
		tc.ReturningRefused++
	}
	if an.RetryAfter > rq.kind.Target-rq.waited {
		tc.RetryTooLate++
	}
}

// take returns the counts, sorted by class and service, and resets them.
func (tcs *trafficCounters) take() []events.Traffic {
	tcs.mu.Lock()
	by := tcs.counters
	tcs.counters = nil
	tcs.mu.Unlock()
	list := make([]events.Traffic, 0, len(by))
	for _, tc := range by {
		if tc.shareCount > 0 {
			tc.MeanSharePercent = tc.shareSum / tc.shareCount
		}
		list = append(list, tc.Traffic)
	}
	slices.SortFunc(list, func(a, b events.Traffic) int {
		return strings.Compare(a.Class+"\x00"+a.Service, b.Class+"\x00"+b.Service)
	})
	return list
}

// Summarize logs the results of the requests of each route since the last summary, and
// adds them to the metrics.
func (en *Entry) Summarize(now time.Time) {
	for _, tf := range en.traffic.take() {
		en.addLoad(now, &tf)
		en.opt.Events.Summarize(now, tf)
		en.countTraffic(tf)
	}
}

// addLoad adds the load of a route to its summary: the time for which a request occupies
// slots of each service, the calls that it makes, and the success ratios.
func (en *Entry) addLoad(now time.Time, tf *events.Traffic) {
	class := call.Class(tf.Class)
	en.mu.Lock()
	defer en.mu.Unlock()
	tf.SlotTimeMS = make(map[string]int64)
	for svc, took := range en.throttles.SlotTimes(class) {
		tf.SlotTimeMS[string(svc)] = took.Milliseconds()
	}
	tf.CallsPerRequest = en.throttles.CallsPerRequest(class)
	st := en.throttles.Stats(now, class)
	tf.ServedPercent, tf.SuccessPercent = int(100*st.ServedRatio), int(100*st.SuccessRatio)
	tf.MinimumWanted, tf.Granted = math.Round(10*st.MinimumWanted)/10, math.Round(10*st.Granted)/10
	tf.MeanMS = st.MeanDuration.Milliseconds()
	tf.GrantedPercent, tf.GrantedLatePercent = int(100*st.GrantedShare), int(100*st.GrantedLateShare)
	tf.OwnPercent = int(100 * st.OwnShare)
}

// countTraffic adds the counts to the metrics of requests by route and result.
func (en *Entry) countTraffic(tf events.Traffic) {
	if en.opt.Metrics == nil {
		return
	}
	for _, ct := range []struct {
		result string
		count  int
	}{
		{"in-target", tf.InTarget},
		{"late", tf.Late},
		{"throttled", tf.Throttled},
		{"failing", tf.RefusedForFailures},
		{"refused", tf.Refused},
		{"broken", tf.Failed},
		{"left", tf.CallerLeft},
	} {
		if ct.count > 0 {
			name := series.Name("camphortrail_requests_total", "class", tf.Class, "service", tf.Service, "result", ct.result)
			en.opt.Metrics.GetOrCreateCounter(name).Add(ct.count)
		}
	}
	if tf.Returning > 0 {
		name := series.Name("camphortrail_requests_returning_total", "class", tf.Class, "service", tf.Service)
		en.opt.Metrics.GetOrCreateCounter(name).Add(tf.Returning)
	}
}
