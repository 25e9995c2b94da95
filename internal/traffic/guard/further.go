package guard

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"camphortrail/call"
	"camphortrail/internal/ops/events"
	"camphortrail/internal/traffic/attempt"
	"camphortrail/internal/traffic/calltree"
	"camphortrail/retry"
)

// maxSends bounds how often one attempt is sent to the upstream. If the upstream refuses half of
// what it gets, one attempt in 4,096 reaches the bound.
const maxSends = 12

// furtherDecision says whether a refused attempt is sent to the upstream again.
type furtherDecision uint8

const (
	// notDecided means that the upstream did not refuse the attempt, or that the guard sends
	// nothing again.
	notDecided furtherDecision = iota
	allowed
	// deniedTotal means that the total of the service does not allow it.
	deniedTotal
	// deniedSlots means that other attempts wait for the slot. The upstream refuses for lack of
	// capacity then, and would again.
	deniedSlots
	// deniedTime means that the attempt has no time left, that nobody waits for it, or that the
	// process stops before its deadline.
	deniedTime
)

// furtherDecisionNames holds the decisions as metrics and logs name them.
var furtherDecisionNames = [...]string{"", "allowed", ReasonRetryTotal, "no-slots", "no-time"}

// furtherSends decides which refused attempts are sent again. It is safe for concurrent use.
type furtherSends struct {
	metrics *metrics.Set

	// ratio is that of Options.
	ratio float64

	mu    sync.Mutex
	total *retry.SharedTotal
	// counters holds the metrics of decisions, by importance.
	counters [call.MaxImportance + 1][len(furtherDecisionNames)]*metrics.Counter
}

func (fs *furtherSends) init(ratio float64, set *metrics.Set) {
	fs.ratio, fs.metrics = ratio, set
	fs.reset()
}

// reset discards what was counted, because the upstream is of another service now.
func (fs *furtherSends) reset() {
	if !fs.enabled() {
		return
	}
	fs.mu.Lock()
	defer fs.mu.Unlock()
	fs.total = retry.NewSharedTotal(fs.ratio)
}

// rankOf returns the rank of an attempt among those that are sent again.
func rankOf(at *attempt.Attempt) retry.Rank {
	return retry.Rank{Importance: at.Importance, Progress: int(at.Depth) + at.CallsDone, Cohort: at.Request.Cohort()}
}

// arrive counts an attempt that arrived.
func (fs *furtherSends) arrive(now time.Time, at *attempt.Attempt) {
	if !fs.enabled() {
		return
	}
	fs.mu.Lock()
	defer fs.mu.Unlock()
	fs.total.Arrive(now, rankOf(at), !at.RepeatedSend)
}

// answered counts an answer of the upstream.
func (fs *furtherSends) answered(now time.Time, refused bool) {
	if !fs.enabled() {
		return
	}
	fs.mu.Lock()
	defer fs.mu.Unlock()
	fs.total.Answered(now, refused)
}

// enabled reports whether attempts are sent again at all.
func (fs *furtherSends) enabled() bool { return fs.ratio > 0 }

// allow asks the total for a further send of the attempt.
func (fs *furtherSends) allow(now time.Time, at *attempt.Attempt) furtherDecision {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	if !fs.total.Allow(now, rankOf(at)) {
		return deniedTotal
	}
	return allowed
}

// count counts a decision in the metrics.
func (fs *furtherSends) count(imp call.Importance, fd furtherDecision) {
	if fs.metrics == nil || imp > call.MaxImportance {
		return
	}
	fs.mu.Lock()
	defer fs.mu.Unlock()
	ct := &fs.counters[imp][fd]
	if *ct == nil {
		name := fmt.Sprintf(`camphortrail_guard_further_sends_total{importance="%d"}`, imp)
		if fd != allowed {
			name = fmt.Sprintf(`camphortrail_guard_further_sends_denied_total{reason=%q,importance="%d"}`, furtherDecisionNames[fd], imp)
		}
		*ct = fs.metrics.GetOrCreateCounter(name)
	}
	(*ct).Inc()
}

// decideFurtherSend decides whether an attempt that the upstream refused is sent to it again, and
// counts the further send if so. Only a refusal that says that the attempt did not run, and that
// the upstream has no capacity, comes here as Full.
func (gd *Guard) decideFurtherSend(pa *pendingAttempt, class AnswerClass) furtherDecision {
	if class != Full || !gd.furtherSends.enabled() {
		return notDecided
	}
	now := time.Now()
	gd.furtherSends.answered(now, true)
	fd := gd.checkFurtherSend(now, pa)
	if fd == allowed {
		fd = gd.furtherSends.allow(now, pa.attempt)
	}
	gd.furtherSends.count(pa.attempt.Importance, fd)
	return fd
}

// checkFurtherSend reports whether a further send of an attempt would be of use, and harm no other.
func (gd *Guard) checkFurtherSend(now time.Time, pa *pendingAttempt) furtherDecision {
	at := pa.attempt
	// The caller needs as much time again as the run takes to use the answer.
	needed := retry.FurtherDelay(pa.sends) + 2*gd.slots.slotTime(at.Class)
	tg := gd.target.Load()
	switch {
	case pa.sends >= maxSends, at.Deadline.Sub(now) < needed, gd.hasEnded(pa):
		return deniedTime
	case tg == nil || tg.upstream.Draining, gd.loop.waiting.Load() > 0 && gd.loop.running.Load() >= gd.loop.limit.Load():
		return deniedSlots
	}
	return allowed
}

// hasEnded reports whether an attempt must not be sent again: nobody waits for it, its deadline has
// passed, there is no memory for its answer, or the process stops before its deadline.
func (gd *Guard) hasEnded(pa *pendingAttempt) bool {
	return pa.isCancelled() || pa.run.Ended() || pa.memory.Evicted() || gd.outlastsStop(pa.attempt)
}

// takesFurtherSends reports whether the upstream is still the process of the target, and is not
// draining.
func (gd *Guard) takesFurtherSends(tg *target) bool {
	cur := gd.target.Load()
	return cur != nil && cur.client == tg.client && !cur.upstream.Draining
}

// forwardUntilRun sends the attempt to the target, and again after refusals as long as that is
// allowed. The attempt stays registered and keeps its slot meanwhile. It returns the last answer
// and the time at which the last send began.
func (gd *Guard) forwardUntilRun(pa *pendingAttempt, tg *target, in *calltree.Inbound) (*attempt.Answer, time.Time) {
	for {
		begun := time.Now()
		pa.sendAgain = notDecided
		an := gd.forward(pa, tg)
		if pa.sendAgain != allowed {
			return an, begun
		}
		time.Sleep(retry.FurtherDelay(pa.sends))
		if gd.hasEnded(pa) || !gd.takesFurtherSends(tg) {
			return an, begun
		}
		// The refusal is not passed on.
		pa.memory.Release()
		now := time.Now()
		gd.trees.SentAgain(now, in)
		gd.logFurtherSend(now, pa)
	}
}

// logFurtherSend logs that an attempt is sent to the upstream again.
func (gd *Guard) logFurtherSend(now time.Time, pa *pendingAttempt) {
	at := pa.attempt
	gd.events.Add(now, events.Event{
		Kind: events.Resent, Request: at.Label, Reason: "guard-" + ReasonUpstreamRefused, Class: string(at.Class),
		Service: string(at.Service), Importance: int(at.Importance), LeftMS: at.Deadline.Sub(now).Milliseconds(),
		Sends: pa.sends, Running: int(gd.loop.running.Load()), Slots: int(gd.loop.slots.Load()),
	})
}
