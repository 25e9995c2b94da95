//go:build !linux

package upstream

import "syscall"

// isReset reports whether the peer has reset a connection. It is not known here.
func isReset(syscall.RawConn) bool { return false }
