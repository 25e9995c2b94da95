package soak

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// callConns holds the kept connections of an upstream to the node beside it. Unlike the client of
// net/http, it never sends a call again.
type callConns struct {
	mu   sync.Mutex
	idle []*callConn
}

// callConn is a kept connection, which carries one call at a time.
type callConn struct {
	net.Conn
	er *errorReader
	br *bufio.Reader
}

// take returns an idle connection, or a new one to the address. kept says that it was idle.
func (cc *callConns) take(ctx context.Context, address string) (cn *callConn, kept bool, err error) {
	for cn = cc.pop(); cn != nil; cn = cc.pop() {
		if !closedByPeer(cn.Conn) {
			return cn, true, nil
		}
		_ = cn.Close()
	}
	nc, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, false, err
	}
	er := &errorReader{Reader: nc}
	return &callConn{nc, er, bufio.NewReader(er)}, false, nil
}

// pop removes and returns the connection that was used last, or nil.
func (cc *callConns) pop() *callConn {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	last := len(cc.idle) - 1
	if last < 0 {
		return nil
	}
	cn := cc.idle[last]
	cc.idle = cc.idle[:last]
	return cn
}

// give returns a connection for the next call.
func (cc *callConns) give(cn *callConn) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.idle = append(cc.idle, cn)
}

// close closes the idle connections.
func (cc *callConns) close() {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	for _, cn := range cc.idle {
		_ = cn.Close()
	}
	cc.idle = nil
}

// call makes a call through the node beside the upstream and reports whether it succeeded.
func (up *Upstream) call(ctx context.Context, path string) bool {
	rc := up.ma.fl.Recorder
	timeout, own := up.ma.fl.timeout(path)
	sent := Sent{
		ID: RequestID(fmt.Sprintf("%s-call-%d", up.instance, up.calls.Add(1))), Node: up.ma.Name, Kind: Safe,
		Timeout: timeout, Path: path, Call: true,
	}
	if own > 0 {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, own)
		defer stop()
	}
	cn, kept, err := up.conns.take(ctx, up.ma.CallerAddress())
	if err != nil {
		return false
	}
	sent.Kept, sent.Begun = kept, rc.Now()
	if end, ok := ctx.Deadline(); ok {
		sent.Deadline = time.Until(end).Truncate(time.Millisecond)
	}
	sent.Crossed = closedByPeer(cn.Conn)
	unhook := context.AfterFunc(ctx, func() { _ = cn.SetDeadline(time.Unix(1, 0)) })
	_, err = fmt.Fprintf(cn, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n\r\n", path, routeHost, requestIDHeader, sent.ID,
		deadlineHeader, sent.Deadline.Milliseconds())
	sent.At = rc.Now()
	sent.Crossed = sent.Crossed || closedByPeer(cn.Conn)
	rc.Add(sent)
	var res *http.Response
	if err == nil {
		res, err = readCall(cn.br)
	}
	reusable := unhook() && err == nil && !res.Close
	if reusable {
		up.conns.give(cn)
	} else {
		_ = cn.Close()
	}
	switch {
	case err == nil:
		rc.Add(Answered{ID: sent.ID, At: rc.Now(), Status: res.StatusCode, Signed: res.Header.Get(signatureHeader) != ""})
	case ctx.Err() != nil:
		rc.Add(GaveUp{sent.ID, rc.Now()})
	default:
		err = cmp.Or(cn.er.err, err)
		rc.Add(Cut{sent.ID, rc.Now(), errors.Is(err, syscall.ECONNRESET), err.Error()})
	}
	return err == nil && res.StatusCode/100 == 2
}

// readCall reads an answer with its body, which it drops.
func readCall(br *bufio.Reader) (*http.Response, error) {
	res, err := http.ReadResponse(br, nil)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, res.Body)
	return res, err
}

// makeCalls makes the calls of a request, one after the other or all together, and reports whether all
// succeeded.
func (up *Upstream) makeCalls(ctx context.Context, paths []string, together bool) bool {
	if !together {
		for _, path := range paths {
			if !up.call(ctx, path) {
				return false
			}
		}
		return true
	}
	succeeded := make(chan bool, len(paths))
	for _, path := range paths {
		go func() { succeeded <- up.call(ctx, path) }()
	}
	all := true
	for range paths {
		all = <-succeeded && all
	}
	return all
}
