// Package pipeline serves HTTP/1.1 with pipelining: callers send requests before earlier
// ones are answered. The requests of one connection run concurrently, and their answers
// are sent in the order of the requests (RFC 9112, section 9.3.2).
package pipeline

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"camphortrail/internal/traffic/buffer"
	"camphortrail/internal/traffic/worker"
)

const (
	// maxInFlight bounds the requests of one connection that run concurrently. Further
	// ones are not read until an earlier one is answered.
	maxInFlight = 64
	// lingerTime is the time for which a connection is still read after its last answer.
	// Without it, data that the caller sent meanwhile would reset the connection before
	// the caller has read the answer.
	lingerTime = 500 * time.Millisecond
	// pollInterval is the time between two checks of the open connections during a
	// shutdown, and the delay before a failed Accept is repeated.
	pollInterval = 20 * time.Millisecond
	// answerTimeout bounds the time in which the requests that a shutdown has cancelled are
	// answered.
	answerTimeout = 300 * time.Millisecond
)

// Limits bounds the size of requests and the time that a caller may take to send them and to
// read answers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout bounds the time to read the header of a request. IdleTimeout bounds
	// the time without a request, the time to read a body, and the time to write an
	// answer.
	HeaderTimeout, IdleTimeout time.Duration
}

// Answer is the answer to a request.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Close closes the connection after this answer if no further request is in flight
	// on it.
	Close bool
}

// Request is a request that was read in full.
type Request struct {
	// HTTP has a RemoteAddr that identifies the connection among all that the server accepts.
	HTTP *http.Request
	Body []byte
	// Deadline is the time at which the caller gives the request up, or zero if it is not
	// known.
	Deadline time.Time
	// Begun is what Options.Begin has returned for the request, or nil if it was not asked.
	Begun any
	// Memory keeps reservations of the answer until it is charged to the connection.
	Memory buffer.Scope
	conn   *conn
}

// Blocks returns the earliest deadline of the requests that have arrived behind this one on its
// connection so far, or zero if there is none. They cannot be answered before it.
func (rq *Request) Blocks() time.Time { return rq.conn.earliestBehind(rq) }

// ErrBlockedExpired is the cause of the cancellation of a request whose caller has closed the
// connection at the deadline of a request that could not be answered before an earlier one.
var ErrBlockedExpired = errors.New("pipeline: deadline of a blocked request has passed")

// ErrShutdown is the cause of the cancellation of a request that is still in flight at the end of
// Shutdown.
var ErrShutdown = errors.New("pipeline: server has shut down")

// ErrGaveWay is the cause of the cancellation of a request that may be repeated, whose answer is
// held up for so long that a finished request behind it would expire. Its handler returns a
// failure, so that the other answer still reaches the caller. Otherwise the caller would close
// the connection, and both would be lost.
var ErrGaveWay = errors.New("pipeline: gave way to an answer behind that would expire")

// A request gives way when the caller will wait for the answer behind it for less than
// 1/giveWayDivisor of the time that it stated, but at least minGiveWay: the time that the answer
// takes to reach the caller.
const (
	giveWayDivisor = 10
	minGiveWay     = 20 * time.Millisecond
)

// expiryTolerance is the time before the deadline of a request from which a close of its
// connection is taken for the expiry of the request. The caller's deadline begins when it sends
// the request, and the server's when it has read it.
const expiryTolerance = 50 * time.Millisecond

// Handler returns the answer to a request. ctx ends when the caller has closed its connection,
// with ErrBlockedExpired as its cause where that is the reason.
type Handler func(ctx context.Context, rq *Request) Answer

// Options configures a Server.
type Options struct {
	Handler Handler
	// Deadline, if not nil, returns the time at which the caller gives up a request that has
	// just been read, or zero if it does not say.
	Deadline func(r *http.Request) time.Time
	// MayRepeat, if not nil, reports whether a request may be repeated after it has run. Such
	// requests give way to an answer behind them that would expire (ErrGaveWay).
	MayRepeat func(r *http.Request) bool
	// Begin, if not nil, decides on a request by its header alone, if most of the body is still to
	// arrive. It returns a refusal, and then the body is not kept and the request is not passed to the
	// handler, or else what the request gets as Begun.
	Begin func(r *http.Request) (begun any, refusal *Answer)
	// Abandon is called with what Begin has returned if the body does not arrive, so that the request
	// is not passed to the handler.
	Abandon func(begun any)
	// Refuse returns the answer to a request that violates the limits or the protocol, or for
	// which there is no memory. reason is one of the Reason constants. Status 502 stands for an
	// answer that was dropped; all others for a request that was not passed to the handler.
	Refuse func(status int, reason string) Answer
	// Limits returns the current limits. It is called for each request.
	Limits func() Limits
	// MaxConns, if not 0, is the number of connections above which each new one closes
	// the connection that has been idle longest.
	MaxConns int
	// Memory, if not nil, bounds the memory of connections, requests and answers, until they are
	// written. When it is used up, the connections that hold most are refused or closed first.
	Memory *buffer.Budget
	// MaxHeaderLines, if not 0, bounds the header lines of a request. The default is the larger
	// of DefaultMaxHeaderLines and a line for 16 bytes of MaxHeaderBytes.
	MaxHeaderLines int
	// Refused, if not nil, is called for each request that is not passed to the handler, each
	// answer that is dropped for lack of memory, and each connection that is closed for a limit.
	// It must not wait.
	Refused func(Refusal)
	// Draining reports whether the server closes each connection after the answer to the
	// last request in flight on it.
	Draining func() bool
}

