package peer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"camphortrail/call"
	"camphortrail/internal/traffic/link"
	"camphortrail/withdrawal"
)

const (
	// dialTimeout bounds the time to establish a TCP connection.
	dialTimeout = 500 * time.Millisecond
	// pingInterval and pingTimeout detect HTTP/2 connections that stop delivering data
	// while no call uses them.
	pingInterval = 5 * time.Second
	pingTimeout  = 2 * time.Second
	// idleTimeout is the time after which an unused connection is closed.
	idleTimeout = time.Minute
	// queryConnMaxAge is the age at which a connection for queries is replaced. It is
	// short, because the attempt's connection may have stopped delivering data, and an old
	// connection for queries may have stopped at the same time.
	queryConnMaxAge = 250 * time.Millisecond
	// maxHeadBytes bounds the head of a response, and maxMessageBytes a message in it: a
	// recorded answer, whose body has 64 MiB at most.
	maxHeadBytes    = 16 << 10
	maxMessageBytes = 80 << 20
)

// conn is one connection to a guard. Many attempts share it.
type conn struct {
	id      withdrawal.ConnID
	vm      call.VM
	address string
	link    *link.Link
	opened  time.Time
	// suspect is true when the connection takes no new attempts.
	suspect bool
	// unused is true when the connection was closed because nothing used it.
	unused bool
	// numPending is the number of attempts on the connection that have no answer yet.
	numPending int
	// greeted is closed when the guard has sent its stamp or the link has ended.
	greeted  chan struct{}
	greeting sync.Once
}

// setGreeted records that the guard has sent its stamp or that the link has ended.
func (cn *conn) setGreeted() { cn.greeting.Do(func() { close(cn.greeted) }) }

// queryConn is a connection for queries to a guard.
type queryConn struct {
	vm        call.VM
	address   string
	transport *http.Transport
	opened    time.Time
}

// DialFunc opens a connection, with the arguments of net.Dialer.DialContext.
type DialFunc = link.DialFunc

// NewTransport returns a transport for unencrypted HTTP/2 between processes of the system.
func NewTransport() *http.Transport {
	return newTransport((&net.Dialer{Timeout: dialTimeout}).DialContext)
}

// NewSingleUseTransport returns a transport that opens a connection for each request, with dial or
// with a net.Dialer if dial is nil. A connection that was kept may have stopped delivering data,
// which only a timeout tells.
func NewSingleUseTransport(dial DialFunc) *http.Transport {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes}
}

func newTransport(dial DialFunc) *http.Transport {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{
		DialContext:        dial,
		Protocols:          &protocols,
		DisableCompression: true,
		IdleConnTimeout:    idleTimeout,
		// Another process than a node may be at the address.
		MaxResponseHeaderBytes: maxHeadBytes,
		HTTP2:                  &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: pingTimeout},
	}
}

// register adds a pending attempt and assigns it to the current connection to the VM,
// which it returns.
func (pl *Pool) register(vm call.VM, address string, id call.AttemptID, pa *pendingAttempt) *conn {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	cn := pl.currentConn(vm, address)
	pa.conn = cn
	cn.numPending++
	pl.pending[id] = pa
	return cn
}

// connTo returns the current connection to the VM.
func (pl *Pool) connTo(vm call.VM, address string) *conn {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	return pl.currentConn(vm, address)
}

// currentConn returns the connection for new attempts to the VM. It opens one if there is
// none, if the existing one is suspect, or if the VM's address has changed. pl.mu must be
// held.
func (pl *Pool) currentConn(vm call.VM, address string) *conn {
	cn := pl.connsByVM[vm]
	if cn == nil || cn.suspect || cn.address != address {
		if cn != nil {
			cn.suspect = true
		}
		cn = pl.openConn(vm, address)
	}
	return cn
}

// openConn opens a connection for new attempts to the VM. pl.mu must be held.
func (pl *Pool) openConn(vm call.VM, address string) *conn {
	pl.lastConnID++
	cn := &conn{id: pl.lastConnID, vm: vm, address: address, link: link.Open(pl.dial, address), opened: time.Now(), greeted: make(chan struct{})}
	cn.link.SetQuota(pl.quota)
	pl.connsByVM[vm] = cn
	pl.connsByID[cn.id] = cn
	go pl.readFrames(cn)
	return cn
}

