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

	// open holds the attempts that may run or may have run.
	open []call.AttemptID
	ran  bool
	done bool
}

// RecordSent records an attempt that is about to be sent.
func (hs *History) RecordSent(id call.AttemptID) { hs.open = append(hs.open, id) }

// RecordAnswer records that the whole answer of an attempt is there.
func (hs *History) RecordAnswer() RetryDecision {
	hs.done = true
	return Deliver
}

// RecordState records the state of an attempt, as its guard reported it; kept says
// whether the report contained the answer. An attempt of which no byte was
// sent, or which its guard refused before it began, counts as Dequeued.
func (hs *History) RecordState(id call.AttemptID, st State, kept bool) RetryDecision {
	switch {
	case hs.done || st == Finished && kept:
		return hs.RecordAnswer()
	case st.NotRun():
		hs.remove(id)
	case st == Finished || st == Unknown:
		hs.ran = true
		hs.remove(id)
	}
	return hs.Decide()
}

// Decide returns what to do with the request as far as it is known.
func (hs *History) Decide() RetryDecision {
	switch {
	case hs.done:
		return Deliver
	case hs.Idempotent || len(hs.open) == 0 && !hs.ran:
		return Retry
	case len(hs.open) > 0:
		return Wait
	}
	return GiveUp
}

// Outcome returns what the caller may be told when nothing more is done.
func (hs *History) Outcome() call.Outcome {
	switch {
	case hs.done:
		return call.Done
	case hs.CallerResent || hs.ran || len(hs.open) > 0:
		return call.Unknown
	}
	return call.NotRun
}

func (hs *History) remove(id call.AttemptID) {
	if i := slices.Index(hs.open, id); i >= 0 {
		hs.open = slices.Delete(hs.open, i, i+1)
	}
}
