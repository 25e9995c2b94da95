package entry

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"camphortrail/call"
	"camphortrail/internal/ops/events"
	"camphortrail/internal/traffic/attempt"
)

// trafficCounters counts what became of the requests of each route and service since
// they were last taken.
type trafficCounters struct {
	mu sync.Mutex
	counters map[trafficKey]*trafficCounter
}

type trafficKey struct {
	class   call.Class
	service call.Service
}

type trafficCounter struct {
	events.Traffic
	// shareSum is the sum of the shareSum, in percent, of those that have one.
	shareSum, shareCount int
}

// trafficResult is what became of one request, as far as it is counted.
type trafficResult struct {
	answer *attempt.Answer
	// late says that it was answered after the target.
	late bool
	callerLeft bool
}

func (tl *trafficCounters) add(rq *request, rs trafficResult) {
	tl.mu.Lock()
	defer tl.mu.Unlock()
	if tl.counters == nil {
		tl.counters = make(map[trafficKey]*trafficCounter)
	}
	ky := trafficKey{rq.kind.Class, rq.kind.Service}
	ta := tl.counters[ky]
	if ta == nil {
		ta = &trafficCounter{Traffic: events.Traffic{Class: string(ky.class), Service: string(ky.service)}}
		tl.counters[ky] = ta
	}
	ta.add(rq, rs)
}

func (ta *trafficCounter) add(rq *request, rs trafficResult) {
	ta.Asked++
	if rq.returning {
		ta.Returning++
	}
	if !rq.isCall {
		ta.shareSum += rq.share
		ta.shareCount++
	}
	switch an := rs.answer; {
	case an.Outcome == call.NotRun:
		ta.addRefusal(rq, an)
	case rs.callerLeft:
		ta.Left++
	case an.Failed() || an.Status == http.StatusInternalServerError:
		ta.Broken++
	case rs.late:
		ta.Late++
	default:
		ta.InTarget++
	}
}

func (ta *trafficCounter) addRefusal(rq *request, an *attempt.Answer) {
	switch {
	case an.Reason == ReasonOverload && rq.attempts == 0:
		ta.Throttled++
	case an.Reason == ReasonKindFails:
		ta.Failing++
	default:
		ta.Refused++
	}
	if rq.returning {
		ta.ReturnRefused++
	}
	if an.RetryAfter > rq.kind.Target-rq.waited {
		ta.TooLate++
	}
}

// take returns what was counted, in the order of the routes, and starts anew.
func (tl *trafficCounters) take() []events.Traffic {
	tl.mu.Lock()
	by := tl.counters
	tl.counters = nil
	tl.mu.Unlock()
	list := make([]events.Traffic, 0, len(by))
	for _, ta := range by {
		if ta.shareCount > 0 {
			ta.MeanShare = ta.shareSum / ta.shareCount
		}
		list = append(list, ta.Traffic)
	}
	slices.SortFunc(list, func(a, b events.Traffic) int {
		return strings.Compare(a.Class+"\x00"+a.Service, b.Class+"\x00"+b.Service)
	})
	return list
}

// Summarize writes what became of the requests of each route since the last
// summary, and counts it in the metrics.
func (en *Entry) Summarize(now time.Time) {
	for _, tf := range en.traffic.take() {
		en.addLoad(now, &tf)
		en.opt.Events.Summarize(now, tf)
		en.countTraffic(tf)
	}
}

// addLoad adds what is known of the requests of a route: what they take of each
// service, and how they are served.
func (en *Entry) addLoad(now time.Time, tf *events.Traffic) {
	class := call.Class(tf.Class)
	en.mu.Lock()
	defer en.mu.Unlock()
	tf.NeedsMS = make(map[string]int64)
	for svc, took := range en.throttles.SlotTimes(class) {
		tf.NeedsMS[string(svc)] = took.Milliseconds()
	}
	tf.Calls = en.throttles.CallsPerRequest(class)
	st := en.throttles.Stats(now, class)
	tf.ThroughPercent, tf.YieldPercent = int(100*st.ServedRatio), int(100*st.SuccessRatio)
}

// countTraffic adds to the counters of requests by route and result.
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
		{"failing", tf.Failing},
		{"refused", tf.Refused},
		{"broken", tf.Broken},
		{"left", tf.Left},
	} {
		if ct.count > 0 {
			name := fmt.Sprintf(`camphortrail_requests_total{class=%q,service=%q,result=%q}`, tf.Class, tf.Service, ct.result)
			en.opt.Metrics.GetOrCreateCounter(name).Add(ct.count)
		}
	}
	if tf.Returning > 0 {
		name := fmt.Sprintf(`camphortrail_requests_returning_total{class=%q,service=%q}`, tf.Class, tf.Service)
		en.opt.Metrics.GetOrCreateCounter(name).Add(tf.Returning)
	}
}
