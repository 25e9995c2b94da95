package peer

import (
	"net"
	"net/netip"
	"time"
)

// BindIP is the IP at which a process serves other processes, and from which it connects to them,
// where that is not the IP of the peer address that it announces. The zero value stands for the
// latter.
type BindIP struct{ netip.Addr }

// Address returns the address (IP:port) at which to listen for the announced address.
func (bi BindIP) Address(announced string) string {
	_, port, err := net.SplitHostPort(announced)
	if !bi.IsValid() || err != nil {
		return announced
	}
	return net.JoinHostPort(bi.String(), port)
}

// Announced returns the address to announce for a listener at the given one.
func (bi BindIP) Announced(address string, ln net.Listener) string {
	if !bi.IsValid() {
		return ln.Addr().String()
	}
	return address
}

// DialFunc returns Options.Dial of a Pool, which is nil for the zero value.
func (bi BindIP) DialFunc() DialFunc {
	if !bi.IsValid() {
		return nil
	}
	return bi.Dialer(dialTimeout).DialContext
}

// Dialer returns a dialer for connections to other processes.
func (bi BindIP) Dialer(timeout time.Duration) *net.Dialer {
	di := &net.Dialer{Timeout: timeout}
	if bi.IsValid() {
		di.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(bi.Addr, 0))
	}
	return di
}
