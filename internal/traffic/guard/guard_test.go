package guard

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"camphortrail/call"
	"camphortrail/internal/traffic/attempt"
	"camphortrail/internal/traffic/calltree"
	"camphortrail/internal/traffic/header"
	"camphortrail/membership"
	"camphortrail/retry"
	"camphortrail/withdrawal"
)

// fakeUpstream starts an upstream that hands each request to answer, which writes raw
// bytes to the connection. It returns its address and the number of requests.
func fakeUpstream(t *testing.T, answer func(conn net.Conn, rq *http.Request)) (address string, runs *atomic.Int64) {
	t.Helper()
	runs = new(atomic.Int64)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, rq *http.Request) {
		_, _ = io.Copy(io.Discard, rq.Body)
		runs.Add(1)
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer conn.Close()
		answer(conn, rq)
	})}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { srv.Close() })
	return ln.Addr().String(), runs
}

// startGuard runs a guard until the end of the test, with an upstream of 4 slots at the
// address, or none if the address is empty.
func startGuard(t *testing.T, fifo bool, address string) *Guard {
	t.Helper()
	gd := New(Options{Trees: calltree.New(retry.DefaultLimits()), FIFO: fifo, Seed: 1, Incarnation: 5})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = gd.Run(ctx)
	}()
	t.Cleanup(func() { stop(); <-done })
	if address != "" {
		if err := gd.SetUpstream(ctx, &membership.Upstream{Service: "cassa", Slots: 4, Address: address}); err != nil {
			t.Fatal(err)
		}
	}
	return gd
}

var nextID atomic.Int64

func newAttempt(gd *Guard, idempotent bool, timeout time.Duration) *attempt.Attempt {
	return &attempt.Attempt{
		ID: call.AttemptID{0: 1, 15: byte(nextID.Add(1))}, Request: call.RequestID{2}, Service: "cassa", Importance: 5,
		Deadline: time.Now().Add(timeout), Idempotent: idempotent, MaxAnswerBytes: 1000, Stamp: gd.Stamp(),
		Method: http.MethodPost, URI: "/cassa/charges", Header: http.Header{header.IdempotencyKey: {"k"}}, Body: nil,
	}
}

// bothPolicies runs a test with the admission policy and with the fifo policy.
func bothPolicies(t *testing.T, test func(t *testing.T, fifo bool)) {
	for _, fifo := range []bool{false, true} {
		t.Run(fmt.Sprintf("fifo=%t", fifo), func(t *testing.T) { test(t, fifo) })
	}
}

// If an upstream fails after it ran the work, the outcome must be unknown, and the
// transport must not send the request again.
func TestFailureAfterRunIsUnknown(t *testing.T) {
	whole := "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n"
	for name, answer := range map[string]string{
		"dropped connection": "",
		"truncated body":     whole + "\r\nab",
		"other attempt":      whole + header.Attempt + ": 00000000000000000000000000000099\r\n\r\nabcd",
		"no framing":         "HTTP/1.1 200 OK\r\n\r\nabcd",
		"too large":          "HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" + strings.Repeat("x", 2000),
		"truncated chunks":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n",
		"other's refusal":    "HTTP/1.1 503 No\r\nContent-Length: 0\r\n" + header.Outcome + ": not-run\r\n" + header.Attempt + ": 00000000000000000000000000000099\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			bothPolicies(t, func(t *testing.T, fifo bool) {
				address, runs := fakeUpstream(t, func(conn net.Conn, _ *http.Request) {
					_, _ = io.WriteString(conn, answer)
				})
				gd := startGuard(t, fifo, address)
				an := gd.Handle(t.Context(), newAttempt(gd, false, 5*time.Second))
				if an.Outcome != call.Unknown || runs.Load() != 1 || len(an.Body) != 0 {
					t.Errorf("outcome %v, body %q, %d runs; want unknown, none, 1 run", an.Outcome, an.Body, runs.Load())
				}
			})
		})
	}
}

func TestWholeAnswerIsDone(t *testing.T) {
	bothPolicies(t, func(t *testing.T, fifo bool) {
		address, _ := fakeUpstream(t, func(conn net.Conn, rq *http.Request) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 201 Created\r\nContent-Length: 4\r\n%s: %s\r\n\r\nabcd", header.Attempt, rq.Header.Get(header.Attempt))
		})
		gd := startGuard(t, fifo, address)
		at := newAttempt(gd, false, 5*time.Second)
		at.RetryBudget = 3
		an := gd.Handle(t.Context(), at)
		if an.Outcome != call.Done || an.Status != http.StatusCreated || string(an.Body) != "abcd" || an.UnusedRetries != 3 {
			t.Errorf("answer %+v", an)
		}
	})
}

