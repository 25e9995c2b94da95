package link

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"camphortrail/schema"
)

const receiveTimeout = 10 * time.Second

// serveLinks accepts links on a loopback address and returns the address and the links.
func serveLinks(t testing.TB) (address string, links <-chan *Link) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	accepted := make(chan *Link, 1)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if lk, err := Accept(w, r); err == nil {
			accepted <- lk
		}
	})}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { server.Close() })
	return ln.Addr().String(), accepted
}

func dial(ctx context.Context, network, address string) (net.Conn, error) {
	return new(net.Dialer).DialContext(ctx, network, address)
}

// attemptFrame returns a frame with an attempt whose id is n and whose body has the size.
func attemptFrame(n, size int) *schema.Frame {
	id := binary.BigEndian.AppendUint64(make([]byte, 8), uint64(n))
	return &schema.Frame{Kind: &schema.Frame_Attempt{Attempt: &schema.Attempt{AttemptId: id, Body: bytes.Repeat([]byte{byte(n)}, size)}}}
}

// Frames of sizes below and above the read buffer are sent by several goroutines in both
// directions at the same time. Each must arrive once and unchanged.
func TestFramesArriveUnchanged(t *testing.T) {
	address, links := serveLinks(t)
	near := Open(dial, address)
	far := <-links
	defer near.Close()
	defer far.Close()
	sizes := []int{0, 1, 100, readBufferBytes - 40, readBufferBytes, 3 * readBufferBytes, 1 << 20}
	const senders = 4
	var group sync.WaitGroup
	for _, ends := range [][2]*Link{{near, far}, {far, near}} {
		for range senders {
			group.Go(func() {
				for n, size := range sizes {
					if err := ends[0].Send(attemptFrame(n, size)); err != nil {
						t.Error(err)
					}
				}
			})
		}
		group.Go(func() {
			counts := make([]int, len(sizes))
			for range senders * len(sizes) {
				fr, err := ends[1].Receive(receiveTimeout)
				if err != nil {
					t.Error(err)
					return
				}
				at := fr.GetAttempt()
				n := int(binary.BigEndian.Uint64(at.GetAttemptId()[8:]))
				if !bytes.Equal(at.GetBody(), bytes.Repeat([]byte{byte(n)}, sizes[n])) {
					t.Errorf("the body of frame %d has changed", n)
				}
				counts[n]++
			}
			for n, count := range counts {
				if count != senders {
					t.Errorf("frame %d arrived %d times, want %d", n, count, senders)
				}
			}
		})
	}
	group.Wait()
}

// Frames sent before Shutdown must arrive, and later ones must be rejected.
func TestShutdown(t *testing.T) {
	address, links := serveLinks(t)
	near := Open(dial, address)
	far := <-links
	for n := range 50 {
		if err := far.Send(attemptFrame(n, 10000)); err != nil {
			t.Fatal(err)
		}
	}
	far.Shutdown(t.Context())
	if err := far.Send(attemptFrame(0, 0)); !errors.Is(err, ErrClosed) {
		t.Errorf("Send after Shutdown: error %v, want ErrClosed", err)
	}
	for n := range 50 {
		if _, err := near.Receive(receiveTimeout); err != nil {
			t.Fatalf("frame %d: %v", n, err)
		}
	}
	if _, err := near.Receive(receiveTimeout); !errors.Is(err, ErrClosed) {
		t.Errorf("Receive after the last frame: error %v, want ErrClosed", err)
	}
}

// A link must still deliver frames after Receive returned ErrIdle.
func TestIdle(t *testing.T) {
	address, links := serveLinks(t)
	near := Open(dial, address)
	far := <-links
	defer near.Close()
	for range 2 {
		if _, err := near.Receive(10 * time.Millisecond); !errors.Is(err, ErrIdle) {
			t.Fatalf("error %v, want ErrIdle", err)
		}
	}
	if err := far.Send(attemptFrame(1, 1)); err != nil {
		t.Fatal(err)
	}
	if _, err := near.Receive(receiveTimeout); err != nil {
		t.Errorf("Receive after ErrIdle: %v", err)
	}
}

// When the peer does not listen or is not a node, no frame must count as sent: the attempt
// in it did not run and can be sent elsewhere.
func TestOpenFails(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := ln.Addr().String()
	ln.Close()
	other, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.NotFoundHandler()}
	go func() { _ = server.Serve(other) }()
	defer server.Close()
	for _, address := range []string{closed, other.Addr().String()} {
		lk := Open(dial, address)
		_ = lk.Send(attemptFrame(1, 1))
		if _, err := lk.Receive(receiveTimeout); !errors.Is(err, ErrClosed) || lk.MayHaveSent() {
			t.Errorf("%s: error %v, began %v, want ErrClosed and false", address, err, lk.MayHaveSent())
		}
		if err := lk.Send(attemptFrame(1, 1)); !errors.Is(err, ErrClosed) {
			t.Errorf("%s: send after the failure: error %v, want ErrClosed", address, err)
		}
	}
}

