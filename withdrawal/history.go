package withdrawal

import (
	"slices"

	"camphortrail/call"
)

// Advice tells an entry what to do next for a request.
type Advice uint8

// The advice.
const (
	// Wait for the answer, or ask again.
	Wait Advice = iota
	// SendAgain allows another attempt.
	SendAgain
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
	// Resent is set when the caller sent the request before: an earlier
	// send may have run.
	Resent bool

	// open holds the attempts that may run or may have run.
	open []call.AttemptID
	ran  bool
	done bool
}

// Sent records an attempt that is about to be sent.
func (hs *History) Sent(id call.AttemptID) { hs.open = append(hs.open, id) }

// Answered records that the whole answer of an attempt is there.
func (hs *History) Answered() Advice {
	hs.done = true
	return Deliver
}

// Learn records the state of an attempt, as its guard reported it; kept says
// whether the report contained the answer. An attempt of which no byte was
// sent, or which its guard refused before it began, counts as Dequeued.
func (hs *History) Learn(id call.AttemptID, st State, kept bool) Advice {
	switch {
	case hs.done || st == Finished && kept:
		return hs.Answered()
	case st.NotRun():
		hs.remove(id)
	case st == Finished || st == Unknown:
		hs.ran = true
		hs.remove(id)
	}
	return hs.Advice()
}

// Advice returns what to do with the request as far as it is known.
func (hs *History) Advice() Advice {
	switch {
	case hs.done:
		return Deliver
	case hs.Idempotent || len(hs.open) == 0 && !hs.ran:
		return SendAgain
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
	case hs.Resent || hs.ran || len(hs.open) > 0:
		return call.Unknown
	}
	return call.NotRun
}

func (hs *History) remove(id call.AttemptID) {
	if i := slices.Index(hs.open, id); i >= 0 {
		hs.open = slices.Delete(hs.open, i, i+1)
	}
}
