package pipeline

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"camphortrail/internal/traffic/header"
)

// headerReadSlack is read beyond the limit of a header, for the request line and
// what the buffer holds of a body.
const headerReadSlack = 4096

// Reasons of Refuse.
const (
	ReasonHeaderTooLarge = "header-too-large"
	ReasonBodyTooLarge   = "body-too-large"
	ReasonMalformed      = "malformed-request"
	ReasonIncomplete     = "incomplete-body"
)

var (
	errHeaderTooLarge = errors.New("pipeline: header is larger than the limit")
	errBodyTooLarge   = errors.New("pipeline: body is larger than the limit")
)

// exchange is a request in flight. Answers wait for those before them.
type exchange struct {
	request *http.Request
	answer  Answer
	ready   bool
	// closeAfter says that the caller wants the connection closed after it.
	closeAfter bool
}

// conn is one connection of a caller.
type conn struct {
	sv      *Server
	nc      net.Conn
	remote  string
	limited *limitedReader
	br      *bufio.Reader
	ctx     context.Context
	cancel  context.CancelFunc

	mu    sync.Mutex
	queue []*exchange
	// notFull is signalled when the queue gets shorter.
	notFull *sync.Cond
	// readingRequest is set while a request is being read.
	readingRequest bool
	// closing is set once nothing more is answered.
	closing bool
	// idleSince is the time in Unix nanoseconds since which nothing is in
	// flight, or 0.
	idleSince atomic.Int64
}

func newConn(sv *Server, nc net.Conn) *conn {
	cn := &conn{sv: sv, nc: nc, remote: nc.RemoteAddr().String(), limited: &limitedReader{r: nc}}
	cn.br = bufio.NewReader(cn.limited)
	cn.ctx, cn.cancel = context.WithCancel(context.Background())
	cn.notFull = sync.NewCond(&cn.mu)
	return cn
}

// limitedReader bounds what is read.
type limitedReader struct {
	r         io.Reader
	remaining int64
}

// Read reads up to the bound.
func (lr *limitedReader) Read(p []byte) (int, error) {
	if lr.remaining <= 0 {
		return 0, errHeaderTooLarge
	}
	if int64(len(p)) > lr.remaining {
		p = p[:lr.remaining]
	}
	n, err := lr.r.Read(p)
	lr.remaining -= int64(n)
	return n, err
}

// serve reads requests until the connection ends.
func (cn *conn) serve() {
	defer cn.cleanUp()
	for cn.serveNext() {
	}
}

// cleanUp closes the connection once no answer is to be written any more. The
// caller of a connection that ended has gone, and its requests are cancelled.
func (cn *conn) cleanUp() {
	cn.mu.Lock()
	closedByServer := cn.closing
	cn.closing = true
	cn.mu.Unlock()
	cn.cancel()
	if closedByServer {
		cn.linger()
	}
	_ = cn.nc.Close()
	cn.sv.remove(cn)
}

// linger reads on for a moment after the last answer.
func (cn *conn) linger() {
	if tc, ok := cn.nc.(*net.TCPConn); ok {
		_ = tc.CloseWrite()
	}
	_ = cn.nc.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, cn.nc)
}

// serveNext reads one request and starts it. It returns false when the connection
// is to end.
func (cn *conn) serveNext() bool {
	if !cn.awaitCapacity() {
		return false
	}
	lim := cn.sv.opt.Limits()
	cn.setRequestDeadline(lim)
	cn.limited.remaining = int64(lim.MaxHeaderBytes + headerReadSlack)
	if _, err := cn.br.Peek(1); err != nil {
		return false
	}
	if !cn.beginRequest(lim) {
		return false
	}
	r, err := http.ReadRequest(cn.br)
	if err != nil {
		return cn.refuseUnreadable(err)
	}
	if headerBytes(r) > lim.MaxHeaderBytes {
		return cn.refuse(http.StatusRequestHeaderFieldsTooLarge, ReasonHeaderTooLarge)
	}
	r.RemoteAddr = cn.remote
	_ = cn.nc.SetReadDeadline(time.Now().Add(lim.IdleTimeout))
	cn.limited.remaining = 1<<63 - 1
	body, err := cn.readBody(r, lim.MaxBodyBytes)
	switch {
	case err == errBodyTooLarge:
		return cn.refuse(http.StatusRequestEntityTooLarge, ReasonBodyTooLarge)
	case err != nil:
		return cn.refuse(http.StatusBadRequest, ReasonIncomplete)
	}
	return cn.startHandler(r, body)
}

// awaitCapacity waits until another request may run. It returns false once the
// connection closes.
func (cn *conn) awaitCapacity() bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	for len(cn.queue) >= maxInFlight && !cn.closing {
		cn.notFull.Wait()
	}
	return !cn.closing
}

// setRequestDeadline sets the time within which a request must begin. There is none
// while others are in flight.
func (cn *conn) setRequestDeadline(lim Limits) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.readingRequest = false
	switch {
	case cn.br.Buffered() > 0:
	case len(cn.queue) > 0:
		_ = cn.nc.SetReadDeadline(time.Time{})
	default:
		now := time.Now()
		cn.idleSince.Store(now.UnixNano())
		_ = cn.nc.SetReadDeadline(now.Add(lim.IdleTimeout))
	}
}

// beginRequest notes that a request has begun to arrive.
func (cn *conn) beginRequest(lim Limits) bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if cn.closing {
		return false
	}
	cn.readingRequest = true
	cn.idleSince.Store(0)
	_ = cn.nc.SetReadDeadline(time.Now().Add(lim.HeaderTimeout))
	return true
}

