package upstream

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// isReset reports whether a TCP connection that this side has not closed is closed: the peer has reset it.
func isReset(raw syscall.RawConn) bool {
	reset := false
	err := raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		reset = err == nil && info.State == unix.BPF_TCP_CLOSE
	})
	return err == nil && reset
}
