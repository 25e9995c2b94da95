package guard

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"camphortrail/call"
	"camphortrail/internal/traffic/calltree"
	"camphortrail/internal/traffic/header"
	"camphortrail/membership"
	"camphortrail/retry"
	"camphortrail/withdrawal"
)

// sharingGuard starts a guard that may send again as often as it got first sends, and counts some
// of these.
func sharingGuard(t *testing.T, address string, firstSends int) (*Guard, *metrics.Set) {
	t.Helper()
	set := metrics.NewSet()
	gd := New(Options{Trees: calltree.New(retry.DefaultLimits()), Seed: 1, Incarnation: 5, RetryRatio: 1, Metrics: set})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = gd.Run(ctx)
	}()
	t.Cleanup(func() { stop(); <-done })
	if err := gd.SetUpstream(ctx, &membership.Upstream{Service: "cassa", Slots: 4, Address: address}); err != nil {
		t.Fatal(err)
	}
	before := time.Now().Add(-5 * time.Second)
	for range firstSends {
		gd.furtherSends.arrive(before, newAttempt(gd, false, time.Second))
	}
	return gd, set
}

func writeRefusal(conn net.Conn, rq *http.Request) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 No\r\nConnection: close\r\nContent-Length: 0\r\n%s: not-run\r\n%s: %s\r\n\r\n", header.Outcome, header.Attempt, rq.Header.Get(header.Attempt))
}