// refuseUnreadable answers what is no request.
func (cn *conn) refuseUnreadable(err error) bool {
	var ne net.Error
	switch {
	case errors.Is(err, errHeaderTooLarge):
		return cn.refuse(http.StatusRequestHeaderFieldsTooLarge, ReasonHeaderTooLarge)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &ne):
		return false
	}
	return cn.refuse(http.StatusBadRequest, ReasonMalformed)
}

func headerBytes(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + 4
		}
	}
	return size
}

func (cn *conn) readBody(r *http.Request, limit int64) ([]byte, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	if r.ContentLength > limit {
		return nil, errBodyTooLarge
	}
	if r.Header.Get("Expect") == "100-continue" && cn.noneInFlight() {
		if _, err := io.WriteString(cn.nc, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, err
		}
	}
	var buf bytes.Buffer
	if r.ContentLength > 0 {
		buf.Grow(int(r.ContentLength) + bytes.MinRead)
	}
	n, err := buf.ReadFrom(io.LimitReader(r.Body, limit+1))
	if err == nil && n > limit {
		err = errBodyTooLarge
	}
	return buf.Bytes(), err
}

func (cn *conn) noneInFlight() bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return len(cn.queue) == 0
}

// startHandler runs a request. It returns false if none may follow.
func (cn *conn) startHandler(r *http.Request, body []byte) bool {
	ex := &exchange{request: r, closeAfter: r.Close || !r.ProtoAtLeast(1, 1)}
	if !cn.enqueue(ex) {
		return false
	}
	cn.sv.workers.Go(func() { cn.complete(ex, cn.sv.opt.Handler(cn.ctx, r, body)) })
	return !ex.closeAfter || cn.awaitLastAnswer()
}

// refuse answers a request that is not passed on, and ends the connection,
// since where the next request begins is not known.
func (cn *conn) refuse(status int, reason string) bool {
	ex := &exchange{request: &http.Request{Method: http.MethodGet}, closeAfter: true}
	if cn.enqueue(ex) {
		cn.complete(ex, cn.sv.opt.Refuse(status, reason))
		cn.awaitLastAnswer()
	}
	return false
}

// enqueue takes a request in, unless the connection closes: the caller counts
// what it sent behind the last answer as not read.
func (cn *conn) enqueue(ex *exchange) bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if cn.closing {
		return false
	}
	cn.queue = append(cn.queue, ex)
	return true
}

// awaitLastAnswer waits until the last answer is written, and notices a caller that
// goes meanwhile. It returns false.
func (cn *conn) awaitLastAnswer() bool {
	cn.limited.remaining = 1<<63 - 1
	_ = cn.nc.SetReadDeadline(time.Time{})
	for {
		cn.mu.Lock()
		closing := cn.closing
		cn.mu.Unlock()
		if closing {
			return false
		}
		if _, err := cn.br.Discard(1); err != nil {
			return false
		}
	}
}

// complete writes an answer, and those behind it that waited for it.
func (cn *conn) complete(ex *exchange, an Answer) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	ex.answer, ex.ready = an, true
	for len(cn.queue) > 0 && cn.queue[0].ready && !cn.closing {
		head := cn.queue[0]
		cn.queue = cn.queue[1:]
		last := head.closeAfter || len(cn.queue) == 0 && (head.answer.Close || cn.sv.opt.Draining())
		if err := cn.writeAnswer(head, last); err != nil || last {
			cn.close()
			return
		}
	}
	if len(cn.queue) == 0 && !cn.readingRequest && !cn.closing {
		now := time.Now()
		cn.idleSince.Store(now.UnixNano())
		_ = cn.nc.SetReadDeadline(now.Add(cn.sv.opt.Limits().IdleTimeout))
	}
	cn.notFull.Signal()
}

// close makes the reading end. The lock is held.
func (cn *conn) close() {
	cn.closing = true
	cn.notFull.Broadcast()
	_ = cn.nc.SetReadDeadline(time.Now())
}

// closeIdle closes the connection if no request is in flight or on its way.
func (cn *conn) closeIdle() {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if len(cn.queue) == 0 && !cn.readingRequest && !cn.closing {
		cn.close()
	}
}

func (cn *conn) abort() {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.closing = true
	cn.notFull.Broadcast()
	_ = cn.nc.Close()
}

// writeAnswer sends one answer. The lock is held.
func (cn *conn) writeAnswer(ex *exchange, last bool) error {
	an := ex.answer
	var buf bytes.Buffer
	buf.Grow(512 + len(an.Body))
	buf.WriteString("HTTP/1.1 " + strconv.Itoa(an.Status) + " " + http.StatusText(an.Status) + "\r\n")
	header.WriteFields(&buf, an.Header, nil)
	if last {
		buf.WriteString("Connection: close\r\n")
	}
	if an.Status != http.StatusNoContent && an.Status != http.StatusNotModified {
		buf.WriteString("Content-Length: " + strconv.Itoa(len(an.Body)) + "\r\n")
	}
	buf.WriteString("\r\n")
	if ex.request.Method != http.MethodHead {
		buf.Write(an.Body)
	}
	_ = cn.nc.SetWriteDeadline(time.Now().Add(cn.sv.opt.Limits().IdleTimeout))
	_, err := cn.nc.Write(buf.Bytes())
	return err
}
