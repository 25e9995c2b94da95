// Package upstream sends requests to the upstream beside a node, over HTTP/1.1
// connections that carry one request at a time.
//
// The client of net/http uses two goroutines for each connection, and passes each request
// and answer between them. Here the goroutine that calls Client.Do writes the request and
// reads its answer itself, which saves these switches.
package upstream

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"camphortrail/internal/traffic/buffer"
	"camphortrail/internal/traffic/header"
)

const (
	// dialTimeout bounds the time to establish a connection. The upstream is on the same
	// machine, and resets a connection that it has no capacity for.
	dialTimeout = time.Second
	// maxIdleConns bounds the number of idle connections. No upstream accepts more.
	maxIdleConns = 4096
	// maxIdleTime is the time after which an idle connection is not reused. It applies
	// unless the upstream states a shorter one.
	maxIdleTime = 30 * time.Second
	// maxInlineBodyBytes is the size up to which a body is written before the answer is
	// read. Socket buffers hold that much, so that the write doesn't block on an upstream
	// that answers first.
	maxInlineBodyBytes = 16 << 10
	// bodyWriteGrace is the time to wait, after the answer, until the rest of a long body
	// is written. Only then can the connection be reused.
	bodyWriteGrace = 50 * time.Millisecond
	// maxPooledHeadBytes is the capacity up to which request buffers are pooled.
	maxPooledHeadBytes = 64 << 10
)

// ErrAborted is returned when a run was aborted before its request was sent.
var ErrAborted = errors.New("upstream: aborted")

// ErrNoConnection is returned when no connection to the upstream can be established. No
// byte of the request was sent.
var ErrNoConnection = errors.New("upstream: no connection")

// Request is a request to an upstream.
type Request struct {
	Method string
	// URI is the path and query.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Memory, if it is set, takes the memory of the head of the answer. The Handler adds the
	// body.
	Memory *buffer.Reservation
}

// Answer is the answer of an upstream.
type Answer struct {
	*http.Response
	// PreviousHeader is the header of the previous request on the same connection, or nil
	// if there was none or its late answer was skipped. It identifies a late answer.
	PreviousHeader http.Header
}

// Handler reads an answer and its body. It returns true if the answer is a late one to an
// earlier request, so that the next answer on the connection must be read. If it sets
// an.Close, the connection is not reused.
type Handler func(an Answer) (late bool)

// Client holds the connections to one upstream. It is safe for concurrent use.
type Client struct {
	dialer net.Dialer

	mu sync.Mutex
	// idle holds the idle connections, the most recently used one last.
	idle   []*conn
	closed bool
}

// New returns a client without connections.
func New() *Client { return &Client{dialer: net.Dialer{Timeout: dialTimeout}} }

// Close closes the idle connections, and each busy one after its answer. Do opens no others
// and returns ErrNoConnection from then on.
func (cl *Client) Close() {
	cl.mu.Lock()
	idle := cl.idle
	cl.idle, cl.closed = nil, true
	cl.mu.Unlock()
	for _, cn := range idle {
		cn.close()
	}
}

// Do sends a request to the address and passes the answer to the handler. It never repeats
// a request. If it returns an error other than ErrNoConnection or ErrAborted, the request may
// have reached the upstream. When the run ends, Do closes the connection.
func (cl *Client) Do(rn *Run, address string, rq *Request, handle Handler) error {
	cn, err := cl.acquire(rn, address)
	if err != nil {
		return err
	}
	if !rn.attach(cn) {
		cl.release(cn)
		return ErrAborted
	}
	reusable, err := cn.exchange(rq, handle)
	if !rn.detach() || !reusable {
		cn.close()
		return err
	}
	cl.release(cn)
	return err
}

