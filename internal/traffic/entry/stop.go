package entry

import (
	"time"

	"camphortrail/internal/ops/events"
	"camphortrail/internal/traffic/attempt"
)

// stopRetryAfter is the mean time after which a caller of a stopping node may retry. The
// node is back after a few seconds, and callers may use another one meanwhile.
const stopRetryAfter = time.Second

// stopTimes says when the entry stopped, and when the process breaks off what is in flight.
type stopTimes struct{ begun, end time.Time }

// Stop makes the entry refuse new requests of callers. It still serves calls of the upstream on its
// VM, which belong to attempts that run, if their deadlines are no later than end. Only the first
// call has an effect.
func (en *Entry) Stop(end time.Time) {
	en.stop.CompareAndSwap(nil, &stopTimes{time.Now(), end})
}

// stopping reports whether the entry has stopped.
func (en *Entry) stopping() bool { return en.stop.Load() != nil }

// refuseWhileStopping refuses a request if the entry has stopped, unless it is a call and over by
// the end of the stop. Which requests are calls is learned. A request of a caller that is taken for
// one is not broken off either.
func (en *Entry) refuseWhileStopping(rq *request, now time.Time) *attempt.Answer {
	st := en.stop.Load()
	if st == nil {
		return nil
	}
	isCall := rq.isCall || rq.parent != nil || rq.parentUnknown
	if !isCall || rq.deadline.After(st.end) {
		return attempt.Refusal(ReasonStopping, en.jitter(stopRetryAfter))
	}
	ev := events.Event{
		Kind: events.Accepted, Request: rq.label, Reason: ReasonStopping, Class: string(rq.kind.Class), Service: string(rq.kind.Service),
		Importance: int(rq.importance), TookMS: now.Sub(st.begun).Milliseconds(), LeftMS: rq.deadline.Sub(now).Milliseconds(),
	}
	if rq.parent != nil {
		ev.Parent = rq.parent.Label
	}
	en.opt.Events.Add(now, ev)
	return nil
}
