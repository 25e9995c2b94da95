package guard

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"camphortrail/call"
	"camphortrail/internal/traffic/attempt"
	"camphortrail/internal/traffic/buffer"
)

// Endless bodies on several connections must be given up before they fill the memory of
// the node, and a small answer beside them must still be read.
func TestEndlessBodiesAreGivenUp(t *testing.T) {
	const limit = 1 << 20
	var mu sync.Mutex
	peak := int64(0)
	var running atomic.Pointer[Guard]
	address, _ := fakeUpstream(t, func(conn net.Conn, rq *http.Request) {
		if rq.RequestURI == "/small" {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			return
		}
		if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
			return
		}
		chunk := "10000\r\n" + strings.Repeat("x", 64<<10) + "\r\n"
		for {
			mu.Lock()
			peak = max(peak, running.Load().memory.Used())
			mu.Unlock()
			if _, err := io.WriteString(conn, chunk); err != nil {
				return
			}
		}
	})
	gd := startGuard(t, false, address)
	gd.memory = buffer.NewBudget(limit)
	running.Store(gd)
	var group sync.WaitGroup
	for n := range 4 {
		group.Go(func() {
			at := newAttempt(gd, true, 5*time.Second)
			at.MaxAnswerBytes, at.Method = 1<<30, http.MethodGet
			if n == 0 {
				at.URI = "/small"
			}
			an := gd.Handle(t.Context(), at)
			if want := n == 0; (an.Outcome == call.Done) != want {
				t.Errorf("%s: outcome %v, reason %s", at.URI, an.Outcome, an.Reason)
			}
		})
	}
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	if peak > limit {
		t.Errorf("%d bytes were buffered at a time, want at most %d", peak, limit)
	}
	if held := gd.memory.Used(); held != 0 {
		t.Errorf("%d bytes count as buffered after the answers", held)
	}
}

// Guards against answers that are in no budget after they have been read: there can be as many of them as
// requests, while these wait for a lock of the entry.
func TestLocalAnswerIsHeldUntilItIsCharged(t *testing.T) {
	const size = 1 << 20
	address, _ := fakeUpstream(t, func(conn net.Conn, _ *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 1048576\r\n\r\n"+strings.Repeat("x", size))
	})
	gd := startGuard(t, false, address)
	at := newAttempt(gd, true, 5*time.Second)
	at.MaxAnswerBytes, at.Method, at.Memory = size, http.MethodGet, new(buffer.Scope)
	if an := gd.Handle(t.Context(), at); len(an.Body) != size {
		t.Fatalf("%d bytes of %d, reason %s", len(an.Body), size, an.Reason)
	}
	if used := gd.memory.Used(); used < size {
		t.Errorf("%d bytes are charged for an answer of %d", used, size)
	}
	at.Memory.End()
	if used := gd.memory.Used(); used != 0 {
		t.Errorf("%d bytes are charged after the end", used)
	}
}

// TestAttemptGivenUpForMemoryNamesTheReason guards against an attempt that is given up for memory, and is
// told as one at its deadline: its entry would wait for the rest of the time.
func TestAttemptGivenUpForMemoryNamesTheReason(t *testing.T) {
	end := make(chan struct{})
	defer close(end)
	address, started := fakeUpstream(t, func(net.Conn, *http.Request) { <-end })
	gd := startGuard(t, false, address)
	pa := newPendingAttempt(gd, newAttempt(gd, true, 20*time.Second))
	done := make(chan *attempt.Answer, 1)
	go func() { done <- gd.handle(pa) }()
	waitUntil(t, "the attempt runs", func() bool { return started.Load() == 1 })
	(*attemptHolder)(pa).Cancel()
	if an := <-done; an.Outcome != call.Unknown || an.Reason != ReasonNoMemory {
		t.Errorf("%v %q, want unknown %q", an.Outcome, an.Reason, ReasonNoMemory)
	}
}
