package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// startServer starts an upstream that runs serve on each connection. It returns its address
// and the number of connections that it has accepted.
func startServer(t *testing.T, serve func(nc net.Conn, br *bufio.Reader)) (address string, conns *atomic.Int64) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	conns = new(atomic.Int64)
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go func() {
				defer nc.Close()
				serve(nc, bufio.NewReader(nc))
			}()
		}
	}()
	return ln.Addr().String(), conns
}

// echo answers each request with its URI and body until the connection ends.
func echo(nc net.Conn, br *bufio.Reader) {
	for {
		rq, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(rq.Body)
		text := rq.Host + rq.RequestURI + string(body)
		_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	}
}

// get returns a GET request with a header Id that holds the URI.
func get(uri string) *Request {
	return &Request{Method: http.MethodGet, URI: uri, Host: "host", Header: http.Header{"Id": {uri}}}
}

// do sends a request and returns the body of the answer, or the error of reading the body.
func do(t *testing.T, cl *Client, address string, rq *Request) (string, error) {
	t.Helper()
	var text string
	err := cl.Do(newRun(t.Context()), address, rq, func(an Answer) bool {
		body, err := io.ReadAll(an.Body)
		if err != nil {
			text = err.Error()
			return false
		}
		text = string(body)
		return false
	})
	return text, err
}

// wantAnswer sends a request and checks the body of the answer.
func wantAnswer(t *testing.T, cl *Client, address string, rq *Request, want string) {
	t.Helper()
	if got, err := do(t, cl, address, rq); err != nil || got != want {
		t.Errorf("%s: got %q, %v, want %q", rq.URI, got, err, want)
	}
}

// An idle connection must be reused, and no connection opened after Close.
func TestConnectionIsReused(t *testing.T) {
	address, conns := startServer(t, echo)
	cl := New()
	for range 3 {
		wantAnswer(t, cl, address, get("/a?b=%2F"), "host/a?b=%2F")
	}
	post := &Request{Method: http.MethodPost, URI: "/p", Host: "host", Body: []byte("+body")}
	wantAnswer(t, cl, address, post, "host/p+body")
	if conns.Load() != 1 {
		t.Errorf("%d connections, want 1", conns.Load())
	}
	cl.Close()
	if _, err := do(t, cl, address, get("/b")); !errors.Is(err, ErrNoConnection) {
		t.Errorf("error %v after Close, want %v", err, ErrNoConnection)
	}
	wantAnswer(t, New(), address, get("/b"), "host/b")
	if conns.Load() != 2 {
		t.Errorf("%d connections, want one of each client", conns.Load())
	}
}

// A connection that the upstream has closed, or on which it has sent extra bytes, must not
// be reused: the request would fail or get those bytes as its answer.
func TestUnhealthyConnectionIsNotReused(t *testing.T) {
	for name, tail := range map[string]string{
		"extra bytes": "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra",
		"closed":      "",
	} {
		t.Run(name, func(t *testing.T) {
			served := make(chan bool, 8)
			address, conns := startServer(t, func(nc net.Conn, br *bufio.Reader) {
				rq, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				text := rq.RequestURI
				_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
				time.Sleep(5 * time.Millisecond)
				_, _ = io.WriteString(nc, tail)
				if tail != "" {
					defer io.Copy(io.Discard, br) //nolint:errcheck // the test ends it
				} else {
					_ = nc.Close()
				}
				served <- true
			})
			cl := New()
			wantAnswer(t, cl, address, get("/1"), "/1")
			<-served
			time.Sleep(5 * time.Millisecond)
			wantAnswer(t, cl, address, get("/2"), "/2")
			if conns.Load() != 2 {
				t.Errorf("%d connections, want 2", conns.Load())
			}
		})
	}
}

