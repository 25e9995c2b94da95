package standin

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// Dialer opens connections that Silence can make drop data without an error, as when a
// firewall or a load balancer between two processes has lost the state of a connection.
// The zero Dialer is ready to use, and safe for concurrent use.
type Dialer struct {
	mu sync.Mutex
	// conns holds the connections that are not silenced yet.
	conns []*silenceableConn
}

// silenceableConn is a connection that can drop data in either direction.
type silenceableConn struct {
	net.Conn
	discardReads, discardWrites atomic.Bool
	closed                      chan struct{}
	once                        sync.Once
}

// Dial opens a connection, which later calls of Silence affect.
func (dl *Dialer) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	sc := &silenceableConn{Conn: conn, closed: make(chan struct{})}
	dl.mu.Lock()
	defer dl.mu.Unlock()
	dl.conns = append(dl.conns, sc)
	return sc, nil
}

// Silence makes the connections opened since the last call drop the data that is sent,
// the data that is received, or both, until they are closed. It returns their number.
func (dl *Dialer) Silence(sent, received bool) int {
	dl.mu.Lock()
	defer dl.mu.Unlock()
	for _, sc := range dl.conns {
		sc.discardWrites.Store(sent)
		sc.discardReads.Store(received)
	}
	count := len(dl.conns)
	dl.conns = nil
	return count
}

// Write sends data. On a connection that drops sent data it reports success.
func (sc *silenceableConn) Write(data []byte) (int, error) {
	if sc.discardWrites.Load() {
		return len(data), nil
	}
	return sc.Conn.Write(data)
}

// Read returns data that arrives. On a connection that drops received data it blocks
// until Close, even when the peer closes the connection.
func (sc *silenceableConn) Read(data []byte) (int, error) {
	n, err := sc.Conn.Read(data)
	if sc.discardReads.Load() {
		<-sc.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Close closes the connection.
func (sc *silenceableConn) Close() error {
	sc.once.Do(func() { close(sc.closed) })
	return sc.Conn.Close()
}
