package link

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// limitUnsent bounds what the socket buffer of a connection holds and has not sent. 0 restores the
// default of the system. A connection that is no socket, as in tests, stays as it is.
func limitUnsent(nc net.Conn, bytes int) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, bytes)
	})
}
