package guard

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"camphortrail/call"
	"camphortrail/internal/traffic/attempt"
	"camphortrail/membership"
)

// answerOK answers a request with a short body.
func answerOK(conn net.Conn, _ *http.Request) {
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
}

// Guards against an attempt that waits for a slot being run by an upstream of another service
// that has got the address of the first one meanwhile.
func TestWaitingAttemptIsNotRunByOtherService(t *testing.T) {
	bothPolicies(t, func(t *testing.T, fifo bool) {
		hang := make(chan struct{})
		first, started := fakeUpstream(t, func(net.Conn, *http.Request) { <-hang })
		t.Cleanup(func() { close(hang) })
		second, foreign := fakeUpstream(t, answerOK)
		gd := startGuard(t, fifo, first)
		answers := make(chan *attempt.Answer, 5)
		send := func() { answers <- gd.Handle(t.Context(), newAttempt(gd, false, 20*time.Second)) }
		for range 4 {
			go send()
		}
		waitUntil(t, "all slots are taken", func() bool { return started.Load() == 4 })
		go send()
		waitUntil(t, "an attempt waits", func() bool { return gd.Load().Waiting == 1 })
		if err := gd.SetUpstream(t.Context(), &membership.Upstream{Service: "panetteria", Slots: 16, Address: second, Instance: "i-2"}); err != nil {
			t.Fatal(err)
		}
		if an := <-answers; an.Outcome != call.NotRun {
			t.Errorf("outcome %v, reason %s; want not-run", an.Outcome, an.Reason)
		}
		if foreign.Load() != 0 {
			t.Errorf("%d attempts ran on an upstream of another service", foreign.Load())
		}
	})
}

// waitUntil waits until the condition holds.
func waitUntil(t *testing.T, text string, holds func() bool) {
	t.Helper()
	for range 2000 {
		if holds() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("never: %s", text)
}

// Guards against connections to an earlier run of an upstream being used for a later one that
// has the same id: a request on them waits until its deadline.
func TestRestartUnderSameIDUsesNewConnections(t *testing.T) {
	address, _ := fakeUpstream(t, func(conn net.Conn, rq *http.Request) {
		answerOK(conn, rq)
		// The run of this connection then ends without closing it.
		time.Sleep(10 * time.Second)
	})
	gd := startGuard(t, false, "")
	up := membership.Upstream{Service: "cassa", Slots: 4, Address: address, Instance: "i-1"}
	for run := range 3 {
		up.StartTime = time.UnixMilli(int64(run))
		if err := gd.SetUpstream(t.Context(), &up); err != nil {
			t.Fatal(err)
		}
		if an := gd.Handle(t.Context(), newAttempt(gd, false, 2*time.Second)); an.Outcome != call.Done {
			t.Errorf("run %d: outcome %v, reason %s; want done", run, an.Outcome, an.Reason)
		}
	}
}

// TestWaitingAttemptDoesNotOutlastStop guards against an attempt that has waited since before a stop and
// begins although it may not be over by the end: the process ends with it, and its outcome is unknown.
func TestWaitingAttemptDoesNotOutlastStop(t *testing.T) {
	bothPolicies(t, func(t *testing.T, fifo bool) {
		release := make(chan struct{})
		address, started := fakeUpstream(t, func(conn net.Conn, rq *http.Request) {
			<-release
			answerOK(conn, rq)
		})
		gd := startGuard(t, fifo, address)
		first, waiting := make(chan *attempt.Answer, 4), make(chan *attempt.Answer, 1)
		for range cap(first) {
			go func() { first <- gd.Handle(t.Context(), newAttempt(gd, false, 20*time.Second)) }()
		}
		waitUntil(t, "all slots are taken", func() bool { return started.Load() == 4 })
		go func() { waiting <- gd.Handle(t.Context(), newAttempt(gd, false, 20*time.Second)) }()
		waitUntil(t, "an attempt waits", func() bool { return gd.Load().Waiting == 1 })
		gd.FinishBy(time.Now().Add(10 * time.Second))
		close(release)
		for range cap(first) {
			if an := <-first; an.Outcome != call.Done {
				t.Errorf("attempt that ran: outcome %v, want done", an.Outcome)
			}
		}
		if an := <-waiting; an.Outcome != call.NotRun || an.Reason != ReasonStopping || started.Load() != 4 {
			t.Errorf("attempt that waited: outcome %v, reason %q, %d runs; want not-run %q", an.Outcome, an.Reason, started.Load(), ReasonStopping)
		}
	})
}

// TestStoppingGuardBeginsNothingBeyondItsEnd guards against an attempt that begins after the SIGTERM, may
// last until after the end of the stop, and is cut off there: its entry may be stopping as well.
func TestStoppingGuardBeginsNothingBeyondItsEnd(t *testing.T) {
	address, _ := fakeUpstream(t, answerOK)
	gd := startGuard(t, false, address)
	gd.FinishBy(time.Now().Add(10 * time.Second))
	for timeout, want := range map[time.Duration]call.Outcome{5 * time.Second: call.Done, 20 * time.Second: call.NotRun} {
		an := gd.Handle(t.Context(), newAttempt(gd, true, timeout))
		if an.Outcome != want || an.Outcome == call.NotRun && an.Reason != ReasonStopping {
			t.Errorf("deadline in %v: %v (%s), want %v", timeout, an.Outcome, an.Reason, want)
		}
	}
}
