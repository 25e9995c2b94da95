package deployment

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"camphortrail/internal/fleet/node"
)

// cut separates the VMs of one failure domain from all other processes. What
// crosses it is swallowed, on established connections too.
type cut struct {
	active atomic.Bool

	mu     sync.Mutex
	inside map[string]bool
}

// SetPartitioned cuts the failure domain Options.Cuttable off, or heals the cut.
func (dp *Deployment) SetPartitioned(active bool) { dp.cut.active.Store(active) }

// add says that the process at an address is inside.
func (cu *cut) add(address string) {
	cu.mu.Lock()
	defer cu.mu.Unlock()
	cu.inside[address] = true
}

// crosses reports whether a message between the given side and an address is
// swallowed at present.
func (cu *cut) crosses(inside bool, address string) bool {
	if !cu.active.Load() {
		return false
	}
	cu.mu.Lock()
	defer cu.mu.Unlock()
	return cu.inside[address] != inside
}

// options make a node's sockets subject to the cut.
func (cu *cut) options(inside bool, opt *node.Options) {
	dial := opt.Dial
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	opt.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		if cu.crosses(inside, address) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &cutStream{Conn: conn, cut: cu, inside: inside, address: address}, nil
	}
	packet := opt.SocketWrappers.WrapPacket
	opt.SocketWrappers.WrapPacket = func(conn net.PacketConn) net.PacketConn {
		if packet != nil {
			conn = packet(conn)
		}
		return &cutPackets{PacketConn: conn, cut: cu, inside: inside}
	}
}

// cutStream is a connection that may cross the cut.
type cutStream struct {
	net.Conn
	cut     *cut
	inside  bool
	address string
}

// Write sends data, or swallows it.
func (cs *cutStream) Write(data []byte) (int, error) {
	if cs.cut.crosses(cs.inside, cs.address) {
		return len(data), nil
	}
	return cs.Conn.Write(data)
}

// Read returns what arrives and is not swallowed.
func (cs *cutStream) Read(data []byte) (int, error) {
	for {
		n, err := cs.Conn.Read(data)
		if err != nil || !cs.cut.crosses(cs.inside, cs.address) {
			return n, err
		}
	}
}

// cutPackets are datagrams that may cross the cut.
type cutPackets struct {
	net.PacketConn
	cut    *cut
	inside bool
}

// WriteTo sends a datagram, or swallows it.
func (cp *cutPackets) WriteTo(data []byte, to net.Addr) (int, error) {
	if cp.cut.crosses(cp.inside, to.String()) {
		return len(data), nil
	}
	return cp.PacketConn.WriteTo(data, to)
}

// ReadFrom returns a datagram that is not swallowed.
func (cp *cutPackets) ReadFrom(data []byte) (int, net.Addr, error) {
	for {
		n, from, err := cp.PacketConn.ReadFrom(data)
		if err != nil || !cp.cut.crosses(cp.inside, from.String()) {
			return n, from, err
		}
	}
}
