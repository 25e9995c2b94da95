package control

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"

	"camphortrail/quorum"
)

// maxFailedCalls is far above the one or two calls that fail on each silent
// connection, and below the number of streams after which HTTP/2 gives up a
// connection by itself.
const maxFailedCalls = 200

// muteConns are connections that can go silent: what is written to them
// vanishes, and nothing comes from them.
type muteConns struct {
	mu    sync.Mutex
	conns []*muteConn
}

type muteConn struct {
	net.Conn
	muted  chan struct{}
	closed chan struct{}
	once   sync.Once
}

func (mc *muteConns) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	mu := &muteConn{Conn: conn, muted: make(chan struct{}), closed: make(chan struct{})}
	mc.mu.Lock()
	defer mc.mu.Unlock()
	mc.conns = append(mc.conns, mu)
	return mu, nil
}

// muteAll makes the connections of now go silent, but not later ones.
func (mc *muteConns) muteAll() int {
	mc.mu.Lock()
	defer mc.mu.Unlock()
	count := len(mc.conns)
	for _, mu := range mc.conns {
		close(mu.muted)
	}
	mc.conns = nil
	return count
}

func (mu *muteConn) Write(data []byte) (int, error) {
	select {
	case <-mu.muted:
		return len(data), nil
	default:
		return mu.Conn.Write(data)
	}
}

func (mu *muteConn) Read(data []byte) (int, error) {
	n, err := mu.Conn.Read(data)
	select {
	case <-mu.muted:
		<-mu.closed
		return 0, net.ErrClosed
	default:
		return n, err
	}
}

func (mu *muteConn) Close() error {
	mu.once.Do(func() { close(mu.closed) })
	return mu.Conn.Close()
}

// TestSilentConnectionsAreReplaced makes all connections between the replicas
// go silent for good. Pings and the idle timeout are off, so that only the
// senders can notice.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	t.Parallel()
	mc := new(muteConns)
	fl := newFleetWith(t, 3, Options{dial: mc.dial, wrap: func(_ quorum.Replica, rt http.RoundTripper) http.RoundTripper {
		transport := rt.(*http.Transport)
		transport.HTTP2, transport.IdleConnTimeout = nil, 0
		return transport
	}})
	for version := uint64(1); version <= 3; version++ {
		fl.mustAccept(configuration(version, "cassa"))
		if mc.muteAll() == 0 {
			t.Fatal("no connection to make silent")
		}
	}
	fl.mustAccept(configuration(4, "cassa"))
	failed := uint64(0)
	for _, co := range fl.controls {
		failed += co.measures.failed.Get()
	}
	if failed > maxFailedCalls {
		t.Fatalf("%d calls failed, want at most %d", failed, maxFailedCalls)
	}
}
