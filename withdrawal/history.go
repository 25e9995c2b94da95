package withdrawal

import (
	"slices"

	"camphortrail/call"
)

// RetryDecision is what an entry does next with a request.
type RetryDecision uint8

// The decisions of a History.
const (
	// Wait means to wait for the answer or query the state of the attempt again.
	Wait RetryDecision = iota
	// Retry means that the request may be sent as another attempt.
	Retry
	// Deliver means that the answer is available for the caller.
	Deliver
	// GiveUp means that no answer will arrive and that another attempt could execute the
	// request a second time.
	GiveUp
)

// History records the attempts of one request at its entry. Each attempt is
// recorded before any byte of it is sent.
type History struct {
	// Idempotent is set if the request may be executed more than once, so that it may be
	// sent again at any time.
	Idempotent bool
	// CallerResent is set if the caller has sent the request before, so that it may have
	// run already.
	CallerResent bool

	// unresolved holds the attempts that may still run or whose answer may still arrive.
	// mayHaveRun is set if another attempt ran, or may have run, and its answer is lost.
	unresolved []call.AttemptID
	mayHaveRun bool
	answered   bool
}

// RecordSent records an attempt that is about to be sent.
func (hs *History) RecordSent(id call.AttemptID) { hs.unresolved = append(hs.unresolved, id) }

// RecordAnswer records that the complete answer of an attempt has arrived.
func (hs *History) RecordAnswer() RetryDecision {
	hs.answered = true
	return Deliver
}

// RecordState records the state of an attempt as reported by its guard. hasAnswer is true
// if the report contained the answer. Dequeued is also the state of an attempt of which no
// byte was sent, or which its guard refused before it started.
func (hs *History) RecordState(id call.AttemptID, st State, hasAnswer bool) RetryDecision {
	switch {
	case hs.answered || st == Finished && hasAnswer:
		return hs.RecordAnswer()
	case st.NotRun():
		hs.resolve(id)
	case st == Finished || st == Unknown:
		hs.mayHaveRun = true
		hs.resolve(id)
	}
	return hs.Decide()
}

// Decide returns what to do next, given what is recorded. A request that is not idempotent
// is sent again only if none of its attempts has run or can still run.
func (hs *History) Decide() RetryDecision {
	switch {
	case hs.answered:
		return Deliver
	case hs.Idempotent || len(hs.unresolved) == 0 && !hs.mayHaveRun:
		return Retry
	case len(hs.unresolved) > 0:
		return Wait
	}
	return GiveUp
}

// Outcome returns the outcome to report to the caller if nothing more is done.
func (hs *History) Outcome() call.Outcome {
	switch {
	case hs.answered:
		return call.Done
	case hs.CallerResent || hs.mayHaveRun || len(hs.unresolved) > 0:
		return call.Unknown
	}
	return call.NotRun
}

// resolve removes an attempt whose state is final.
func (hs *History) resolve(id call.AttemptID) {
	if i := slices.Index(hs.unresolved, id); i >= 0 {
		hs.unresolved = slices.Delete(hs.unresolved, i, i+1)
	}
}
