package link

import (
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// unsentBytes returns the number of bytes that the socket of a connection holds and has not sent.
func unsentBytes(t *testing.T, nc net.Conn) (unsent int) {
	t.Helper()
	raw, err := nc.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if cerr := raw.Control(func(fd uintptr) { unsent, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQNSD) }); cerr != nil || err != nil {
		t.Fatal(cerr, err)
	}
	return unsent
}

// Guards against pieces that wait in the socket, where no small frame can go before them. The peer
// reads nothing, so that the socket would take megabytes.
func TestSocketHoldsFewUnsentBytes(t *testing.T) {
	address, links := serveLinks(t)
	near := Open(dial, address)
	far := <-links
	defer near.Close()
	defer far.Close()
	if err := near.Send(attemptFrame(1, largeBytes)); err != nil {
		t.Fatal(err)
	}
	awaitBegun(t, near)
	most := 0
	for range 200 {
		most = max(most, unsentBytes(t, near.nc))
		time.Sleep(time.Millisecond)
	}
	t.Logf("at most %d bytes unsent", most)
	// The kernel takes a whole segment of its own beyond the bound.
	if limit := maxUnsentBytes + 2*maxPieceBytes; most > limit {
		t.Errorf("%d bytes unsent, want at most %d", most, limit)
	}
}
