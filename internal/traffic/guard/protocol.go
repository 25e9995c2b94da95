package guard

import (
	"net/http"
	"slices"
	"time"

	"camphortrail/call"
	"camphortrail/internal/traffic/attempt"
	"camphortrail/internal/traffic/header"
)

// AnswerClass says what the header of an upstream's answer proves about an attempt.
type AnswerClass uint8

// The classes of answers.
const (
	// Unusable means that the answer belongs to another attempt, or that nothing marks
	// the end of its body. The attempt may have run.
	Unusable AnswerClass = iota
	// Answered means that this is the answer to the attempt.
	Answered
	// Full means that the upstream had no capacity and did not begin the attempt.
	Full
	// Misdirected means that the attempt was meant for another upstream and that this
	// one did not begin it.
	Misdirected
)

// Protocol writes and reads the headers that the guard and the upstream beside it
// exchange.
type Protocol interface {
	// AddRequestHeaders adds the headers for the upstream of that instance to a request.
	// left is the time until the deadline.
	AddRequestHeaders(hd http.Header, at *attempt.Attempt, instance string, left time.Duration)
	// Classify reads the header of an answer. It returns Full or Misdirected only if the
	// answer names this attempt or none: an answer that names another attempt proves
	// nothing about this one.
	Classify(res *http.Response, at *attempt.Attempt) AnswerClass
	// AnswersRequest reports whether the answer with header hd names the request that
	// was sent with the header asked.
	AnswersRequest(hd, asked http.Header) bool
}

// defaultProtocol uses the Camphortrail- headers (docs/CALLERS.md). An upstream need not
// know them; if it echoes the attempt id, its refusals are recognized.
type defaultProtocol struct{}

// AddRequestHeaders implements Protocol.
func (defaultProtocol) AddRequestHeaders(hd http.Header, at *attempt.Attempt, _ string, left time.Duration) {
	hd.Set(header.Attempt, at.ID.String())
	hd.Set(header.Request, at.Request.String())
	hd.Set(header.DeadlineMS, attempt.FormatMilliseconds(left))
}

// Classify implements Protocol. An answer that names another attempt, or whose body has
// neither a length nor chunks, is unusable.
func (defaultProtocol) Classify(res *http.Response, at *attempt.Attempt) AnswerClass {
	echo := res.Header.Get(header.Attempt)
	switch {
	case echo != "" && echo != at.ID.String(), !hasFraming(res):
		return Unusable
	case echo != "" && res.Header.Get(header.Outcome) == call.NotRun.String():
		return Full
	}
	return Answered
}

// AnswersRequest implements Protocol.
func (defaultProtocol) AnswersRequest(hd, asked http.Header) bool {
	echo := hd.Get(header.Attempt)
	return echo != "" && echo == asked.Get(header.Attempt)
}

// hasFraming reports whether the message marks the end of its body, by a length or by
// chunks. If it does not, a lost connection looks like the end.
func hasFraming(res *http.Response) bool {
	return res.ContentLength >= 0 || slices.Contains(res.TransferEncoding, "chunked")
}
