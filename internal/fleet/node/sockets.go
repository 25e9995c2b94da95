package node

import (
	"context"
	"net"

	"camphortrail/internal/traffic/peer"
)

// SocketWrappers wraps the sockets that a node uses for control, so that a measurement
// can count or change their traffic. WrapPacket wraps the UDP socket of the membership.
// WrapStream wraps the connections of the node's own calls to control replicas and peers,
// and those that its peer address accepts. A nil function wraps nothing.
type SocketWrappers struct {
	WrapPacket func(net.PacketConn) net.PacketConn
	WrapStream func(net.Conn) net.Conn
}

// packetConn returns conn, wrapped if WrapPacket is set.
func (sw SocketWrappers) packetConn(conn net.PacketConn) net.PacketConn {
	if sw.WrapPacket == nil {
		return conn
	}
	return sw.WrapPacket(conn)
}

// listener returns ln, and wraps the connections that it accepts if WrapStream is set.
func (sw SocketWrappers) listener(ln net.Listener) net.Listener {
	if sw.WrapStream == nil {
		return ln
	}
	return &wrappingListener{Listener: ln, wrap: sw.WrapStream}
}

// dialFunc returns dial, or that of a net.Dialer if dial is nil, and wraps the connections if
// WrapStream is set. It returns nil if both are nil.
func (sw SocketWrappers) dialFunc(dial peer.DialFunc) peer.DialFunc {
	if sw.WrapStream == nil {
		return dial
	}
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return sw.WrapStream(conn), nil
	}
}

// wrappingListener wraps each connection that it accepts.
type wrappingListener struct {
	net.Listener
	wrap func(net.Conn) net.Conn
}

// Accept waits for the next connection and returns it wrapped.
func (wl *wrappingListener) Accept() (net.Conn, error) {
	conn, err := wl.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return wl.wrap(conn), nil
}

// Revision returns the revision of the configuration in force, or 0 if there is none.
func (nd *Node) Revision() uint64 {
	revision, _ := nd.rollout.Current()
	return revision
}

// KnowsDraining reports whether the routing table has an upstream of the VM that is
// draining.
func (nd *Node) KnowsDraining(vm string) bool {
	for _, entries := range nd.entry.RoutingTable() {
		for _, en := range entries {
			if string(en.VM) == vm && en.Draining {
				return true
			}
		}
	}
	return false
}
