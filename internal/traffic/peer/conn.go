package peer

import (
	"net"
	"net/http"
	"time"

	"camphortrail/call"
	"camphortrail/internal/traffic/link"
	"camphortrail/withdrawal"
)

const (
	dialTimeout = 500 * time.Millisecond
	// pingTimeout and pingInterval find connections for calls that went silent
	// while no call is on them.
	pingInterval = 5 * time.Second
	pingTimeout  = 2 * time.Second
	// idleExpiry is the time after which a connection that is not used is
	// closed.
	idleExpiry = time.Minute
	// probeLife is the age from which a connection for questions is replaced.
	probeLife = 250 * time.Millisecond
)

// conn is one connection to a guard, which attempts share.
type conn struct {
	id      withdrawal.ConnID
	vm      call.VM
	address string
	link    *link.Link
	suspect bool
	// holds is the number of attempts that wait for their answers on it.
	holds int
}

// probe is a connection for questions to a guard.
type probe struct {
	vm        call.VM
	address   string
	transport *http.Transport
	opened    time.Time
}

// DialFunc opens a connection.
type DialFunc = link.DialFunc

// NewTransport returns a transport for HTTP/2 without encryption between
// processes of the system.
func NewTransport() *http.Transport {
	return newTransport((&net.Dialer{Timeout: dialTimeout}).DialContext)
}

func newTransport(dial DialFunc) *http.Transport {
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

// enroll puts an attempt on the connection for new ones to the VM, and makes one
// if there is none at the address.
func (pl *Pool) enroll(vm call.VM, address string, id call.AttemptID, pe *pending) *conn {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	cn := pl.usable(vm, address)
	pe.conn = cn
	cn.holds++
	pl.pending[id] = pe
	return cn
}

// linkTo returns the link for new attempts to the VM.
func (pl *Pool) linkTo(vm call.VM, address string) *link.Link {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	return pl.usable(vm, address).link
}

// usable returns the connection for new attempts to the VM, and makes one if there
// is none at the address. The lock is held.
func (pl *Pool) usable(vm call.VM, address string) *conn {
	cn := pl.conns[vm]
	if cn == nil || cn.suspect || cn.address != address {
		if cn != nil {
			cn.suspect = true
		}
		cn = pl.open(vm, address)
	}
	return cn
}

// open makes a connection. The lock is held.
func (pl *Pool) open(vm call.VM, address string) *conn {
	pl.nextConn++
	cn := &conn{id: pl.nextConn, vm: vm, address: address, link: link.Open(pl.dial, address)}
	pl.conns[vm] = cn
	pl.all[cn.id] = cn
	go pl.receive(cn)
	return cn
}

// retire forgets a connection that is not used, and reports whether it did.
func (pl *Pool) retire(cn *conn) bool {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if cn.holds > 0 {
		return false
	}
	delete(pl.all, cn.id)
	if pl.conns[cn.vm] == cn {
		delete(pl.conns, cn.vm)
	}
	cn.link.Close()
	return true
}

// probe returns the connection for questions to the VM. It is new, or was so a
// moment ago, since an older one may have gone silent.
func (pl *Pool) probe(vm call.VM, address string) *probe {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pb := pl.probes[vm]
	if pb != nil && pb.address == address && time.Since(pb.opened) < probeLife {
		return pb
	}
	if pb != nil {
		time.AfterFunc(queryTimeout, pb.transport.CloseIdleConnections)
	}
	pb = &probe{vm: vm, address: address, transport: newTransport(pl.dial), opened: time.Now()}
	pl.probes[vm] = pb
	return pb
}

// dropProbe makes the next question take a new connection.
func (pl *Pool) dropProbe(pb *probe) {
	pl.mu.Lock()
	if pl.probes[pb.vm] == pb {
		delete(pl.probes, pb.vm)
	}
	pl.mu.Unlock()
	pb.transport.CloseIdleConnections()
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
		cn.link.Close()
	}
}

// Forget closes the connection to a VM that is gone.
func (pl *Pool) Forget(vm call.VM) {
	pl.mu.Lock()
	cn := pl.conns[vm]
	pb := pl.probes[vm]
	delete(pl.stamps, vm)
	pl.mu.Unlock()
	if pb != nil {
		pl.dropProbe(pb)
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
	pl.signal(withdrawal.ConnClosed{Conn: cn.id})
}

// closeAll closes all connections.
func (pl *Pool) closeAll() {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	for _, cn := range pl.all {
		cn.link.Close()
	}
	for _, pb := range pl.probes {
		pb.transport.CloseIdleConnections()
	}
	clear(pl.all)
	clear(pl.probes)
	clear(pl.conns)
}
