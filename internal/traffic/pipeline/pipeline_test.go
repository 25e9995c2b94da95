package pipeline

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"camphortrail/internal/traffic/buffer"
)

// testServer is a server whose handler answers a request with its path and body. For a path
// in gates, the handler waits until that channel is closed or the request is cancelled. started
// receives the path of each request, and cancelled that of each one that is cancelled.
type testServer struct {
	*Server
	address   string
	draining  atomic.Bool
	gates     map[string]chan struct{}
	started   chan string
	cancelled chan string
	// requests receives each request with a deadline, and causes the cause of each of their
	// cancellations.
	requests chan *Request
	causes   chan error
}

// waitHeader holds the time in milliseconds for which a caller waits for an answer.
const waitHeader = "X-Wait"

func newTestServer(t *testing.T, lim Limits, paths ...string) *testServer {
	t.Helper()
	return newBoundedServer(t, lim, 0, paths...)
}

// newBoundedServer is newTestServer with a bound of the memory of requests.
func newBoundedServer(t *testing.T, lim Limits, maxBufferedBytes int64, paths ...string) *testServer {
	t.Helper()
	ts := &testServer{gates: make(map[string]chan struct{}), started: make(chan string, 10), cancelled: make(chan string, 10)}
	ts.requests, ts.causes = make(chan *Request, 10), make(chan error, 10)
	for _, path := range paths {
		ts.gates[path] = make(chan struct{})
	}
	ts.Server = New(Options{
		Handler: func(ctx context.Context, rq *Request) Answer {
			path := rq.HTTP.URL.Path
			if !rq.Deadline.IsZero() {
				ts.requests <- rq
			}
			ts.started <- path
			if gate := ts.gates[path]; gate != nil {
				select {
				case <-gate:
				case <-ctx.Done():
					if !rq.Deadline.IsZero() {
						ts.causes <- context.Cause(ctx)
					}
					ts.cancelled <- path
				}
			}
			return Answer{Status: 200, Header: http.Header{}, Body: append([]byte(path+" "), rq.Body...)}
		},
		Deadline: func(r *http.Request) time.Time {
			ms, err := strconv.Atoi(r.Header.Get(waitHeader))
			if err != nil {
				return time.Time{}
			}
			return time.Now().Add(time.Duration(ms) * time.Millisecond)
		},
		MayRepeat: func(r *http.Request) bool { return r.Method == http.MethodGet },
		Refuse:    func(status int, reason string) Answer { return Answer{Status: status, Body: []byte(reason)} },
		Limits:    func() Limits { return lim },
		Draining:  ts.draining.Load, Memory: buffer.NewBudget(cmp.Or(maxBufferedBytes, 1<<40)),
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ts.address = ln.Addr().String()
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := ts.Serve(ln); err != http.ErrServerClosed {
			t.Error("Serve:", err)
		}
	}()
	t.Cleanup(func() {
		_ = ts.Close()
		<-done
	})
	return ts
}

func testLimits() Limits {
	return Limits{MaxHeaderBytes: 2000, MaxBodyBytes: 100, HeaderTimeout: 5 * time.Second, IdleTimeout: 5 * time.Second}
}

// caller is one connection of a caller.
type caller struct {
	net.Conn
	t  *testing.T
	br *bufio.Reader
}

func (ts *testServer) dial(t *testing.T) *caller {
	t.Helper()
	nc, err := net.Dial("tcp", ts.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = nc.Close() })
	_ = nc.SetDeadline(time.Now().Add(10 * time.Second))
	return &caller{Conn: nc, t: t, br: bufio.NewReader(nc)}
}

// send sends a GET request for each path without waiting for answers.
func (cl *caller) send(paths ...string) {
	for _, path := range paths {
		fmt.Fprintf(cl, "GET %s HTTP/1.1\r\nHost: a\r\n\r\n", path)
	}
}

// sendFor sends a request and states how long the caller waits.
func (cl *caller) sendFor(method, path string, wait time.Duration) {
	fmt.Fprintf(cl, "%s %s HTTP/1.1\r\nHost: a\r\n%s: %d\r\nContent-Length: 0\r\n\r\n", method, path, waitHeader, wait.Milliseconds())
}