// closeIfUnused closes and removes a connection without pending attempts, and reports
// whether it did.
func (pl *Pool) closeIfUnused(cn *conn) bool {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if cn.numPending > 0 {
		return false
	}
	delete(pl.connsByID, cn.id)
	if pl.connsByVM[cn.vm] == cn {
		delete(pl.connsByVM, cn.vm)
	}
	cn.unused = true
	cn.link.Close()
	return true
}

// wasUnused reports whether closeIfUnused has closed a connection.
func (pl *Pool) wasUnused(cn *conn) bool {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	return cn.unused
}

// queryConnTo returns the connection for queries to the VM. It is younger than
// queryConnMaxAge, because an older one may have stopped delivering data.
func (pl *Pool) queryConnTo(vm call.VM, address string) *queryConn {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	qc := pl.queryConns[vm]
	if qc != nil && qc.address == address && time.Since(qc.opened) < queryConnMaxAge {
		return qc
	}
	if qc != nil {
		// After queryTimeout no query uses the old connection any more.
		time.AfterFunc(queryTimeout, qc.transport.CloseIdleConnections)
	}
	qc = &queryConn{vm: vm, address: address, transport: newTransport(pl.dial), opened: time.Now()}
	pl.queryConns[vm] = qc
	return qc
}

// discardQueryConn makes the next query use a new connection.
func (pl *Pool) discardQueryConn(qc *queryConn) {
	pl.mu.Lock()
	if pl.queryConns[qc.vm] == qc {
		delete(pl.queryConns, qc.vm)
	}
	pl.mu.Unlock()
	qc.transport.CloseIdleConnections()
}

// markSuspect stops the use of a connection for new attempts.
func (pl *Pool) markSuspect(id withdrawal.ConnID) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	cn := pl.connsByID[id]
	if cn == nil {
		return
	}
	cn.suspect = true
	if pl.connsByVM[cn.vm] == cn {
		delete(pl.connsByVM, cn.vm)
	}
}

// closeConn closes and removes a connection.
func (pl *Pool) closeConn(id withdrawal.ConnID) {
	pl.mu.Lock()
	cn := pl.connsByID[id]
	delete(pl.connsByID, id)
	pl.mu.Unlock()
	if cn != nil {
		cn.link.Close()
	}
}

// shutDownConn closes and removes a connection whose attempts have ended, once its last frames are
// written: they may cancel attempts.
func (pl *Pool) shutDownConn(ctx context.Context, id withdrawal.ConnID) {
	pl.mu.Lock()
	cn := pl.connsByID[id]
	delete(pl.connsByID, id)
	pl.mu.Unlock()
	if cn == nil {
		return
	}
	go func() {
		ctx, stop := context.WithTimeout(ctx, lastFramesTime)
		defer stop()
		cn.link.Shutdown(ctx)
	}()
}

// Forget stops the use of the current connections to a VM that left the membership, and deletes its
// stamp. Attempts on them go on, since a VM that was only silent may still run them.
func (pl *Pool) Forget(vm call.VM) {
	pl.mu.Lock()
	cn := pl.connsByVM[vm]
	qc := pl.queryConns[vm]
	delete(pl.stamps, vm)
	pl.mu.Unlock()
	if qc != nil {
		pl.discardQueryConn(qc)
	}
	if cn == nil || pl.closeIfUnused(cn) {
		return
	}
	pl.markSuspect(cn.id)
	pl.signal(withdrawal.ConnDoubted{Conn: cn.id})
}

// discard closes a connection and makes the failure detector query the state of the
// attempts on it.
func (pl *Pool) discard(cn *conn) {
	pl.markSuspect(cn.id)
	pl.closeConn(cn.id)
	pl.signal(withdrawal.ConnClosed{Conn: cn.id})
}

// closeAll closes all connections.
func (pl *Pool) closeAll() {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	for _, cn := range pl.connsByID {
		cn.link.Close()
	}
	for _, qc := range pl.queryConns {
		qc.transport.CloseIdleConnections()
	}
	clear(pl.connsByID)
	clear(pl.queryConns)
	clear(pl.connsByVM)
}
