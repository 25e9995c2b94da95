package guard

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"camphortrail/call"
	"camphortrail/internal/traffic/attempt"
	"camphortrail/internal/traffic/calltree"
	"camphortrail/retry"
)

// A guard that reports the load must say how much work waits ahead and what the upstream took, and
// one that does not must add nothing to its answers.
func TestAnswersReportLoad(t *testing.T) {
	release := make(chan bool)
	address, _ := fakeUpstream(t, func(conn net.Conn, rq *http.Request) {
		if rq.RequestURI == "/held" {
			<-release
		}
		time.Sleep(5 * time.Millisecond)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok")
	})
	gd := startGuard(t, false, address)
	if an := gd.Handle(t.Context(), newAttempt(gd, true, 5*time.Second)); an.Load != nil {
		t.Errorf("load %+v, want none", an.Load)
	}
	gd.load.enabled = true
	an := gd.Handle(t.Context(), newAttempt(gd, true, 5*time.Second))
	if an.Load == nil || an.Load.Own < 5*time.Millisecond || an.Load.Ahead != 0 || an.Load.Slowness != 1 {
		t.Fatalf("load %+v, want 5 ms and nothing ahead", an.Load)
	}
	done := make(chan bool)
	go func() {
		at := newAttempt(gd, true, 5*time.Second)
		at.URI = "/held"
		gd.Handle(t.Context(), at)
		close(done)
	}()
	for gd.Load().Running == 0 {
		time.Sleep(time.Millisecond)
	}
	if an := gd.Handle(t.Context(), newAttempt(gd, true, 5*time.Second)); an.Load == nil || an.Load.Ahead <= 0 {
		t.Errorf("load %+v beside a running attempt, want work ahead", an.Load)
	}
	close(release)
	<-done
}

// BenchmarkReportLoad reports the load of an upstream of 89 running attempts.
func BenchmarkReportLoad(b *testing.B) {
	gd := New(Options{Trees: calltree.New(retry.DefaultLimits()), ReportLoad: true})
	at := newAttempt(gd, true, time.Second)
	for range 89 {
		gd.load.begin(time.Now(), at)
	}
	gd.loop.limit.Store(89)
	b.ReportAllocs()
	for b.Loop() {
		now := time.Now()
		handle := gd.load.begin(now, at)
		gd.load.end(now, at, handle, time.Millisecond, time.Millisecond, true)
		an := attempt.Answer{Outcome: call.Done}
		gd.reportLoad(now, at, &an)
	}
}
