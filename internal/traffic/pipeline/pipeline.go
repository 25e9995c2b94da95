// Package pipeline serves HTTP/1.1 to callers that send requests before earlier
// ones are answered. The requests of one connection run side by side, and
// their answers go back in the order in which the requests came (RFC 9112,
// section 9.3.2).
package pipeline

import (
	"context"
	"errors"
	"math"
	"net"
	"net/http"
	"sync"
	"time"

	"camphortrail/internal/traffic/worker"
)

const (
	// maxInFlight bounds the requests of one connection that run at a time;
	// further ones wait in the connection.
	maxInFlight = 64
	// lingerTime is how long a closed connection is still read, so that what
	// the caller sent meanwhile does not reset it before it has read the last
	// answer.
	lingerTime = 500 * time.Millisecond
	// pollInterval is the time between two looks at the connections in use
	// during a shutdown.
	pollInterval = 20 * time.Millisecond
)

// Limits bounds what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout bounds the time for the header of a request, and
	// IdleTimeout that without a request, and that for a body and an answer.
	HeaderTimeout, IdleTimeout time.Duration
}

// Answer is what a caller is sent.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Close says that the connection is of no more use once no request is in
	// flight on it.
	Close bool
}

// Handler answers a request that was read with its whole body. The context
// ends when the caller has closed its connection.
type Handler func(ctx context.Context, r *http.Request, body []byte) Answer

// Options describe a server.
type Options struct {
	Handler Handler
	// Refuse answers a request that breaks the limits or the protocol.
	Refuse func(status int, reason string) Answer
	// Limits returns the limits in force.
	Limits func() Limits
	// MaxConns, if set, is the number of connections from which the one that
	// has been idle for longest makes room for each new one.
	MaxConns int
	// Draining reports whether connections are to be closed once they have no
	// request in flight.
	Draining func() bool
}

// Server serves callers. It is safe for concurrent use.
type Server struct {
	opt Options

	mu     sync.Mutex
	conns  map[*conn]struct{}
	closed bool
	ln     net.Listener

	workers worker.Pool
}

// New returns a server without connections.
func New(opt Options) *Server {
	return &Server{opt: opt, conns: make(map[*conn]struct{})}
}

// Serve takes connections until Shutdown or Close, and then returns
// http.ErrServerClosed.
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
			// Want of descriptors passes; the accept queue waits for it.
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

func (sv *Server) add(cn *conn) bool {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if sv.closed {
		return false
	}
	sv.conns[cn] = struct{}{}
	if sv.opt.MaxConns > 0 && len(sv.conns) > sv.opt.MaxConns {
		sv.closeLongestIdle()
	}
	return true
}

// closeLongestIdle closes the connection that has been idle for longest. The
// lock is held.
func (sv *Server) closeLongestIdle() {
	var longest *conn
	oldest := int64(math.MaxInt64)
	for cn := range sv.conns {
		if since := cn.idleSince.Load(); since != 0 && since < oldest {
			longest, oldest = cn, since
		}
	}
	if longest != nil {
		go longest.closeIdle()
	}
}

func (sv *Server) remove(cn *conn) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	delete(sv.conns, cn)
}

// stopAccepting ends Serve and returns the connections that are left.
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

// Shutdown takes no more connections, closes idle ones, and waits until the
// requests in flight are answered or ctx ends.
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
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// Close closes all connections at once.
func (sv *Server) Close() error {
	for _, cn := range sv.stopAccepting() {
		cn.abort()
	}
	sv.workers.Close()
	return nil
}
