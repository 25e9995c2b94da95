package peer

import (
	"context"
	"net"
	"net/http"
	"time"

	"camphortrail/call"
	"camphortrail/withdrawal"
)

const (
	dialTimeout = 500 * time.Millisecond
	// pingTimeout and pingInterval find connections that went silent while
	// no attempt is on them.
	pingInterval = 5 * time.Second
	pingTimeout  = 2 * time.Second
	idleExpiry   = time.Minute
	// probeLife is the age from which a connection for questions is replaced.
	probeLife = 250 * time.Millisecond
)

// conn is one connection to a guard. Attempts share it as HTTP/2 streams.
type conn struct {
	id        withdrawal.ConnID
	vm        call.VM
	address   string
	transport *http.Transport
	suspect   bool
	opened    time.Time
}

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewTransport returns a transport for HTTP/2 without encryption between
// processes of the system.
func NewTransport() *http.Transport {
	return newTransport((&net.Dialer{Timeout: dialTimeout}).DialContext)
}

func newTransport(dial Dial) *http.Transport {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{
		DialContext:        dial,
		Protocols:          &protocols,
		DisableCompression: true,
		IdleConnTimeout:    idleExpiry,
		HTTP2:              &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: pingTimeout},
	}
}

// current returns the connection for new attempts to the VM, and makes one if
// there is none at the address.
func (pl *Pool) current(vm call.VM, address string) *conn {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	cn := pl.conns[vm]
	if cn != nil && !cn.suspect && cn.address == address {
		return cn
	}
	if cn != nil {
		cn.suspect = true
	}
	pl.nextConn++
	cn = &conn{id: pl.nextConn, vm: vm, address: address, transport: newTransport(pl.dial)}
	pl.conns[vm] = cn
	pl.all[cn.id] = cn
	return cn
}

// probe returns the connection for questions to the VM. It is new, or was so a
// moment ago, since an older one may have gone silent.
func (pl *Pool) probe(vm call.VM, address string) *conn {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	cn := pl.probes[vm]
	if cn != nil && cn.address == address && time.Since(cn.opened) < probeLife {
		return cn
	}
	if cn != nil {
		time.AfterFunc(queryTimeout, cn.transport.CloseIdleConnections)
	}
	cn = &conn{vm: vm, address: address, transport: newTransport(pl.dial), opened: time.Now()}
	pl.probes[vm] = cn
	return cn
}

// dropProbe makes the next question take a new connection.
func (pl *Pool) dropProbe(cn *conn) {
	pl.mu.Lock()
	if pl.probes[cn.vm] == cn {
		delete(pl.probes, cn.vm)
	}
	pl.mu.Unlock()
	cn.transport.CloseIdleConnections()
}

// markSuspect keeps new attempts off a connection.
func (pl *Pool) markSuspect(id withdrawal.ConnID) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	cn := pl.all[id]
	if cn == nil {
		return
	}
	cn.suspect = true
	if pl.conns[cn.vm] == cn {
		delete(pl.conns, cn.vm)
	}
}

// closeConn closes a connection that holds no more attempts.
func (pl *Pool) closeConn(id withdrawal.ConnID) {
	pl.mu.Lock()
	cn := pl.all[id]
	delete(pl.all, id)
	pl.mu.Unlock()
	if cn != nil {
		cn.transport.CloseIdleConnections()
	}
}

// Forget closes the connection to a VM that is gone.
func (pl *Pool) Forget(vm call.VM) {
	pl.mu.Lock()
	cn := pl.conns[vm]
	probe := pl.probes[vm]
	delete(pl.stamps, vm)
	pl.mu.Unlock()
	if probe != nil {
		pl.dropProbe(probe)
	}
	if cn != nil {
		pl.discard(cn)
	}
}

// discard closes a connection, and lets Suspicion ask for the attempts that it
// held.
func (pl *Pool) discard(cn *conn) {
	pl.markSuspect(cn.id)
	pl.closeConn(cn.id)
	pl.signal(withdrawal.Gone{Conn: cn.id})
}

// closeAll closes all connections.
func (pl *Pool) closeAll() {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	for _, cn := range pl.all {
		cn.transport.CloseIdleConnections()
	}
	for _, cn := range pl.probes {
		cn.transport.CloseIdleConnections()
	}
	clear(pl.all)
	clear(pl.probes)
	clear(pl.conns)
}
