package withdrawal_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"camphortrail/call"
	"camphortrail/internal/lab/fuzzing"
	"camphortrail/withdrawal"

	"pgregory.net/rapid"
)

func init() {
	fuzzing.SetFlags(1500, 150)
}

type (
	registry = withdrawal.Registry[call.AttemptID]
	result   = withdrawal.Result[call.AttemptID]
)

var (
	epoch = time.Unix(1_000_000, 0)
	small = withdrawal.Limits{Attempts: 8, AnswerBytes: 3, AnswerRetention: time.Second, StampLifetime: 4 * time.Second}
)

// request is one request of the entry. runs counts its executions; outcome is what the
// entry reported to the caller, if reported is set.
type request struct {
	history  withdrawal.History
	runs     int
	reported bool
	outcome  call.Outcome
}

// sent is an attempt, which the network may deliver late, twice or never.
type sent struct {
	request *request
	id      call.AttemptID
	stamp   withdrawal.Stamp
	doubled bool
}

// report is a result or an answer that the guard has sent to the entry.
type report struct {
	sent   *sent
	result result
	answer bool
}

// exchange connects an entry to a guard that restarts, through a network that loses,
// duplicates and reorders messages.
type exchange struct {
	now      time.Time
	rng      *rand.Rand
	guard    *registry
	stamps   []withdrawal.Stamp
	requests []*request
	attempts []*sent
	begins   []*sent
	queued   []*sent
	running  []*sent
	reports  []report
}

// restarts restarts the guard at random.
func (ex *exchange) restarts(t *rapid.T) {
	if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
		ex.restart()
	}
}

func (ex *exchange) restart() {
	self := withdrawal.Incarnation(ex.rng.Uint64())
	ex.guard = withdrawal.NewRegistry[call.AttemptID](self, ex.now, small)
	ex.queued = nil
}

// sends sends an attempt of a new or an existing request if the history of the request
// allows it, with any stamp that the entry has ever received.
func (ex *exchange) sends(t *rapid.T) {
	ex.stamps = append(ex.stamps, ex.guard.Stamp(ex.now))
	rq := pick(t, ex.requests)
	if rq == nil || rapid.Bool().Draw(t, "new") {
		rq = &request{}
		rq.history.Idempotent = rapid.IntRange(0, 3).Draw(t, "idempotent") == 0
		ex.requests = append(ex.requests, rq)
	}
	if rq.reported || rq.history.Decide() != withdrawal.Retry {
		return
	}
	se := &sent{request: rq, id: call.NewAttemptID(ex.rng), stamp: ex.stamps[len(ex.stamps)-1]}
	if rapid.IntRange(0, 3).Draw(t, "old stamp") == 0 {
		se.stamp = pick(t, ex.stamps)
	}
	rq.history.RecordSent(se.id)
	ex.attempts = append(ex.attempts, se)
	ex.begins = append(ex.begins, se)
	if rapid.IntRange(0, 3).Draw(t, "doubled") == 0 {
		se.doubled = true
		ex.begins = append(ex.begins, se)
	}
}

// arrives delivers an attempt. If only one copy was sent and that is refused on arrival,
// the refusal proves that the attempt does not run.
func (ex *exchange) arrives(t *rapid.T) {
	se := pick(t, ex.begins)
	if se == nil {
		return
	}
	ex.begins = without(ex.begins, se)
	res := ex.guard.Step(ex.now, withdrawal.Arrive[call.AttemptID]{Attempt: se.id, Stamp: se.stamp})
	switch res.Decision {
	case withdrawal.Accepted:
		ex.queued = append(ex.queued, se)
	case withdrawal.Stale, withdrawal.Full:
		if !se.doubled {
			ex.reports = append(ex.reports, report{sent: se, result: result{State: withdrawal.Dequeued}})
		}
	}
}

// starts starts or refuses a queued attempt.
func (ex *exchange) starts(t *rapid.T) {
	se := pick(t, ex.queued)
	if se == nil {
		return
	}
	ex.queued = without(ex.queued, se)
	if rapid.IntRange(0, 4).Draw(t, "refuse") == 0 {
		res := ex.guard.Step(ex.now, withdrawal.Refuse[call.AttemptID]{Attempt: se.id})
		if res.Decision == withdrawal.Accepted {
			ex.reports = append(ex.reports, report{sent: se, result: res})
		}
		return
	}
	if ex.guard.Step(ex.now, withdrawal.Start[call.AttemptID]{Attempt: se.id}).Decision == withdrawal.Accepted {
		se.request.runs++
		ex.running = append(ex.running, se)
	}
}

