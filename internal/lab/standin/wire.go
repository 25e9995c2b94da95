package standin

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// Dialer open connections that can go silent: what is sent on them vanishes, or
// nothing arrives from them any more. They stand in for something between two
// processes that has lost track of a connection. The zero Dialer is ready to
// use, and safe for concurrent use.
type Dialer struct {
	mu   sync.Mutex
	list []*wire
}

// wire is one connection.
type wire struct {
	net.Conn
	deaf, mute atomic.Bool
	closed     chan struct{}
	once       sync.Once
}

// Dial opens a connection.
func (ws *Dialer) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	wr := &wire{Conn: conn, closed: make(chan struct{})}
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.list = append(ws.list, wr)
	return wr, nil
}

// Silence makes the connections opened so far swallow what is sent on them,
// what arrives from them, or both, for good. It returns their number.
func (ws *Dialer) Silence(sent, received bool) int {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	for _, wr := range ws.list {
		wr.mute.Store(sent)
		wr.deaf.Store(received)
	}
	count := len(ws.list)
	ws.list = nil
	return count
}

// Write sends data, or swallows it.
func (wr *wire) Write(data []byte) (int, error) {
	if wr.mute.Load() {
		return len(data), nil
	}
	return wr.Conn.Write(data)
}

// Read returns what arrives. A silent connection does not even end.
func (wr *wire) Read(data []byte) (int, error) {
	n, err := wr.Conn.Read(data)
	if wr.deaf.Load() {
		<-wr.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Close closes the connection.
func (wr *wire) Close() error {
	wr.once.Do(func() { close(wr.closed) })
	return wr.Conn.Close()
}