// acquire returns a usable idle connection, or a new one if there is none. Its deadline is that
// of the run.
func (cl *Client) acquire(rn *Run, address string) (*conn, error) {
	for {
		cn, closed := cl.popIdle()
		if closed {
			return nil, errors.Wrap(ErrNoConnection, "client is closed")
		}
		if cn == nil {
			return cl.dial(rn, address)
		}
		_ = cn.nc.SetDeadline(rn.Deadline)
		if cn.usable(address, time.Now()) {
			return cn, nil
		}
		cn.close()
	}
}

// popIdle removes and returns the most recently used idle connection, or nil. closed says
// whether the client is closed.
func (cl *Client) popIdle() (cn *conn, closed bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	last := len(cl.idle) - 1
	if last < 0 {
		return nil, cl.closed
	}
	cn = cl.idle[last]
	cl.idle[last] = nil
	cl.idle = cl.idle[:last]
	return cn, cl.closed
}

// dial opens a connection. Its errors wrap ErrNoConnection.
func (cl *Client) dial(rn *Run, address string) (*conn, error) {
	ctx, stop := rn.dialContext()
	defer stop()
	nc, err := cl.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(ErrNoConnection, err.Error())
	}
	_ = nc.SetDeadline(rn.Deadline)
	return newConn(nc, address)
}

// release adds a connection to the idle ones, and closes the least recently used of them if
// it has expired. It closes the connection itself if the client is closed or if there are
// maxIdleConns.
func (cl *Client) release(cn *conn) {
	now := time.Now()
	cn.idleSince = now
	var expired *conn
	cl.mu.Lock()
	retain := !cl.closed && len(cl.idle) < maxIdleConns
	if retain {
		if len(cl.idle) > 0 && cl.idle[0].expired(now) {
			expired = cl.idle[0]
			cl.idle = append(cl.idle[:0], cl.idle[1:]...)
		}
		cl.idle = append(cl.idle, cn)
	}
	cl.mu.Unlock()
	if !retain {
		cn.close()
	}
	if expired != nil {
		expired.close()
	}
}

// framingHeaders holds the headers that are not copied from Request.Header, because the
// client determines the framing itself.
var framingHeaders = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Trailer": true}

// headBuffers holds buffers for encoded requests.
var headBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// encode appends the request to the buffer, with its body if that is at most
// maxInlineBodyBytes long.
func (rq *Request) encode(buf *bytes.Buffer) {
	for _, text := range [...]string{rq.Method, " ", rq.URI, " HTTP/1.1\r\nHost: ", rq.Host, "\r\n"} {
		buf.WriteString(text)
	}
	header.WriteFields(buf, rq.Header, framingHeaders)
	if len(rq.Body) > 0 || rq.Method != http.MethodGet && rq.Method != http.MethodHead {
		buf.WriteString("Content-Length: ")
		buf.WriteString(strconv.Itoa(len(rq.Body)))
		buf.WriteString("\r\n")
	}
	buf.WriteString("\r\n")
	if len(rq.Body) <= maxInlineBodyBytes {
		buf.Write(rq.Body)
	}
}

// send writes a request. It writes a body longer than maxInlineBodyBytes in another
// goroutine, because the upstream may answer before it has read the body.
func (rq *Request) send(w io.Writer) write {
	buf := headBuffers.Get().(*bytes.Buffer)
	buf.Reset()
	rq.encode(buf)
	_, err := w.Write(buf.Bytes())
	if buf.Cap() <= maxPooledHeadBytes {
		headBuffers.Put(buf)
	}
	if err != nil || len(rq.Body) <= maxInlineBodyBytes {
		return write{err: err}
	}
	return write{body: rq.sendBody(w)}
}

// sendBody writes the body in another goroutine. It is a function of its own so that short requests
// allocate no variables for it.
func (rq *Request) sendBody(w io.Writer) *bodyWrite {
	bw := &bodyWrite{done: make(chan struct{})}
	go func() {
		defer close(bw.done)
		_, bw.err = w.Write(rq.Body)
	}()
	return bw
}
