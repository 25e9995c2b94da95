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

// Fault is a way in which an upstream fails.
type Fault uint8

// The faults. All but NoFault strike after the work was run.
const (
	// NoFault answers as it should.
	NoFault Fault = iota
	// Drop closes the connection in place of an answer.
	Drop
	// Late answers after lateAnswer.
	Late
	// Truncate closes the connection within the body.
	Truncate
	// WrongAttempt answers with another attempt's id and body.
	WrongAttempt
	// Silent never answers.
	Silent
)

const lateAnswer = 3 * time.Second

// answer sends body, or what the fault makes of it.
func (ft Fault) answer(ctx context.Context, w http.ResponseWriter, attempt string, body []byte) {
	switch ft {
	case Drop:
		panic(http.ErrAbortHandler)
	case Silent:
		<-ctx.Done()
		panic(http.ErrAbortHandler)
	case Late:
		wait(ctx, lateAnswer)
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

// wait sleeps for d, and reports whether ctx was still alive at its end.
func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func drain(body io.ReadCloser) {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, 1<<20))
	_ = body.Close()
}
