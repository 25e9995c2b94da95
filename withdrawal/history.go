package withdrawal

import (
	"slices"

	"camphortrail/call"
)

// RetryDecision tells an entry what to do next for a request.
type RetryDecision uint8

// The advice.
const (
	// Wait for the answer, or ask again.
	Wait RetryDecision = iota
	// Retry allows another attempt.
	Retry
	// Deliver the answer to the caller.
	Deliver
	// GiveUp means that no answer is to be expected and that another
	// attempt could run the request twice.
	GiveUp
)

// History records the attempts of one request at its entry. Each attempt is
// recorded before any byte of it is sent.
type History struct {
	// Idempotent requests may be sent again at any time.
	Idempotent bool
	// CallerResent is set when the caller sent the request before: an earlier
	// send may have run.
	CallerResent bool

	// unresolved holds the attempts that may run or may have run.
	unresolved []call.AttemptID
	mayHaveRun  bool
	answered bool
}

// RecordSent records an attempt that is about to be sent.
func (hs *History) RecordSent(id call.AttemptID) { hs.unresolved = append(hs.unresolved, id) }

// RecordAnswer records that the whole answer of an attempt is there.
func (hs *History) RecordAnswer() RetryDecision {
	hs.answered = true
	return Deliver
}

// RecordState records the state of an attempt, as its guard reported it; kept says
// whether the report contained the answer. An attempt of which no byte was
// sent, or which its guard refused before it began, counts as Dequeued.
func (hs *History) RecordState(id call.AttemptID, st State, kept bool) RetryDecision {
	switch {
	case hs.answered || st == Finished && kept:
		return hs.RecordAnswer()
	case st.NotRun():
		hs.resolve(id)
	case st == Finished || st == Unknown:
		hs.mayHaveRun = true
		hs.resolve(id)
	}
	return hs.Decide()
}

// Decide returns what to do with the request as far as it is known.
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

// Outcome returns what the caller may be told when nothing more is done.
func (hs *History) Outcome() call.Outcome {
	switch {
	case hs.answered:
		return call.Done
	case hs.CallerResent || hs.mayHaveRun || len(hs.unresolved) > 0:
		return call.Unknown
	}
	return call.NotRun
}

func (hs *History) resolve(id call.AttemptID) {
	if i := slices.Index(hs.unresolved, id); i >= 0 {
		hs.unresolved = slices.Delete(hs.unresolved, i, i+1)
	}
}