// read reads an answer. It returns its status, its body, and whether the connection closes
// after it.
func (cl *caller) read() (status int, body string, last bool) {
	cl.t.Helper()
	rs, err := http.ReadResponse(cl.br, nil)
	if err != nil {
		cl.t.Fatal(err)
	}
	data, err := io.ReadAll(rs.Body)
	if err != nil {
		cl.t.Fatal(err)
	}
	return rs.StatusCode, string(data), rs.Close
}

func (cl *caller) want(status int, body string, last bool) {
	cl.t.Helper()
	if gotStatus, gotBody, gotLast := cl.read(); gotStatus != status || gotBody != body || gotLast != last {
		cl.t.Errorf("answer %d %q, closing %t; want %d %q, %t", gotStatus, gotBody, gotLast, status, body, last)
	}
}

// The requests of a connection run concurrently. A slow one delays the answers to later
// requests, which are sent in the order of the requests.
func TestRequestsRunConcurrently(t *testing.T) {
	ts := newTestServer(t, testLimits(), "/slow")
	cl := ts.dial(t)
	cl.send("/slow", "/quick")
	for range 2 {
		<-ts.started
	}
	close(ts.gates["/slow"])
	cl.want(200, "/slow ", false)
	cl.want(200, "/quick ", false)
}

// Bodies with a length and in chunks must reach the handler in full.
func TestBodies(t *testing.T) {
	ts := newTestServer(t, testLimits())
	cl := ts.dial(t)
	fmt.Fprint(cl, "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc")
	fmt.Fprint(cl, "POST /b HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nde\r\n0\r\n\r\n")
	cl.want(200, "/a abc", false)
	cl.want(200, "/b de", false)
}