// finishes ends a running attempt, possibly one that started before a restart of the guard.
func (ex *exchange) finishes(t *rapid.T) {
	se := pick(t, ex.running)
	if se == nil {
		return
	}
	ex.running = without(ex.running, se)
	if rapid.IntRange(0, 3).Draw(t, "abort") == 0 {
		ex.guard.Step(ex.now, withdrawal.Abort[call.AttemptID]{Attempt: se.id})
		return
	}
	ex.guard.Step(ex.now, withdrawal.Finish[call.AttemptID]{Attempt: se.id, Answer: se.id, Bytes: 1})
	if rapid.Bool().Draw(t, "answer arrives") {
		ex.reports = append(ex.reports, report{sent: se, answer: true})
	}
}

// withdraws withdraws or inspects any attempt.
func (ex *exchange) withdraws(t *rapid.T) {
	se := pick(t, ex.attempts)
	if se == nil {
		return
	}
	var ev withdrawal.Event[call.AttemptID] = withdrawal.Withdraw[call.AttemptID]{Attempt: se.id, Stamp: se.stamp}
	if rapid.IntRange(0, 3).Draw(t, "inspect") == 0 {
		ev = withdrawal.Inspect[call.AttemptID]{Attempt: se.id, Stamp: se.stamp}
	}
	res := ex.guard.Step(ex.now, ev)
	if res.HasAnswer && res.Answer != se.id {
		t.Fatalf("answer of attempt %v given for %v", res.Answer, se.id)
	}
	ex.reports = append(ex.reports, report{sent: se, result: res})
}

// learns delivers a report, which may be old or a duplicate, or loses it.
func (ex *exchange) learns(t *rapid.T) {
	if len(ex.reports) == 0 {
		return
	}
	i := rapid.IntRange(0, len(ex.reports)-1).Draw(t, "report")
	rp := ex.reports[i]
	if rapid.Bool().Draw(t, "last copy") {
		ex.reports = slices.Delete(ex.reports, i, i+1)
	}
	if rapid.IntRange(0, 4).Draw(t, "lost") == 0 {
		return
	}
	if rp.answer {
		rp.sent.request.history.RecordAnswer()
		return
	}
	rp.sent.request.history.RecordState(rp.sent.id, rp.result.State, rp.result.HasAnswer)
}

// tells reports the outcome of a request to its caller.
func (ex *exchange) tells(t *rapid.T) {
	if rq := pick(t, ex.requests); rq != nil && !rq.reported {
		rq.reported, rq.outcome = true, rq.history.Outcome()
	}
}

func (ex *exchange) passes(t *rapid.T) {
	ex.now = ex.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
	ex.guard.Step(ex.now, withdrawal.Tick[call.AttemptID]{})
}

// check fails if a request ran twice or its reported outcome is wrong.
func (ex *exchange) check(t *rapid.T) {
	for _, rq := range ex.requests {
		switch {
		case rq.runs > 1 && !rq.history.Idempotent:
			t.Fatalf("request that is not idempotent ran %d times", rq.runs)
		case rq.reported && rq.outcome == call.NotRun && rq.runs > 0:
			t.Fatal("request reported as not-run has run")
		case rq.reported && rq.outcome == call.Done && rq.runs == 0:
			t.Fatal("request reported as done has not run")
		}
	}
	if ex.guard.Len() > small.Attempts {
		t.Fatalf("%d attempts held, limit %d", ex.guard.Len(), small.Attempts)
	}
}

func pick[T any](t *rapid.T, all []T) (v T) {
	if len(all) == 0 {
		return v
	}
	return all[rapid.IntRange(0, len(all)-1).Draw(t, "pick")]
}

func without(all []*sent, se *sent) []*sent {
	i := slices.Index(all, se)
	return slices.Delete(all, i, i+1)
}

// TestExchange checks that no request runs twice unless it is idempotent, and that no
// request runs whose outcome was reported as not-run.
func TestExchange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ex := &exchange{now: epoch, rng: rand.New(rand.NewPCG(1, 1))}
		ex.restart()
		t.Repeat(map[string]func(*rapid.T){
			"restarts":    ex.restarts,
			"sends":       ex.sends,
			"sends more":  ex.sends,
			"arrives":     ex.arrives,
			"arrive more": ex.arrives,
			"starts":      ex.starts,
			"start more":  ex.starts,
			"finishes":    ex.finishes,
			"withdraws":   ex.withdraws,
			"learns":      ex.learns,
			"learns more": ex.learns,
			"tells":       ex.tells,
			"time passes": ex.passes,
			"":            ex.check,
		})
	})
}
