package measure

import (
	"net"
	"sync/atomic"

	"camphortrail/internal/fleet/node"
)

// traffic counts what nodes send for control, at their sockets: datagrams
// with their headers of IP and UDP, and the payload of TCP.
type traffic struct{ udp, tcp atomic.Int64 }

const datagramHeaderBytes = 28

// sent is a reading of a traffic.
type sent struct{ udp, tcp int64 }

func (tf *traffic) read() sent { return sent{udp: tf.udp.Load(), tcp: tf.tcp.Load()} }

func (tf *traffic) sockets() node.SocketWrappers {
	return node.SocketWrappers{
		WrapPacket: func(conn net.PacketConn) net.PacketConn { return &countedPackets{conn, &tf.udp} },
		WrapStream: func(conn net.Conn) net.Conn { return &countedStream{conn, &tf.tcp} },
	}
}

type countedPackets struct {
	net.PacketConn
	count *atomic.Int64
}

// WriteTo sends a datagram and counts its bytes.
func (cp *countedPackets) WriteTo(data []byte, to net.Addr) (int, error) {
	n, err := cp.PacketConn.WriteTo(data, to)
	cp.count.Add(int64(n) + datagramHeaderBytes)
	return n, err
}

type countedStream struct {
	net.Conn
	count *atomic.Int64
}

// Write sends data and counts its bytes.
func (cs *countedStream) Write(data []byte) (int, error) {
	n, err := cs.Conn.Write(data)
	cs.count.Add(int64(n))
	return n, err
}