// A request that is malformed or too large must be refused with a reason, must not reach the
// handler, and must end the connection.
func TestLimits(t *testing.T) {
	for name, tt := range map[string]struct {
		send   string
		status int
		reason string
	}{
		"header":          {"GET / HTTP/1.1\r\nHost: a\r\nX-A: " + strings.Repeat("a", 2000) + "\r\n\r\n", 431, ReasonHeaderTooLarge},
		"header too long": {"GET / HTTP/1.1\r\nHost: a\r\nX-A: " + strings.Repeat("a", 20000) + "\r\n\r\n", 431, ReasonHeaderTooLarge},
		"body":            {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 101\r\n\r\n", 413, ReasonBodyTooLarge},
		"chunks":          {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n80\r\n" + strings.Repeat("a", 128) + "\r\n0\r\n\r\n", 413, ReasonBodyTooLarge},
		"no request":      {"nonsense\r\n\r\n", 400, ReasonMalformed},
	} {
		t.Run(name, func(t *testing.T) {
			ts := newTestServer(t, testLimits())
			cl := ts.dial(t)
			fmt.Fprint(cl, tt.send)
			cl.want(tt.status, tt.reason, true)
			if len(ts.started) != 0 {
				t.Error("the request was passed on")
			}
		})
	}
}

// When a caller closes its connection, its requests are cancelled, also when it asked to
// close the connection after the answer.
func TestCallerDisconnects(t *testing.T) {
	for _, ending := range []string{"", "Connection: close\r\n"} {
		ts := newTestServer(t, testLimits(), "/slow")
		cl := ts.dial(t)
		fmt.Fprintf(cl, "GET /slow HTTP/1.1\r\nHost: a\r\n%s\r\n", ending)
		<-ts.started
		_ = cl.Close()
		select {
		case <-ts.cancelled:
		case <-time.After(5 * time.Second):
			t.Errorf("request with %q: not cancelled", ending)
		}
	}
}

// A draining server must answer all requests in flight on a connection before it closes
// that connection. It closes idle ones at once.
func TestShutdownAnswersRequestsInFlight(t *testing.T) {
	ts := newTestServer(t, testLimits(), "/slow", "/slower")
	idle, busy := ts.dial(t), ts.dial(t)
	idle.send("/quick")
	idle.want(200, "/quick ", false)
	<-ts.started
	busy.send("/slow", "/slower")
	for range 2 {
		<-ts.started
	}
	ts.draining.Store(true)
	done := make(chan error)
	go func() { done <- ts.Shutdown(t.Context()) }()
	if _, err := idle.br.ReadByte(); err != io.EOF {
		t.Errorf("idle connection: %v, want EOF", err)
	}
	close(ts.gates["/slow"])
	busy.want(200, "/slow ", false)
	close(ts.gates["/slower"])
	busy.want(200, "/slower ", true)
	_ = busy.Close()
	if err := <-done; err != nil {
		t.Error("Shutdown:", err)
	}
}

// TestEndOfShutdownAnswersRequests guards against requests that were read, and that a process which
// ends closes without an answer: their callers then cannot tell whether they have run.
func TestEndOfShutdownAnswersRequests(t *testing.T) {
	ts := newTestServer(t, testLimits(), "/slow", "/slower")
	cl := ts.dial(t)
	cl.send("/slow", "/slower")
	for range 2 {
		<-ts.started
	}
	ts.draining.Store(true)
	ctx, end := context.WithCancel(t.Context())
	end()
	done := make(chan error, 1)
	go func() {
		done <- ts.Shutdown(ctx)
		_ = ts.Close()
	}()
	cl.want(200, "/slow ", false)
	cl.want(200, "/slower ", true)
	_ = cl.Close()
	if err := <-done; !errors.Is(err, context.Canceled) {
		t.Errorf("Shutdown: %v, want %v", err, context.Canceled)
	}
}

// TestShutdownAnswersWhatHasArrived guards against idle connections that a shutdown closes although requests
// have arrived on them that the process has had no time to read: it was suspended, or others had the
// processors.
func TestShutdownAnswersWhatHasArrived(t *testing.T) {
	// With one processor, no goroutine reads between the sends and the shutdown.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	ts := newTestServer(t, testLimits())
	var clients []*caller
	for range 20 {
		cl := ts.dial(t)
		cl.send("/quick")
		cl.want(200, "/quick ", false)
		<-ts.started
		clients = append(clients, cl)
	}
	ts.draining.Store(true)
	for _, cl := range clients {
		cl.send("/quick")
	}
	done := make(chan error)
	go func() {
		for range clients {
			<-ts.started
		}
	}()
	go func() { done <- ts.Shutdown(t.Context()) }()
	for _, cl := range clients {
		cl.want(200, "/quick ", true)
		_ = cl.Close()
	}
	if err := <-done; err != nil {
		t.Error("Shutdown:", err)
	}
}

// A new connection above MaxConns closes the one that has been idle longest, and not one
// with a request in flight.
func TestNewConnectionClosesLongestIdle(t *testing.T) {
	ts := newTestServer(t, testLimits(), "/slow")
	ts.mu.Lock()
	ts.opt.MaxConns = 2
	ts.mu.Unlock()
	busy, idle := ts.dial(t), ts.dial(t)
	busy.send("/slow")
	<-ts.started
	idle.send("/a")
	idle.want(200, "/a ", false)
	<-ts.started
	ts.dial(t).send("/b")
	if _, err := idle.br.ReadByte(); err != io.EOF {
		t.Errorf("idle connection: %v, want EOF", err)
	}
	close(ts.gates["/slow"])
	busy.want(200, "/slow ", false)
}

// A connection must close when no request arrives within IdleTimeout.
func TestIdleConnectionEnds(t *testing.T) {
	lim := testLimits()
	lim.IdleTimeout = 50 * time.Millisecond
	ts := newTestServer(t, lim)
	cl := ts.dial(t)
	cl.send("/a")
	cl.want(200, "/a ", false)
	if _, err := cl.br.ReadByte(); err != io.EOF {
		t.Errorf("idle connection: %v, want EOF", err)
	}
}

// A request knows for how long those behind it will wait for its answer, and is told when its
// caller leaves as one of them has expired.
func TestBlockedRequestsAreKnown(t *testing.T) {
	ts := newTestServer(t, testLimits(), "/long")
	for _, tt := range []struct {
		name string
		// behind holds how long the callers of the requests behind wait.
		behind []time.Duration
		blocks time.Duration
		cause  error
	}{
		{"alone", nil, 0, context.Canceled},
		{"patient", []time.Duration{10 * time.Minute, 2 * time.Minute, 5 * time.Minute}, 2 * time.Minute, context.Canceled},
		{"expired", []time.Duration{2 * time.Minute, 20 * time.Millisecond}, 0, ErrBlockedExpired},
	} {
		cl := ts.dial(t)
		cl.sendFor("POST", "/long", time.Hour)
		<-ts.started
		long := <-ts.requests
		for _, wait := range tt.behind {
			cl.sendFor("GET", "/short", wait)
			<-ts.started
			<-ts.requests
		}
		blocks := time.Duration(0)
		if dl := long.Blocks(); !dl.IsZero() {
			blocks = time.Until(dl).Round(time.Minute)
		}
		if blocks != tt.blocks {
			t.Errorf("%s: blocks %v, want %v", tt.name, blocks, tt.blocks)
		}
		_ = cl.Close()
		if cause := <-ts.causes; cause != tt.cause {
			t.Errorf("%s: cause %v, want %v", tt.name, cause, tt.cause)
		}
		<-ts.cancelled
	}
}

// Guards against losing two requests together: an answer that is ready reaches its caller before
// the deadline although the request ahead of it takes longer, if that one may be repeated and the
// server does not drain.
func TestFinishedRequestIsNotLostBehindSlowOne(t *testing.T) {
	ts := newTestServer(t, testLimits(), "/long")
	for _, tt := range []struct {
		method             string
		draining, givesWay bool
	}{
		{"GET", false, true},
		{"POST", false, false},
		{"GET", true, false},
	} {
		method, givesWay := tt.method, tt.givesWay
		ts.draining.Store(tt.draining)
		cl := ts.dial(t)
		cl.sendFor(method, "/long", time.Hour)
		cl.sendFor("GET", "/short", 200*time.Millisecond)
		<-ts.started
		<-ts.started
		if !givesWay {
			_ = cl.SetReadDeadline(time.Now().Add(400 * time.Millisecond))
			if _, err := cl.br.Peek(1); err == nil {
				t.Errorf("%s: an answer came", method)
			}
			continue
		}
		cl.want(200, "/long ", false)
		cl.want(200, "/short ", false)
		if cause := <-ts.causes; cause != ErrGaveWay {
			t.Errorf("%s: cause %v", method, cause)
		}
	}
}

// TestConnectionsOfOneAddressDiffer guards against taking the calls of an upstream for requests of a
// caller whose connection had the same address before.
func TestConnectionsOfOneAddressDiffer(t *testing.T) {
	sv := New(Options{})
	seen := make(map[string]bool)
	for range 3 {
		near, far := net.Pipe()
		if cn := newConn(sv, far); seen[cn.remote] {
			t.Errorf("two connections are told by %s", cn.remote)
		} else {
			seen[cn.remote] = true
		}
		_, _ = near.Close(), far.Close()
	}
}

// Guards against a caller that stops the whole node: the entry asks what a request blocks while it
// holds its own lock, and must not wait for callers that do not read their answers.
func TestSlowReaderHoldsNoLock(t *testing.T) {
	const large = 32 << 20 // more than the buffers of sockets
	asked := make(chan time.Time)
	sv := New(Options{
		Handler: func(_ context.Context, rq *Request) Answer {
			if rq.HTTP.URL.Path == "/large" {
				return Answer{Status: http.StatusOK, Body: make([]byte, large)}
			}
			for range 50 { // by then, the large answer is being written
				time.Sleep(10 * time.Millisecond)
				asked <- rq.Blocks()
			}
			return Answer{Status: http.StatusOK}
		},
		Limits: func() Limits {
			return Limits{MaxHeaderBytes: 1 << 14, MaxBodyBytes: 1 << 20, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
		},
		Refuse:   func(int, string) Answer { return Answer{Status: http.StatusServiceUnavailable} },
		Draining: func() bool { return false },
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = sv.Serve(ln) }()
	defer sv.Close()
	nc, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	if _, err := io.WriteString(nc, "GET /large HTTP/1.1\r\nHost: h\r\n\r\nGET /asks HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	for n := range 50 {
		select {
		case <-asked:
		case <-time.After(10 * time.Second):
			t.Fatalf("question %d waits for a caller that does not read", n)
		}
	}
}
