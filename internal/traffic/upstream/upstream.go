// Package upstream sends requests to the upstream beside a node, over HTTP/1.1
// connections that carry one request at a time.
//
// The client of net/http keeps two goroutines for each connection, and hands
// each request and answer from one to the next. Here the goroutine that sends
// a request also writes it and reads its answer.
package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"camphortrail/internal/traffic/header"
)

const (
	// dialTimeout bounds the time until a connection is there. The upstream is
	// on the same machine, and a connection it has no room for is reset.
	dialTimeout = time.Second
	// maxIdleConns bounds the idle connections. No upstream takes more.
	maxIdleConns = 4096
	// maxIdleTime is the time after which an idle connection is not used again
	// if the upstream doesn't state one.
	maxIdleTime = 30 * time.Second
	// maxInlineBodyBytes is the size, in bytes, up to which a body is written before the
	// answer is read. Socket buffers hold that much.
	maxInlineBodyBytes = 16 << 10
	// bodyWriteGrace is how long the end of a body is waited for once the answer is
	// there, so that the connection can be used again.
	bodyWriteGrace = 50 * time.Millisecond
	// maxPooledHeadBytes is the capacity, in bytes, up to which buffers are kept for reuse.
	maxPooledHeadBytes = 64 << 10
)

// ErrNoConnection is returned when the upstream takes no connection. Nothing was
// sent.
var ErrNoConnection = errors.New("upstream: no connection")

// Request is what is sent.
type Request struct {
	Method string
	// URI is the path and query.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
}

// Answer is what an upstream answered.
type Answer struct {
	*http.Response
	// PreviousHeader is the header of the request that was sent before on the same
	// connection, or nil.
	PreviousHeader http.Header
}

// Handler reads an answer with its body. It returns true if the answer is not
// that of the request, and the next one on the connection is to be read. If it sets
// Close of the answer, the connection carries no other request.
type Handler func(an Answer) (next bool)

// Client holds the connections to one upstream. It is safe for concurrent use.
type Client struct {
	dialer net.Dialer

	mu sync.Mutex
	// idle has the connection that was used last at its end.
	idle []*conn
	// epoch counts the calls of Reset. Older connections are not used again.
	epoch uint64
}

// New returns a client without connections.
func New() *Client { return &Client{dialer: net.Dialer{Timeout: dialTimeout}} }

// Reset closes the idle connections, and the others once they are idle: another
// upstream may get the address.
func (cl *Client) Reset() {
	cl.mu.Lock()
	idle := cl.idle
	cl.idle = nil
	cl.epoch++
	cl.mu.Unlock()
	for _, cn := range idle {
		cn.close()
	}
}

// Do sends a request to the address and hands the answer to the handler. A
// request is sent once: with an error other than ErrNoConnection it may have
// reached the upstream. When ctx ends, the connection is closed.
func (cl *Client) Do(ctx context.Context, address string, rq *Request, handle Handler) error {
	cn, err := cl.acquire(ctx, address)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, cn.interrupt)
	reusable, err := cn.exchange(rq, handle)
	if !stop() || !reusable {
		cn.close()
		return err
	}
	cl.release(cn)
	return err
}

// acquire returns an idle connection, or a new one.
func (cl *Client) acquire(ctx context.Context, address string) (*conn, error) {
	for {
		cn, epoch := cl.popIdle()
		if cn == nil {
			return cl.dial(ctx, address, epoch)
		}
		if cn.usable(address, time.Now()) {
			return cn, nil
		}
		cn.close()
	}
}

func (cl *Client) popIdle() (cn *conn, epoch uint64) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	last := len(cl.idle) - 1
	if last < 0 {
		return nil, cl.epoch
	}
	cn = cl.idle[last]
	cl.idle[last] = nil
	cl.idle = cl.idle[:last]
	return cn, cl.epoch
}

func (cl *Client) dial(ctx context.Context, address string, epoch uint64) (*conn, error) {
	nc, err := cl.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(ErrNoConnection, err.Error())
	}
	return newConn(nc, address, epoch)
}

// release keeps a connection for the next request, and closes the one that was not
// used for longest if it has expired.
func (cl *Client) release(cn *conn) {
	now := time.Now()
	cn.idleSince = now
	var expired *conn
	cl.mu.Lock()
	retain := cn.epoch == cl.epoch && len(cl.idle) < maxIdleConns
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

// framingHeaders names the headers that the client writes itself.
var framingHeaders = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Trailer": true}

var headBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// encode appends the request to the buffer, with its body if that is short.
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

// send writes a request. A long body is written meanwhile, since the upstream may
// answer before it has read it; written is closed after it.
func (rq *Request) send(w io.Writer) (written chan struct{}, err error) {
	buf := headBuffers.Get().(*bytes.Buffer)
	buf.Reset()
	rq.encode(buf)
	_, err = w.Write(buf.Bytes())
	if buf.Cap() <= maxPooledHeadBytes {
		headBuffers.Put(buf)
	}
	if err != nil || len(rq.Body) <= maxInlineBodyBytes {
		return nil, err
	}
	written = make(chan struct{})
	go func() {
		if _, err := w.Write(rq.Body); err == nil {
			close(written)
		}
	}()
	return written, nil
}