func TestStatedRefusalIsNotRun(t *testing.T) {
	address, _ := fakeUpstream(t, func(conn net.Conn, rq *http.Request) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n%s: not-run\r\n%s: %s\r\n\r\n", header.Outcome, header.Attempt, rq.Header.Get(header.Attempt))
	})
	gd := startGuard(t, true, address)
	if an := gd.Handle(t.Context(), newAttempt(gd, false, 5*time.Second)); an.Outcome != call.NotRun {
		t.Errorf("outcome %v, want not-run", an.Outcome)
	}
}

func TestNoUpstreamIsNotRun(t *testing.T) {
	bothPolicies(t, func(t *testing.T, fifo bool) {
		gd := startGuard(t, fifo, "")
		if an := gd.Handle(t.Context(), newAttempt(gd, false, 5*time.Second)); an.Outcome != call.NotRun {
			t.Errorf("outcome %v, want not-run", an.Outcome)
		}
	})
}

// A withdrawal returns the answer to an attempt whose caller lost its connection, and
// prevents an attempt that has not arrived yet from running.
func TestWithdrawReturnsStateAndAnswer(t *testing.T) {
	release := make(chan struct{})
	address, _ := fakeUpstream(t, func(conn net.Conn, _ *http.Request) {
		<-release
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabcd")
	})
	gd := startGuard(t, true, address)
	at := newAttempt(gd, false, 30*time.Second)
	unseen := newAttempt(gd, false, 30*time.Second)
	if rs := gd.Withdraw(unseen.ID, unseen.Stamp, false); rs.State != withdrawal.Fenced {
		t.Fatalf("state of an attempt not seen = %v, want fenced", rs.State)
	}
	if an := gd.Handle(t.Context(), unseen); an.Outcome != call.NotRun {
		t.Fatalf("fenced attempt: outcome %v, want not-run", an.Outcome)
	}
	ctx, giveUp := context.WithCancel(t.Context())
	done := make(chan *attempt.Answer, 1)
	go func() { done <- gd.Handle(ctx, at) }()
	for gd.Withdraw(at.ID, at.Stamp, true).State != withdrawal.Running {
		time.Sleep(time.Millisecond)
	}
	giveUp()
	close(release)
	<-done
	rs := gd.Withdraw(at.ID, at.Stamp, false)
	if rs.State != withdrawal.Finished || !rs.HasAnswer || string(rs.Answer.Body) != "abcd" {
		t.Errorf("state %v, kept %t; want the finished answer", rs.State, rs.HasAnswer)
	}
	if an := gd.Handle(t.Context(), at); an.Outcome != call.Unknown {
		t.Errorf("second copy of the attempt: outcome %v, want unknown", an.Outcome)
	}
}

func TestAttemptForAnotherServiceIsNotRun(t *testing.T) {
	address, runs := fakeUpstream(t, func(net.Conn, *http.Request) {})
	gd := startGuard(t, true, address)
	at := newAttempt(gd, false, time.Second)
	at.Service = "sportello"
	if an := gd.Handle(t.Context(), at); an.Outcome != call.NotRun || runs.Load() != 0 {
		t.Errorf("outcome %v, %d runs; want not-run, 0", an.Outcome, runs.Load())
	}
}

// If the connection to the upstream ends after the run, the transport must not send the
// request again, although it has an idempotency key.
func TestTransportDoesNotResend(t *testing.T) {
	var runs atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if runs.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, "first")
	}))
	t.Cleanup(srv.Close)
	gd := startGuard(t, false, strings.TrimPrefix(srv.URL, "http://"))
	if an := gd.Handle(t.Context(), newAttempt(gd, false, 5*time.Second)); an.Outcome != call.Done {
		t.Fatalf("first attempt: %+v", an)
	}
	an := gd.Handle(t.Context(), newAttempt(gd, false, 5*time.Second))
	if an.Outcome != call.Unknown || runs.Load() != 2 {
		t.Errorf("outcome %v after %d runs, want unknown after 2", an.Outcome, runs.Load())
	}
}

// A late answer to the previous attempt on the connection must not become the answer to
// the next attempt, which gets its own answer after it.
func TestLateAnswerOfAnotherAttempt(t *testing.T) {
	var last string
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, rq *http.Request) {
		nc, rw, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer nc.Close()
		for err == nil {
			id := rq.Header.Get(header.Attempt)
			for _, echoed := range []string{last, id} {
				if echoed != "" {
					_, _ = fmt.Fprintf(rw, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 32\r\n\r\n%s", header.Attempt, echoed, echoed)
				}
			}
			_ = rw.Flush()
			last = id
			rq, err = http.ReadRequest(rw.Reader)
		}
	}))
	t.Cleanup(srv.Close)
	gd := startGuard(t, false, strings.TrimPrefix(srv.URL, "http://"))
	for range 3 {
		at := newAttempt(gd, false, 5*time.Second)
		if an := gd.Handle(t.Context(), at); an.Outcome != call.Done || string(an.Body) != at.ID.String() {
			t.Errorf("answer %+v to attempt %v", an, at.ID)
		}
	}
}