// The upstream sends a second, late answer to each request. It arrives before the answer to
// the next request, and must be skipped if the handler returns true.
func TestLateAnswerIsSkipped(t *testing.T) {
	address, _ := startServer(t, func(nc net.Conn, br *bufio.Reader) {
		for last := ""; ; {
			rq, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			if last != "" {
				_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 4\r\n\r\nlate", last)
			}
			last = rq.Header.Get("Id")
			_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 3\r\n\r\nown", last)
		}
	})
	cl := New()
	for _, uri := range []string{"/1", "/2", "/3"} {
		var text string
		err := cl.Do(newRun(t.Context()), address, get(uri), func(an Answer) bool {
			if id := an.Header.Get("Id"); id != uri {
				return an.PreviousHeader != nil && an.PreviousHeader.Get("Id") == id
			}
			body, _ := io.ReadAll(an.Body)
			text = string(body)
			return false
		})
		if err != nil || text != "own" {
			t.Errorf("%s: got %q, %v", uri, text, err)
		}
	}
}

// An interim answer must not reach the handler.
func TestInterimAnswerIsSkipped(t *testing.T) {
	address, _ := startServer(t, func(nc net.Conn, br *bufio.Reader) {
		_, _ = http.ReadRequest(br)
		_, _ = io.WriteString(nc, "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	wantAnswer(t, New(), address, get("/"), "ok")
}

// A body without a length ends when the upstream closes the connection. When the connection
// is reset, the body is incomplete and reading it must fail.
func TestBodyUntilConnectionCloses(t *testing.T) {
	for _, tt := range []struct {
		uri   string
		reset bool
	}{{"/whole", false}, {"/reset", true}} {
		address, _ := startServer(t, func(nc net.Conn, br *bufio.Reader) {
			_, _ = http.ReadRequest(br)
			_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\n\r\npart")
			if tt.reset {
				time.Sleep(5 * time.Millisecond)
				_ = nc.(*net.TCPConn).SetLinger(0)
			}
		})
		got, err := do(t, New(), address, get(tt.uri))
		if err != nil || (got == "part") == tt.reset {
			t.Errorf("%s: got %q, %v", tt.uri, got, err)
		}
	}
}

// The upstream answers before it has read a long body. Do must return that answer, and must
// not reuse the connection, because the rest of the body is still to be written on it.
func TestAnswerBeforeBodyIsRead(t *testing.T) {
	body := bytes.Repeat([]byte("x"), 8<<20)
	rest := make(chan int64, 1)
	address, conns := startServer(t, func(nc net.Conn, br *bufio.Reader) {
		rq, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nearly")
		time.Sleep(4 * bodyWriteGrace)
		n, _ := io.Copy(io.Discard, io.LimitReader(rq.Body, int64(len(body))))
		rest <- n
	})
	cl := New()
	wantAnswer(t, cl, address, &Request{Method: http.MethodPost, URI: "/", Host: "host", Body: body}, "early")
	if got := <-rest; got == int64(len(body)) {
		t.Error("the upstream received the whole body, so the test does not reach its case")
	}
	if len(cl.idle) > 0 || conns.Load() != 1 {
		t.Errorf("%d idle connections after a body that was not written, want 0", len(cl.idle))
	}
}

// A refused connection must give ErrNoConnection. A connection that closes without an answer
// must give another error, and the request must not be sent again, because it may have run.
func TestFailures(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := ln.Addr().String()
	_ = ln.Close()
	if _, err := do(t, New(), closed, get("/")); !errors.Is(err, ErrNoConnection) {
		t.Errorf("closed port: %v, want ErrNoConnection", err)
	}

	address, conns := startServer(t, func(_ net.Conn, br *bufio.Reader) { _, _ = http.ReadRequest(br) })
	if _, err := do(t, New(), address, get("/")); err == nil || errors.Is(err, ErrNoConnection) {
		t.Errorf("closed without an answer: %v, want another error", err)
	}
	if conns.Load() != 1 {
		t.Errorf("the request was sent %d times, want once", conns.Load())
	}
}

// Do must close the connection when its context ends, so that the upstream cancels the
// request.
func TestEndOfContextClosesConnection(t *testing.T) {
	closed := make(chan bool)
	address, _ := startServer(t, func(_ net.Conn, br *bufio.Reader) {
		_, _ = http.ReadRequest(br)
		_, _ = br.ReadByte()
		close(closed)
	})
	ctx, stop := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer stop()
	cl := New()
	if err := cl.Do(newRun(ctx), address, get("/"), func(Answer) bool { return false }); err == nil {
		t.Error("no error after the end of the context")
	}
	<-closed
}

// The idle timeout must be a margin shorter than the upstream states, and at most
// maxIdleTime.
func TestKeepAliveHeader(t *testing.T) {
	for _, tt := range []struct {
		header string
		want   time.Duration
	}{
		{"timeout=10", 8 * time.Second},
		{"max=5, timeout=5", 4 * time.Second},
		{"timeout=600", maxIdleTime},
		{"timeout=soon", maxIdleTime},
		{"", maxIdleTime},
	} {
		cn := &conn{idleTimeout: maxIdleTime}
		cn.applyKeepAlive(http.Header{"Keep-Alive": {tt.header}})
		if cn.idleTimeout != tt.want {
			t.Errorf("%q: idle timeout %v, want %v", tt.header, cn.idleTimeout, tt.want)
		}
	}
}

// The URI and the fields must be written unchanged, and the framing must be that of the
// client.
func TestRequestEncoding(t *testing.T) {
	var buf bytes.Buffer
	rq := &Request{
		Method: http.MethodPost, URI: "/a%2fb/?q=%20", Host: "h.example", Body: []byte("xyz"),
		Header: http.Header{"X-One": {"1", "2"}, "Content-Length": {"77"}, "Transfer-Encoding": {"chunked"}},
	}
	rq.encode(&buf)
	want := "POST /a%2fb/?q=%20 HTTP/1.1\r\nHost: h.example\r\nX-One: 1\r\nX-One: 2\r\nContent-Length: 3\r\n\r\nxyz"
	if got := buf.String(); got != want {
		t.Errorf("wrote %q, want %q", got, want)
	}
}

// The handler removes Keep-Alive from the answer. The connection must still expire before
// the idle time that the upstream stated.
func TestKeepAliveIsReadBeforeHandler(t *testing.T) {
	address, _ := startServer(t, func(nc net.Conn, br *bufio.Reader) {
		_, _ = http.ReadRequest(br)
		_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n")
		_, _ = io.Copy(io.Discard, br)
	})
	cl := New()
	err := cl.Do(newRun(t.Context()), address, get("/"), func(an Answer) bool {
		an.Header.Del("Keep-Alive")
		return false
	})
	if err != nil || len(cl.idle) != 1 {
		t.Fatalf("error %v, %d idle connections, want 1", err, len(cl.idle))
	}
	if got, want := cl.idle[0].idleTimeout, 4*time.Second; got != want {
		t.Errorf("idle timeout %v, want %v", got, want)
	}
}

// An HTTP/1.0 answer with a transfer coding must be rejected. http.ReadResponse would return
// the framing of its chunks as part of the body.
func TestTransferCodingOfHTTP10IsRejected(t *testing.T) {
	for _, tt := range []struct {
		head, body string
		want       error
	}{
		{"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "2\r\nok\r\n0\r\n\r\n", ErrTransferCoding},
		{"HTTP/1.0 200 OK\r\ntransfer-encoding: gzip, chunked\r\nContent-Length: 2\r\n\r\n", "ok", ErrTransferCoding},
		{"HTTP/1.0 200 OK\r\nX-A: 1\r\nX-A: 2\r\n\r\n", "ok", nil},
		{"HTTP/1.0 200 OK\r\nX-A: 1\r\nX-A: 2\r\nConnection: keep-alive\r\nContent-Length: 2\r\n\r\n", "ok", nil},
	} {
		address, _ := startServer(t, func(nc net.Conn, br *bufio.Reader) {
			_, _ = http.ReadRequest(br)
			_, _ = io.WriteString(nc, tt.head+tt.body)
		})
		err := New().Do(newRun(t.Context()), address, get("/"), func(an Answer) bool {
			body, err := io.ReadAll(an.Body)
			if err != nil || string(body) != "ok" || len(an.Header["X-A"]) != 2 {
				t.Errorf("%q: body %q, header %v, %v", tt.head, body, an.Header, err)
			}
			return false
		})
		if !errors.Is(err, tt.want) {
			t.Errorf("%q: error %v, want %v", tt.head, err, tt.want)
		}
	}
}

// newRun returns a run that ends with ctx, or after a minute.
func newRun(ctx context.Context) *Run {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(time.Minute)
	}
	rn := &Run{Deadline: deadline}
	context.AfterFunc(ctx, rn.Abort)
	return rn
}

// An aborted run must neither send its request nor use up the connection, and a connection whose
// last deadline has passed must be usable again.
func TestAbortedRunSendsNothing(t *testing.T) {
	var served atomic.Int64
	address, conns := startServer(t, func(nc net.Conn, br *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
			served.Add(1)
			_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	cl := New()
	do := func(rn *Run) error {
		return cl.Do(rn, address, get("/"), func(an Answer) bool {
			_, _ = io.Copy(io.Discard, an.Body)
			return false
		})
	}
	if err := do(newRun(t.Context())); err != nil {
		t.Fatal(err)
	}
	_ = cl.idle[0].nc.SetDeadline(time.Unix(1, 0))
	rn := newRun(t.Context())
	rn.Abort()
	if err := do(rn); !errors.Is(err, ErrAborted) || served.Load() != 1 {
		t.Fatalf("error %v and %d requests served, want ErrAborted and 1", err, served.Load())
	}
	if err := do(newRun(t.Context())); err != nil || served.Load() != 2 || conns.Load() != 1 {
		t.Fatalf("error %v, %d requests served on %d connections, want 2 on 1", err, served.Load(), conns.Load())
	}
}

// TestResetWhileUploadIsWritten guards against the part of an answer that is taken for a whole one: the
// upstream answers without a length before it has read the upload, and resets the connection, of which
// only the write may be told.
func TestResetWhileUploadIsWritten(t *testing.T) {
	for _, proto := range []string{"HTTP/1.1", "HTTP/1.0"} {
		t.Run(proto, func(t *testing.T) {
			address, _ := startServer(t, func(nc net.Conn, br *bufio.Reader) {
				if _, err := http.ReadRequest(br); err != nil {
					return
				}
				_, _ = io.WriteString(nc, proto+" 200 OK\r\n\r\nthe first part of")
				_ = nc.(*net.TCPConn).SetLinger(0)
			})
			cl := New()
			defer cl.Close()
			for range 100 {
				rq := &Request{Method: http.MethodPost, URI: "/", Host: "host", Header: http.Header{}, Body: make([]byte, 3<<20)}
				whole := false
				_ = cl.Do(newRun(t.Context()), address, rq, func(an Answer) bool {
					_, err := io.ReadAll(an.Body)
					whole = err == nil
					return false
				})
				if whole {
					t.Fatal("the part of an answer was taken for a whole one")
				}
			}
		})
	}
}

// An answer that ends with its connection is whole if the upstream ends it in order, also before it has read
// the upload.
func TestAnswerUntilClose(t *testing.T) {
	address, _ := startServer(t, func(nc net.Conn, br *bufio.Reader) {
		rq, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\n\r\nwhole")
		_ = nc.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, rq.Body)
	})
	cl := New()
	defer cl.Close()
	for _, size := range []int{0, 100, 3 << 20} {
		for range 20 {
			rq := &Request{Method: http.MethodPost, URI: "/", Host: "host", Header: http.Header{}, Body: make([]byte, size)}
			wantAnswer(t, cl, address, rq, "whole")
		}
	}
}
