// Package standin provides small upstreams and callers that stand in for real
// ones in demonstrations, measurements and tests. They talk real HTTP on
// loopback and record what really ran and what really arrived.
package standin

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"camphortrail/call"

	"github.com/pkg/errors"
)

// Call is a request that an upstream makes before it answers one that it
// received. The path prefix From of the request received becomes To.
type Call struct {
	Method string
	From   string
	To     string
}

// UpstreamOptions describes an upstream.
type UpstreamOptions struct {
	Service call.Service
	// VM names the upstream in records.
	VM string
	// Listen is the address to listen on; empty means a free loopback port.
	Listen string
	// Slots is the number of requests that run at once; others wait within
	// the upstream in the order of their arrival.
	Slots       int
	Connections int
	WarmUp      time.Duration
	// ServiceTime is the time for which one request holds its slot, without calls.
	ServiceTime time.Duration
	Calls       []Call
	// NodeURL is the base URL for calls, usually the node beside the upstream.
	NodeURL string
	// AnnounceURL is the base URL for announcements to the node beside the
	// upstream; empty means that the upstream does not announce itself.
	AnnounceURL string
	// AnswerBytes is the least size of an answer's body.
	AnswerBytes int
	Recorder    *Recorder
}

// Upstream is a small HTTP server with a bounded number of slots.
type Upstream struct {
	opt      UpstreamOptions
	listener net.Listener
	server   *http.Server
	client   *http.Client
	slots    chan struct{}
	pacer    pacer

	work    atomic.Int64
	fault   atomic.Uint32
	every   atomic.Uint64
	served  atomic.Uint64
	running atomic.Int64
	highest atomic.Int64
	waiting atomic.Int64
	leaving atomic.Bool
	done    chan struct{}
}

// idleConnections bounds the idle connections that an upstream keeps to its
// node.
const idleConnections = 512

// NewUpstream returns an upstream that already accepts connections, but
// answers them only within Run.
func NewUpstream(opt UpstreamOptions) (*Upstream, error) {
	if opt.Listen == "" {
		opt.Listen = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", opt.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "stand-in upstream")
	}
	us := &Upstream{
		opt:      opt,
		listener: listener,
		slots:    make(chan struct{}, opt.Slots),
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: idleConnections, DisableCompression: true,
		}},
		done: make(chan struct{}),
	}
	us.work.Store(int64(opt.ServiceTime))
	us.server = &http.Server{Handler: us, ReadHeaderTimeout: 10 * time.Second}
	return us, nil
}

// Address returns the address on which the upstream serves.
func (us *Upstream) Address() string { return us.listener.Addr().String() }

// SetServiceTime changes the time for which a request holds its slot.
func (us *Upstream) SetServiceTime(d time.Duration) { us.work.Store(int64(d)) }

// SetFault makes each request of the given count fail; 0 or NoFault ends it.
func (us *Upstream) SetFault(ft Fault, every uint64) {
	us.fault.Store(uint32(ft))
	us.every.Store(every)
}

// Load returns the requests that hold a slot, the highest number that ever
// did at once, and those that wait within the upstream.
func (us *Upstream) Load() (running, highest, waiting int) {
	return int(us.running.Load()), int(us.highest.Load()), int(us.waiting.Load())
}

// Run serves and announces the upstream until ctx ends, and then closes all
// connections.
func (us *Upstream) Run(ctx context.Context) error {
	defer close(us.done)
	announcing, stop := context.WithCancel(ctx)
	announced := make(chan struct{})
	go func() {
		defer close(announced)
		us.announce(announcing)
	}()
	closed := context.AfterFunc(ctx, func() { _ = us.server.Close() })
	err := us.server.Serve(us.listener)
	closed()
	stop()
	<-announced
	us.client.CloseIdleConnections()
	if ctx.Err() != nil || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "stand-in upstream")
}

// target returns the path of the call that a request leads to.
func (cl Call) target(method, path string) (string, bool) {
	rest, ok := strings.CutPrefix(path, cl.From)
	if !ok || method != cl.Method || (rest != "" && rest[0] != '/') {
		return "", false
	}
	return cl.To + rest, true
}
