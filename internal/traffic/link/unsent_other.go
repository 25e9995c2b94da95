//go:build !linux

package link

import "net"

// limitUnsent does nothing where the socket option is not known.
func limitUnsent(net.Conn, int) {}