// An attempt that the upstream refuses without running it must be sent again with the time that is
// then left, while a withdrawal still finds it running, and its slot must be free afterwards.
func TestRefusedAttemptIsSentAgain(t *testing.T) {
	var mu sync.Mutex
	var left []int
	var gd *Guard
	at := newAttempt(startGuard(t, false, ""), false, 5*time.Second)
	address, runs := fakeUpstream(t, func(conn net.Conn, rq *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		ms, _ := strconv.Atoi(rq.Header.Get(header.DeadlineMS))
		left = append(left, ms)
		if state := gd.Withdraw(at.ID, at.Stamp, true).State; state != withdrawal.Running {
			t.Errorf("state %v during send %d, want running", state, len(left))
		}
		if len(left) < 4 {
			writeRefusal(conn, rq)
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	gd, set := sharingGuard(t, address, 20)
	at.Stamp = gd.Stamp()
	at.RetryBudget = 3
	an := gd.Handle(t.Context(), at)
	if an.Outcome != call.Done || runs.Load() != 4 || an.UnusedRetries != 3 {
		t.Errorf("outcome %v after %d sends, %d retries left; want done after 4, 3", an.Outcome, runs.Load(), an.UnusedRetries)
	}
	if len(left) != 4 || left[3] >= left[0] {
		t.Errorf("the stated times are %v ms, want falling ones", left)
	}
	if n := set.GetOrCreateCounter(`camphortrail_guard_further_sends_total{importance="5"}`).Get(); n != 3 {
		t.Errorf("%d further sends counted, want 3", n)
	}
	for gd.Load().Running > 0 {
		time.Sleep(time.Millisecond)
	}
}

// What may have run must never be sent again, nor what is for another upstream, nor more often than
// the total allows. A refusal must stay a proof that the attempt did not run.
func TestWhatIsNotSentAgain(t *testing.T) {
	for name, tc := range map[string]struct {
		answer     func(conn net.Conn, rq *http.Request)
		firstSends int
		outcome    call.Outcome
		runs       int64
	}{
		"total spent": {writeRefusal, 2, call.NotRun, 3},
		"dropped":     {func(net.Conn, *http.Request) {}, 20, call.Unknown, 1},
		"failure": {func(conn net.Conn, _ *http.Request) {
			_, _ = io.WriteString(conn, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
		}, 20, call.Done, 1},
		"other's refusal": {func(conn net.Conn, _ *http.Request) {
			_, _ = io.WriteString(conn, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n"+header.Outcome+": not-run\r\n"+header.Attempt+": 00000000000000000000000000000099\r\n\r\n")
		}, 20, call.Unknown, 1},
	} {
		t.Run(name, func(t *testing.T) {
			address, runs := fakeUpstream(t, tc.answer)
			gd, _ := sharingGuard(t, address, tc.firstSends)
			an := gd.Handle(t.Context(), newAttempt(gd, true, 5*time.Second))
			if an.Outcome != tc.outcome || runs.Load() != tc.runs {
				t.Errorf("outcome %v after %d sends, want %v after %d", an.Outcome, runs.Load(), tc.outcome, tc.runs)
			}
		})
	}
}

// A copy of the refusal that comes late must not be read as the answer to the next send, which would
// be taken for refused while it runs. So the next send needs another connection.
func TestFurtherSendUsesAnotherConnection(t *testing.T) {
	var mu sync.Mutex
	conns := 0
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, rq *http.Request) {
		mu.Lock()
		conns++
		isFirst := conns == 1
		mu.Unlock()
		nc, rw, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer nc.Close()
		if !isFirst {
			_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			return
		}
		refusal := fmt.Sprintf("HTTP/1.1 503 No\r\nContent-Length: 0\r\n%s: not-run\r\n%s: %s\r\n\r\n", header.Outcome, header.Attempt, rq.Header.Get(header.Attempt))
		_, _ = io.WriteString(nc, refusal)
		if _, err := http.ReadRequest(rw.Reader); err == nil {
			t.Error("the connection of a refused send carried another one")
			_, _ = io.WriteString(nc, refusal)
		}
	}))
	t.Cleanup(srv.Close)
	gd, _ := sharingGuard(t, strings.TrimPrefix(srv.URL, "http://"), 20)
	if an := gd.Handle(t.Context(), newAttempt(gd, false, 5*time.Second)); an.Outcome != call.Done {
		t.Errorf("outcome %v, reason %s; want done", an.Outcome, an.Reason)
	}
}

// When the caller leaves between two sends, or has too little time for another run, there must be
// no further send, and the outcome is still that the attempt did not run.
func TestNoFurtherSendWithoutCaller(t *testing.T) {
	ctx, leave := context.WithCancel(context.Background())
	address, runs := fakeUpstream(t, func(conn net.Conn, rq *http.Request) {
		leave()
		time.Sleep(20 * time.Millisecond)
		writeRefusal(conn, rq)
	})
	gd, _ := sharingGuard(t, address, 20)
	if an := gd.Handle(ctx, newAttempt(gd, false, 5*time.Second)); an.Outcome != call.NotRun || runs.Load() != 1 {
		t.Errorf("outcome %v after %d sends, want not-run after 1", an.Outcome, runs.Load())
	}
	gd.slots.addSlotTime(time.Now(), "", 300*time.Millisecond)
	if an := gd.Handle(context.Background(), newAttempt(gd, false, 500*time.Millisecond)); an.Outcome != call.NotRun || runs.Load() != 2 {
		t.Errorf("outcome %v after %d sends, want not-run after 2", an.Outcome, runs.Load())
	}
}

// Refusals by an upstream that has free slots must not lower the concurrency limit of the guard,
// nor hide how long the upstream takes.
func TestRefusalsDoNotLowerTheLimit(t *testing.T) {
	var mu sync.Mutex
	sent := 0
	address, _ := fakeUpstream(t, func(conn net.Conn, rq *http.Request) {
		mu.Lock()
		sent++
		isRefused := sent%2 == 0
		mu.Unlock()
		if isRefused {
			writeRefusal(conn, rq)
			return
		}
		time.Sleep(5 * time.Millisecond)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	gd, _ := sharingGuard(t, address, 1000)
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() {
			for range 40 {
				at := newAttempt(gd, true, 5*time.Second)
				at.ID[1] = byte(nextID.Add(1) >> 8)
				gd.Handle(context.Background(), at)
			}
		})
	}
	group.Wait()
	if limit := gd.loop.limit.Load(); limit != 4 {
		t.Errorf("the limit is %d, want all 4 slots", limit)
	}
}

// An attempt that would outlast the stop of the process must not be sent again once the stop has
// begun: if the process ended during the run, the outcome of a refused attempt would be unknown.
func TestNoFurtherSendDuringStop(t *testing.T) {
	var gd *Guard
	address, runs := fakeUpstream(t, func(conn net.Conn, rq *http.Request) {
		gd.FinishBy(time.Now().Add(time.Second))
		writeRefusal(conn, rq)
	})
	gd, _ = sharingGuard(t, address, 20)
	if an := gd.Handle(t.Context(), newAttempt(gd, false, 5*time.Second)); an.Outcome != call.NotRun || runs.Load() != 1 {
		t.Errorf("outcome %v after %d sends, want not-run after 1", an.Outcome, runs.Load())
	}
}

// An upstream that begins to drain, leaves or is replaced during the pause between two sends must
// not get the second one.
func TestNoFurtherSendToAnotherRun(t *testing.T) {
	gd, _ := sharingGuard(t, "127.0.0.1:1", 0)
	tg := gd.target.Load()
	if !gd.takesFurtherSends(tg) {
		t.Error("the same run gets no further sends")
	}
	draining, restarted := tg.upstream, tg.upstream
	draining.Draining = true
	restarted.StartTime = restarted.StartTime.Add(time.Second)
	// The order matters: only the first one is still the same run.
	for _, up := range []*membership.Upstream{&draining, &restarted, nil} {
		if err := gd.SetUpstream(t.Context(), up); err != nil {
			t.Fatal(err)
		}
		if gd.takesFurtherSends(tg) {
			t.Errorf("upstream %+v gets further sends of an earlier run", up)
		}
	}
}

// An attempt that the upstream refused, and that then finds no connection to it, has reached the
// upstream. If its answer did not say so, the entry would send the request again without charge, and
// the retries to the service could exceed their bound.
func TestLostUpstreamAfterRefusalIsCharged(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			t.Error(err)
			return
		}
		defer conn.Close()
		rq, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			t.Error(err)
			return
		}
		ln.Close()
		writeRefusal(conn, rq)
	}()
	gd, _ := sharingGuard(t, ln.Addr().String(), 20)
	an := gd.Handle(t.Context(), newAttempt(gd, false, 5*time.Second))
	if an.Outcome != call.NotRun || an.Reason != ReasonConnectionRefused || !an.UpstreamRefused {
		t.Errorf("outcome %v, reason %s, refused by the upstream: %t; want not-run, %s, true", an.Outcome, an.Reason, an.UpstreamRefused, ReasonConnectionRefused)
	}
}