// DefaultMaxHeaderLines is the least default of Options.MaxHeaderLines. Header lines have 30 bytes
// and more on the mean, so that 16,384 bytes of ordinary headers hold some 500.
const DefaultMaxHeaderLines = 1024

// Refusal says that a request was refused, an answer dropped or a connection closed.
type Refusal struct {
	// Reason is one of the Reason constants.
	Reason string
	// Remote is the address of the client, and Held the memory that its connection held, in
	// bytes.
	Remote string
	Held   int64
}

// Server is an HTTP/1.1 server for pipelined requests. It is safe for concurrent use.
type Server struct {
	opt    Options
	memory *buffer.Budget
	// accepted counts the connections that were accepted.
	accepted atomic.Uint64

	mu     sync.Mutex
	conns  map[*conn]struct{}
	closed bool
	ln     net.Listener

	workers worker.Pool
}

// New returns a server without connections.
func New(opt Options) *Server {
	return &Server{
		opt: opt, conns: make(map[*conn]struct{}),
		memory: cmp.Or(opt.Memory, buffer.NewBudget(math.MaxInt64)),
	}
}

// maxHeaderLines returns the number of header lines that a request may have.
func (sv *Server) maxHeaderLines(lim Limits) int {
	return cmp.Or(sv.opt.MaxHeaderLines, max(DefaultMaxHeaderLines, lim.MaxHeaderBytes/16))
}

// Serve accepts connections until Shutdown or Close is called, and then returns
// http.ErrServerClosed. It returns another error if the listener is closed.
func (sv *Server) Serve(ln net.Listener) error {
	sv.mu.Lock()
	sv.ln = ln
	sv.mu.Unlock()
	for {
		nc, err := ln.Accept()
		switch {
		case err == nil:
		case sv.isClosed():
			return http.ErrServerClosed
		case errors.Is(err, net.ErrClosed):
			return err
		default:
			// A lack of file descriptors is temporary. New connections wait in the
			// accept queue meanwhile.
			time.Sleep(pollInterval)
			continue
		}
		cn := newConn(sv, nc)
		if !sv.add(cn) {
			_ = nc.Close()
			continue
		}
		go cn.serve()
	}
}

func (sv *Server) isClosed() bool {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.closed
}

// add registers a connection, and closes the longest idle one if there are more than
// MaxConns. It returns false if the server is closed.
func (sv *Server) add(cn *conn) bool {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if sv.closed {
		return false
	}
	sv.conns[cn] = struct{}{}
	if sv.opt.MaxConns > 0 && len(sv.conns) > sv.opt.MaxConns {
		return sv.closeLongestUnused(cn)
	}
	return true
}

// closeLongestUnused closes the connection that has been idle, or sending the head of its first
// request, for longest. It returns false if there is none, so that the new connection is closed
// itself. sv.mu must be held.
func (sv *Server) closeLongestUnused(added *conn) bool {
	var longest *conn
	oldest := int64(math.MaxInt64)
	for cn := range sv.conns {
		since := max(cn.idleSince.Load(), cn.headSince.Load())
		if since != 0 && since < oldest {
			longest, oldest = cn, since
		}
	}
	if longest == nil {
		delete(sv.conns, added)
		added.report(ReasonConnections)
		return false
	}
	// The next connection closes another one.
	longest.idleSince.Store(0)
	longest.headSince.Store(0)
	go longest.closeUnserved()
	return true
}

func (sv *Server) remove(cn *conn) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	delete(sv.conns, cn)
}

// stopAccepting ends Serve and returns the open connections.
func (sv *Server) stopAccepting() []*conn {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.closed = true
	if sv.ln != nil {
		_ = sv.ln.Close()
	}
	conns := make([]*conn, 0, len(sv.conns))
	for cn := range sv.conns {
		conns = append(conns, cn)
	}
	return conns
}

// Shutdown stops accepting connections, closes the idle ones, and waits until the requests
// in flight are answered. If ctx ends before that, it cancels those that are left with ErrShutdown,
// waits up to answerTimeout for their answers, and returns the error of ctx.
func (sv *Server) Shutdown(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		left := sv.stopAccepting()
		if len(left) == 0 {
			sv.workers.Close()
			return nil
		}
		for _, cn := range left {
			cn.closeIdle()
		}
		select {
		case <-ctx.Done():
			err := describeOpen(left, ctx.Err())
			sv.breakOff(ticker)
			return err
		case <-ticker.C:
		}
	}
}

// breakOff cancels the requests in flight, so that their callers learn what is known of them, and
// waits up to answerTimeout until the answers are written.
func (sv *Server) breakOff(ticker *time.Ticker) {
	for end := time.Now().Add(answerTimeout); time.Now().Before(end); <-ticker.C {
		left := sv.stopAccepting()
		if len(left) == 0 {
			return
		}
		for _, cn := range left {
			cn.closeIdle()
			cn.cancelRequests(ErrShutdown)
		}
	}
}

// describeOpen adds to an error how many connections are open, and why.
func describeOpen(conns []*conn, err error) error {
	inFlight, reading := 0, 0
	for _, cn := range conns {
		cn.mu.Lock()
		switch {
		case len(cn.queue) > 0 || cn.writing:
			inFlight++
		case cn.readingRequest:
			reading++
		}
		cn.mu.Unlock()
	}
	return fmt.Errorf("pipeline: of %d connections, %d have requests in flight and %d receive one: %w", len(conns), inFlight, reading, err)
}

// Close closes the listener and all connections at once. It always returns nil.
func (sv *Server) Close() error {
	for _, cn := range sv.stopAccepting() {
		cn.abort()
	}
	sv.workers.Close()
	return nil
}
