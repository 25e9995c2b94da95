package pipeline

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"camphortrail/internal/traffic/buffer"
)

// fuzzBudget is the memory of the server in the fuzz targets.
const fuzzBudget = 256 << 10

// serveBytes sends bytes to a server as one connection and closes it. It returns the number of
// requests that were passed on, and checks that each was within the limits, that the memory
// stayed within the budget, and that all of it is returned.
func serveBytes(t *testing.T, data []byte) (passed int) {
	lim := Limits{MaxHeaderBytes: 2000, MaxBodyBytes: 1000, HeaderTimeout: time.Second, IdleTimeout: time.Second}
	memory := buffer.NewBudget(fuzzBudget)
	calls := make(chan *Request, 1000)
	sv := New(Options{
		Handler: func(_ context.Context, rq *Request) Answer {
			calls <- rq
			return Answer{Status: http.StatusOK, Body: rq.Body}
		},
		Refuse: func(status int, reason string) Answer { return Answer{Status: status, Body: []byte(reason)} },
		Limits: func() Limits { return lim }, Memory: memory, MaxHeaderLines: 50, Draining: func() bool { return false },
	})
	near, far := net.Pipe()
	cn := newConn(sv, far)
	sv.add(cn)
	done := make(chan struct{})
	go func() {
		defer close(done)
		cn.serve()
	}()
	go func() { _, _ = io.Copy(io.Discard, near) }()
	_ = near.SetWriteDeadline(time.Now().Add(time.Second))
	_, _ = near.Write(data)
	_ = near.Close()
	<-done
	sv.workers.Close()
	for end := time.Now().Add(5 * time.Second); memory.Used() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes are not returned", memory.Used())
		}
	}
	for len(calls) > 0 {
		rq := <-calls
		passed++
		if size, lines := headerSize(rq.HTTP); size > lim.MaxHeaderBytes || lines > 50 || len(rq.Body) > 1000 {
			t.Errorf("a request with %d bytes in %d lines and a body of %d was passed on", size, lines, len(rq.Body))
		}
	}
	return passed
}

// FuzzRequests sends arbitrary bytes as requests, which may be malformed, sent ahead or too large.
func FuzzRequests(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
	f.Add([]byte("GET /a HTTP/1.1\r\nHost: a\r\n\r\nPOST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabcGET /c HTTP/1.0\r\n\r\n"))
	f.Add([]byte("GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a:\r\n", 60) + "\r\n"))
	f.Add([]byte("GET / HTTP/1.1\r\nHost: a\r\nfolded: a\r\n b\r\n\tc\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\na"))
	f.Fuzz(func(t *testing.T, data []byte) { serveBytes(t, data) })
}

// FuzzChunks sends arbitrary bytes as a body in chunks.
func FuzzChunks(f *testing.F) {
	f.Add([]byte("3\r\nabc\r\n0\r\n\r\n"))
	f.Add([]byte("1;ext=" + strings.Repeat("e", 300) + "\r\na\r\n0\r\nTrailer: b\r\n\r\n"))
	f.Add([]byte("ffffffffffffffff\r\na"))
	f.Add([]byte(strings.Repeat("1\r\na\r\n", 1100) + "0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		head := "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
		serveBytes(t, append([]byte(head), data...))
	})
}