// Refusals that are not passed on must not stay charged to the memory of answers, or an attempt that
// is sent ten times could use up what others need.
func TestRefusalsReleaseTheirMemory(t *testing.T) {
	const bodyBytes = 800
	var gd *Guard
	var used []int64
	address, _ := fakeUpstream(t, func(conn net.Conn, rq *http.Request) {
		used = append(used, gd.memory.Used())
		if len(used) == 5 {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 No\r\nContent-Length: %d\r\n%s: not-run\r\n%s: %s\r\n\r\n%s",
			bodyBytes, header.Outcome, header.Attempt, rq.Header.Get(header.Attempt), strings.Repeat("r", bodyBytes))
	})
	gd, _ = sharingGuard(t, address, 20)
	if an := gd.Handle(t.Context(), newAttempt(gd, false, 5*time.Second)); an.Outcome != call.Done {
		t.Fatalf("outcome %v, reason %s; want done", an.Outcome, an.Reason)
	}
	for i, bytes := range used {
		if bytes != used[0] {
			t.Errorf("%d bytes are charged at send %d, want %d as at the first one", bytes, i+1, used[0])
		}
	}
}

// The first sends for a service must not allow further sends for another one that the VM runs
// later, also if there is no upstream in between. The total of the latter could be exceeded.
func TestFirstSendsAreOfOneService(t *testing.T) {
	gd, _ := sharingGuard(t, "127.0.0.1:1", 20)
	at := newAttempt(gd, false, time.Second)
	same := gd.target.Load().upstream
	other := same
	other.Service = "stock"
	for _, tc := range []struct {
		upstream *membership.Upstream
		want     furtherDecision
	}{{nil, allowed}, {&same, allowed}, {nil, allowed}, {&other, deniedTotal}} {
		if err := gd.SetUpstream(t.Context(), tc.upstream); err != nil {
			t.Fatal(err)
		}
		if fd := gd.furtherSends.allow(time.Now(), at); fd != tc.want {
			t.Errorf("upstream %+v: decision %d, want %d", tc.upstream, fd, tc.want)
		}
	}
}
