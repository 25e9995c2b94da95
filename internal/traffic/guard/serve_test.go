package guard

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"camphortrail/call"
	"camphortrail/internal/traffic/buffer"
	"camphortrail/internal/traffic/link"
	"camphortrail/schema"
)

// An attempt that is answered quickly must not be acknowledged first, because each
// acknowledgement wakes up the other node. An attempt that takes long must be.
func TestQuickAnswersAreNotAcknowledged(t *testing.T) {
	held := make(chan bool)
	address, _ := fakeUpstream(t, func(conn net.Conn, rq *http.Request) {
		if strings.HasPrefix(rq.RequestURI, "/held") {
			<-held
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	gd := startGuard(t, false, address)
	srv := httptest.NewServer(gd)
	defer srv.Close()
	lk := link.Open(func(ctx context.Context, network, address string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, network, address)
	}, srv.Listener.Addr().String())
	defer lk.Close()
	send := func(uri string) []byte {
		at := newAttempt(gd, true, 10*time.Second)
		at.URI = uri
		if err := lk.Send(at.Frame(time.Now(), lk.SupportsHeaderBlocks())); err != nil {
			t.Fatal(err)
		}
		return at.ID[:]
	}
	receive := func() *schema.Frame {
		fr, err := lk.Receive(10 * time.Second)
		if err != nil {
			t.Fatal(err)
		}
		return fr
	}
	if greeting := receive().GetAcknowledgement(); len(greeting.GetAttemptId()) != 0 || greeting.GetStamp() == "" {
		t.Errorf("%v comes first, want a stamp", greeting)
	}
	slow := send("/held")
	if ack := receive().GetAcknowledgement(); string(ack.GetAttemptId()) != string(slow) {
		t.Errorf("%v comes before the delayed answer, want an acknowledgement", ack)
	}
	const quick = 20
	for range quick {
		begun := time.Now()
		id := send("/quick")
		if an := receive().GetAnswer(); string(an.GetAttemptId()) != string(id) {
			t.Fatalf("%v comes after %v, want the answer", an, time.Since(begun))
		}
	}
	close(held)
	if an := receive().GetAnswer(); string(an.GetAttemptId()) != string(slow) || an.GetHeldUs() < uint64(acknowledgeDelay.Microseconds()) {
		t.Errorf("the last frame is %v, want the delayed answer", an)
	}
}

// Guards against attempts of other nodes that take the memory of the guard: one that does not fit
// must be refused as not run, and all memory must be returned.
func TestAttemptsStayWithinMemory(t *testing.T) {
	const limit, body = 1 << 20, 200 << 10
	held := make(chan bool)
	address, _ := fakeUpstream(t, func(conn net.Conn, rq *http.Request) {
		_, _ = io.Copy(io.Discard, rq.Body)
		<-held
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	gd := startGuard(t, false, address)
	gd.clientMemory = buffer.NewBudget(limit)
	srv := httptest.NewServer(gd)
	defer srv.Close()
	lk := link.Open(func(ctx context.Context, network, address string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, network, address)
	}, srv.Listener.Addr().String())
	defer lk.Close()
	const sent = 8
	for range sent {
		at := newAttempt(gd, true, 10*time.Second)
		at.Body = make([]byte, body)
		if err := lk.Send(at.Frame(time.Now(), lk.SupportsHeaderBlocks())); err != nil {
			t.Fatal(err)
		}
	}
	refused, done, released := 0, 0, false
	for refused+done < sent {
		fr, err := lk.Receive(10 * time.Second)
		if err != nil {
			t.Fatal(err)
		}
		switch an := fr.GetAnswer(); {
		case an == nil:
		case an.GetReason() == ReasonNoMemory:
			refused++
			if outcome := an.GetAnswer().GetOutcome(); outcome != call.NotRun.String() || an.GetRetryAfterMs() == 0 {
				t.Errorf("refused attempt: outcome %q, after %d ms", outcome, an.GetRetryAfterMs())
			}
		default:
			done++
		}
		if used := gd.clientMemory.Used(); used > limit {
			t.Errorf("%d bytes are used of %d", used, limit)
		}
		if refused > 0 && !released {
			released = true
			close(held)
		}
	}
	if refused == 0 || done == 0 {
		t.Errorf("%d attempts refused, %d done", refused, done)
	}
	for end := time.Now().Add(10 * time.Second); gd.clientMemory.Used() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes are not returned", gd.clientMemory.Used())
		}
	}
}
