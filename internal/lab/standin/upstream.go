// Package standin provides small upstreams and callers that stand in for real ones in
// demonstrations, measurements and tests. They use real HTTP on loopback, and record
// which work ran and which answers arrived.
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

// Call is a request that an upstream sends while it processes a received request of the
// same method whose path is From or below it. In the path of the call, From is replaced
// by To.
type Call struct {
	Method string
	From   string
	To     string
}

// UpstreamOptions describes an upstream.
type UpstreamOptions struct {
	Service call.Service
	// VM is the name of the upstream in the Recorder.
	VM string
	// Listen is the address to listen on; empty means a free loopback port.
	Listen string
	// Slots is the number of requests that run at the same time; others wait within
	// the upstream in the order of their arrival.
	Slots int
	// Connections and WarmUp are announced to the node.
	Connections int
	WarmUp      time.Duration
	// ServiceTime is the time for which a request holds its slot, in addition to its calls.
	ServiceTime time.Duration
	Calls       []Call
	// NodeURL is the base URL for calls, usually that of the node beside the upstream.
	NodeURL string
	// AnnounceURL is the base URL for announcements to the node beside the upstream;
	// empty means that the upstream does not announce itself.
	AnnounceURL string
	// AnswerBytes is the minimum size of the body of an answer.
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
	sleeper  sleeper

	serviceTime   atomic.Int64
	fault         atomic.Uint32
	faultInterval atomic.Uint64
	answered      atomic.Uint64
	running       atomic.Int64
	maxRunning    atomic.Int64
	waiting       atomic.Int64
	leaving       atomic.Bool
	done          chan struct{}
}

// maxIdleConns bounds the idle connections of an upstream or a caller to one host.
const maxIdleConns = 512

// NewUpstream returns an upstream whose address accepts connections. Requests are
// answered once Run is called.
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
			MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true,
		}},
		done: make(chan struct{}),
	}
	us.serviceTime.Store(int64(opt.ServiceTime))
	us.server = &http.Server{Handler: us, ReadHeaderTimeout: 10 * time.Second}
	return us, nil
}

// Address returns the address on which the upstream serves.
func (us *Upstream) Address() string { return us.listener.Addr().String() }

// SetServiceTime changes the time for which a request holds its slot, in addition to its
// calls.
func (us *Upstream) SetServiceTime(d time.Duration) { us.serviceTime.Store(int64(d)) }

// SetFault spoils one answer in every given number of answers; 0 or NoFault ends that.
func (us *Upstream) SetFault(ft Fault, every uint64) {
	us.fault.Store(uint32(ft))
	us.faultInterval.Store(every)
}

// Load returns the number of requests that hold a slot, its maximum so far, and the
// number of requests that wait for a slot.
func (us *Upstream) Load() (running, highest, waiting int) {
	return int(us.running.Load()), int(us.maxRunning.Load()), int(us.waiting.Load())
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

// target returns the path of the call that a request causes, and false if it causes none.
func (cl Call) target(method, path string) (string, bool) {
	rest, ok := strings.CutPrefix(path, cl.From)
	if !ok || method != cl.Method || (rest != "" && rest[0] != '/') {
		return "", false
	}
	return cl.To + rest, true
}