// Bytes that are not a frame must end the link with an error.
func TestMalformed(t *testing.T) {
	for name, text := range map[string][]byte{
		"too long":    {0xff, 0xff, 0xff, 0xff},
		"no message":  {0, 0, 0, 2, 0xff, 0xff},
		"ends early":  {0, 0, 0, 9, 1},
		"no length":   {0, 0},
		"wrong field": {0, 0, 0, 2, 0x0a, 0x05},
	} {
		address, links := serveLinks(t)
		near := Open(dial, address)
		far := <-links
		<-near.ready
		if _, err := near.nc.Write(text); err != nil {
			t.Fatal(err)
		}
		near.Close()
		if _, err := far.Receive(receiveTimeout); !errors.Is(err, ErrMalformed) && !errors.Is(err, ErrClosed) {
			t.Errorf("%s: error %v", name, err)
		}
		far.Close()
	}
}

// Guards against another process at the address of a node, which answers the request for a link
// with a head without end.
func TestEndlessUpgradeAnswerIsRefused(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		defer nc.Close()
		text := bytes.Repeat([]byte("X-More: text\r\n"), 1000)
		for _, err = nc.Write([]byte("HTTP/1.1 101 Switching Protocols\r\n")); err == nil; {
			_, err = nc.Write(text)
		}
	}()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	lk := Open(dial, ln.Addr().String())
	defer lk.Close()
	if _, err := lk.Receive(receiveTimeout); !errors.Is(err, ErrClosed) {
		t.Errorf("error %v, want ErrClosed", err)
	}
	runtime.ReadMemStats(&after)
	if taken := after.TotalAlloc - before.TotalAlloc; taken > 64*maxUpgradeHeadBytes {
		t.Errorf("%d bytes allocated for a head of at most %d", taken, maxUpgradeHeadBytes)
	}
}

// A peer that reads nothing must neither block the sender nor let the send queue grow
// beyond its bound.
func TestUnreadLink(t *testing.T) {
	address, links := serveLinks(t)
	near := Open(dial, address)
	defer near.Close()
	defer (<-links).Close()
	for n := range 1000 {
		if err := near.Send(attemptFrame(n, 1<<20)); errors.Is(err, ErrFull) {
			return
		}
	}
	t.Error("the send queue holds 1,000 frames of 1 MiB without ErrFull")
}

func ExampleLink() {
	accepted := make(chan *Link, 1)
	ln, _ := net.Listen("tcp", "127.0.0.1:0")
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		lk, _ := Accept(w, r)
		accepted <- lk
	})}
	go func() { _ = server.Serve(ln) }()
	defer server.Close()

	near := Open(dial, ln.Addr().String())
	defer near.Close()
	_ = near.Send(&schema.Frame{Kind: &schema.Frame_Attempt{Attempt: &schema.Attempt{Uri: "/tags/7"}}})
	far := <-accepted
	defer far.Close()
	fr, err := far.Receive(receiveTimeout)
	fmt.Println(fr.GetAttempt().GetUri(), err)
	// Output: /tags/7 <nil>
}

func BenchmarkSend(b *testing.B) {
	address, links := serveLinks(b)
	near := Open(dial, address)
	far := <-links
	defer near.Close()
	defer far.Close()
	fr := attemptFrame(1, 200)
	b.ReportAllocs()
	for b.Loop() {
		if err := near.Send(fr); err != nil {
			b.Fatal(err)
		}
		if _, err := far.Receive(receiveTimeout); err != nil {
			b.Fatal(err)
		}
	}
}

// Guards against peers that do not read: the send queues of all links together stay within their
// quota, a frame of any size is still queued alone, and all of the quota is returned.
func TestQueuesShareQuota(t *testing.T) {
	const limit, size = 1 << 20, 300 << 10
	quota := NewQuota(limit)
	address, accepted := serveLinks(t)
	var links []*Link
	full := 0
	for range 3 {
		lk := Open(dial, address)
		lk.SetQuota(quota)
		// The peer reads nothing, so that frames wait once its buffers are full.
		defer (<-accepted).Close()
		links = append(links, lk)
		for n := range 100 {
			if err := lk.Send(attemptFrame(n, size)); errors.Is(err, ErrFull) {
				full++
			} else if err != nil {
				t.Fatal(err)
			}
			if used := quota.Used(); used > limit {
				t.Fatalf("%d bytes are taken of %d", used, limit)
			}
		}
	}
	if full == 0 {
		t.Error("no frame was rejected")
	}
	for _, lk := range links {
		lk.Close()
	}
	for end := time.Now().Add(10 * time.Second); quota.Used() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes of the quota are not returned", quota.Used())
		}
	}
	alone := Open(dial, address)
	defer alone.Close()
	alone.SetQuota(NewQuota(1))
	if err := alone.Send(attemptFrame(1, size)); err != nil {
		t.Errorf("a single frame: %v", err)
	}
}
