package measure

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const relayDialTimeout = time.Second

// ErrNoConnection is returned when there is no connection between nodes that
// could go silent.
var ErrNoConnection = errors.New("measure: no connection goes through a relay")

// relay passes TCP connections on to one address. It stands in for the network
// between two processes.
type relay struct {
	target   string
	listener net.Listener
	done     sync.WaitGroup

	mu    sync.Mutex
	pipes map[*pipe]bool
}

// pipe is one connection through a relay.
type pipe struct {
	near, far net.Conn
	// silent makes both directions swallow what arrives.
	silent atomic.Bool
}

func newRelay(target string) (*relay, error) {
	listener, err := net.Listen("tcp", anyPort)
	if err != nil {
		return nil, errors.Wrap(err, "relay")
	}
	rl := &relay{target: target, listener: listener, pipes: make(map[*pipe]bool)}
	rl.done.Go(rl.accept)
	return rl, nil
}

func (rl *relay) address() string { return rl.listener.Addr().String() }

func (rl *relay) accept() {
	for {
		near, err := rl.listener.Accept()
		if err != nil {
			return
		}
		rl.done.Go(func() { rl.join(near) })
	}
}

// join connects to the target and copies both ways until both ends close.
func (rl *relay) join(near net.Conn) {
	defer near.Close()
	far, err := net.DialTimeout("tcp", rl.target, relayDialTimeout)
	if err != nil {
		return
	}
	defer far.Close()
	pp := &pipe{near: near, far: far}
	rl.mu.Lock()
	rl.pipes[pp] = true
	rl.mu.Unlock()
	var ways sync.WaitGroup
	ways.Go(func() { pp.copy(far, near) })
	ways.Go(func() { pp.copy(near, far) })
	ways.Wait()
	rl.mu.Lock()
	delete(rl.pipes, pp)
	rl.mu.Unlock()
}

// copy passes bytes on from src to dst. A silent pipe reads and drops them,
// and hides the end of either side from the other.
func (pp *pipe) copy(dst, src net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if pp.silent.Load() {
			if err != nil {
				return
			}
			continue
		}
		if _, failed := dst.Write(buf[:n]); failed != nil || err != nil {
			_ = dst.Close()
			return
		}
	}
}

// silence makes all present connections go silent, and returns their number.
// Later ones work.
func (rl *relay) silence() int {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	for pp := range rl.pipes {
		pp.silent.Store(true)
	}
	return len(rl.pipes)
}

func (rl *relay) close() {
	_ = rl.listener.Close()
	rl.mu.Lock()
	for pp := range rl.pipes {
		_ = pp.near.Close()
		_ = pp.far.Close()
	}
	rl.mu.Unlock()
	rl.done.Wait()
}

// relays holds the relays of a fleet.
type relays struct {
	mu   sync.Mutex
	list []*relay
}

func newRelays() *relays { return &relays{} }

// to returns the address of a relay to the target.
func (rs *relays) to(target string) (string, error) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	for _, rl := range rs.list {
		if rl.target == target {
			return rl.address(), nil
		}
	}
	rl, err := newRelay(target)
	if err != nil {
		return "", err
	}
	rs.list = append(rs.list, rl)
	return rl.address(), nil
}

// dial connects to the target through its relay.
func (rs *relays) dial(ctx context.Context, network, target string) (net.Conn, error) {
	address, err := rs.to(target)
	if err != nil {
		return nil, err
	}
	dialer := net.Dialer{Timeout: relayDialTimeout}
	return dialer.DialContext(ctx, network, address)
}

// silence makes all connections that go through relays now go silent. It
// returns ErrNoConnection if there is none.
func (rs *relays) silence() error {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	count := 0
	for _, rl := range rs.list {
		count += rl.silence()
	}
	if count == 0 {
		return ErrNoConnection
	}
	return nil
}

func (rs *relays) close() {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	for _, rl := range rs.list {
		rl.close()
	}
}
