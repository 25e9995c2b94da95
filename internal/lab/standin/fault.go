package standin

import (
	"context"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"time"

	"camphortrail/internal/traffic/header"
)

// Fault is a way in which an upstream spoils an answer.
type Fault uint8

// The faults. All of them take effect after the work was run.
const (
	// NoFault sends the correct answer.
	NoFault Fault = iota
	// Drop closes the connection instead of answering.
	Drop
	// Late answers after lateAnswerDelay.
	Late
	// Truncate closes the connection after half of the body.
	Truncate
	// WrongAttempt answers with the attempt id and the body of another attempt.
	WrongAttempt
	// Silent does not answer, and closes the connection when the request is cancelled.
	Silent
)

const lateAnswerDelay = 3 * time.Second

// writeAnswer sends body, or what the fault makes of it.
func (ft Fault) writeAnswer(ctx context.Context, w http.ResponseWriter, attempt string, body []byte) {
	switch ft {
	case Drop:
		panic(http.ErrAbortHandler)
	case Silent:
		<-ctx.Done()
		panic(http.ErrAbortHandler)
	case Late:
		sleep(ctx, lateAnswerDelay)
	case WrongAttempt:
		attempt = hex.EncodeToString(make([]byte, 16))
		body = answerBody(digest{}, len(body))
	default:
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Header().Set("Content-Type", "text/plain")
	if attempt != "" {
		w.Header().Set(header.Attempt, attempt)
	}
	w.WriteHeader(http.StatusOK)
	if ft == Truncate {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

// sleep sleeps for d. It returns false if ctx ended before.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// discardBody reads the rest of a body, up to 1 MiB, so that its connection can be
// reused, and closes it.
func discardBody(body io.ReadCloser) {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, 1<<20))
	_ = body.Close()
}
