package deployment

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"camphortrail/internal/fleet/node"
)

// partition simulates a network partition between one failure domain and all other
// processes. While it is active, data in either direction is dropped silently, on
// established connections too.
type partition struct {
	active atomic.Bool

	mu sync.Mutex
	// inside holds the peer addresses of the nodes in the failure domain.
	inside map[string]bool
}

// SetPartitioned starts or ends the partition of Options.PartitionDomain from all other
// processes.
func (dp *Deployment) SetPartitioned(active bool) { dp.partition.active.Store(active) }

// addInside records that the process at an address is in the failure domain.
func (pa *partition) addInside(address string) {
	pa.mu.Lock()
	defer pa.mu.Unlock()
	pa.inside[address] = true
}

// drops reports whether the partition is active and separates a process, which is inside
// the failure domain or not, from the process at an address.
func (pa *partition) drops(inside bool, address string) bool {
	if !pa.active.Load() {
		return false
	}
	pa.mu.Lock()
	defer pa.mu.Unlock()
	return pa.inside[address] != inside
}

// wrapSockets makes the node's connections and datagrams subject to the partition. Dials
// across an active partition block until their context ends.
func (pa *partition) wrapSockets(inside bool, opt *node.Options) {
	dial := opt.Dial
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	opt.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		if pa.drops(inside, address) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &partitionedConn{Conn: conn, partition: pa, inside: inside, address: address}, nil
	}
	packet := opt.SocketWrappers.WrapPacket
	opt.SocketWrappers.WrapPacket = func(conn net.PacketConn) net.PacketConn {
		if packet != nil {
			conn = packet(conn)
		}
		return &partitionedPacketConn{PacketConn: conn, partition: pa, inside: inside}
	}
}

// partitionedConn is a connection whose data is dropped while the partition separates its
// ends.
type partitionedConn struct {
	net.Conn
	partition *partition
	inside    bool
	address   string
}

// Write sends data, or drops it and reports success.
func (pc *partitionedConn) Write(data []byte) (int, error) {
	if pc.partition.drops(pc.inside, pc.address) {
		return len(data), nil
	}
	return pc.Conn.Write(data)
}

// Read returns the data that arrives while the partition does not separate the ends.
func (pc *partitionedConn) Read(data []byte) (int, error) {
	for {
		n, err := pc.Conn.Read(data)
		if err != nil || !pc.partition.drops(pc.inside, pc.address) {
			return n, err
		}
	}
}

// partitionedPacketConn drops datagrams to and from addresses on the other side of the
// partition.
type partitionedPacketConn struct {
	net.PacketConn
	partition *partition
	inside    bool
}

// WriteTo sends a datagram, or drops it and reports success.
func (pp *partitionedPacketConn) WriteTo(data []byte, to net.Addr) (int, error) {
	if pp.partition.drops(pp.inside, to.String()) {
		return len(data), nil
	}
	return pp.PacketConn.WriteTo(data, to)
}

// ReadFrom returns the next datagram that the partition does not drop.
func (pp *partitionedPacketConn) ReadFrom(data []byte) (int, net.Addr, error) {
	for {
		n, from, err := pp.PacketConn.ReadFrom(data)
		if err != nil || !pp.partition.drops(pp.inside, from.String()) {
			return n, from, err
		}
	}
}
