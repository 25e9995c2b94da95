package measure

import (
	"net"
	"sync/atomic"

	"camphortrail/internal/fleet/node"
)

// controlTraffic counts the bytes that nodes send at their sockets for control: datagrams
// with their IP and UDP headers, and TCP payload without headers.
type controlTraffic struct{ udp, tcp atomic.Int64 }

// datagramHeaderBytes is the size of an IPv4 and a UDP header.
const datagramHeaderBytes = 28

// sentBytes is a reading of the counters of controlTraffic.
type sentBytes struct{ udp, tcp int64 }

// read returns the bytes sent so far.
func (ct *controlTraffic) read() sentBytes { return sentBytes{udp: ct.udp.Load(), tcp: ct.tcp.Load()} }

// sockets returns wrappers of sockets that count the bytes sent.
func (ct *controlTraffic) sockets() node.SocketWrappers {
	return node.SocketWrappers{
		WrapPacket: func(conn net.PacketConn) net.PacketConn { return &countingPacketConn{conn, &ct.udp} },
		WrapStream: func(conn net.Conn) net.Conn { return &countingConn{conn, &ct.tcp} },
	}
}

// countingPacketConn adds the bytes of sent datagrams to count.
type countingPacketConn struct {
	net.PacketConn
	count *atomic.Int64
}

// WriteTo sends a datagram and counts its bytes.
func (cp *countingPacketConn) WriteTo(data []byte, to net.Addr) (int, error) {
	n, err := cp.PacketConn.WriteTo(data, to)
	cp.count.Add(int64(n) + datagramHeaderBytes)
	return n, err
}

// countingConn adds the bytes written to count.
type countingConn struct {
	net.Conn
	count *atomic.Int64
}

// Write sends data and counts its bytes.
func (cc *countingConn) Write(data []byte) (int, error) {
	n, err := cc.Conn.Write(data)
	cc.count.Add(int64(n))
	return n, err
}
