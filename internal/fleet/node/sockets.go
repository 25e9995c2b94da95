package node

import (
	"context"
	"net"
	"net/http"

	"camphortrail/internal/traffic/peer"
)

// SocketWrappers lets a measurement stand between a node and the sockets that it uses
// for control: the datagrams of the membership, its own calls to control
// replicas and peers, and the calls of others that its peer address takes. A
// nil function leaves the sockets as they are.
type SocketWrappers struct {
	WrapPacket func(net.PacketConn) net.PacketConn
	WrapStream func(net.Conn) net.Conn
}

func (so SocketWrappers) packet(conn net.PacketConn) net.PacketConn {
	if so.WrapPacket == nil {
		return conn
	}
	return so.WrapPacket(conn)
}

func (so SocketWrappers) listener(ln net.Listener) net.Listener {
	if so.WrapStream == nil {
		return ln
	}
	return &streamListener{Listener: ln, stream: so.WrapStream}
}

// transport returns the transport of the node's own calls for control. Its
// connections are opened by dial, or as package net does if dial is nil.
func (so SocketWrappers) transport(dial peer.DialFunc) http.RoundTripper {
	if so.WrapStream == nil {
		return peer.NewReconnectingTransport(dial)
	}
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	return peer.NewReconnectingTransport(func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return so.WrapStream(conn), nil
	})
}

// streamListener wraps each connection that it accepts.
type streamListener struct {
	net.Listener
	stream func(net.Conn) net.Conn
}

// Accept waits for the next connection.
func (sl *streamListener) Accept() (net.Conn, error) {
	conn, err := sl.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return sl.stream(conn), nil
}

// Revision returns the revision in force, or 0.
func (nd *Node) Revision() uint64 {
	revision, _ := nd.rollout.Current()
	return revision
}

// KnowsDraining reports whether the routing table knows that an upstream of
// the VM leaves.
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
