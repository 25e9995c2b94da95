package standin

import (
	"io"
	"net"
	"testing"
	"time"
)

// startEchoServer starts a server that echoes what it receives, and returns its address.
func startEchoServer(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = io.Copy(conn, conn)
			}()
		}
	}()
	return ln.Addr().String()
}

// exchange sends a line and reports whether it came back before the deadline.
func exchange(t *testing.T, conn net.Conn, wait time.Duration) bool {
	t.Helper()
	if _, err := conn.Write([]byte("line\n")); err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(wait))
	buf := make([]byte, 5)
	_, err := io.ReadFull(conn, buf)
	return err == nil
}

// TestSilenceAffectsEstablishedConnectionsOnly checks that Silence affects the
// connections opened before and not those opened after it.
func TestSilenceAffectsEstablishedConnectionsOnly(t *testing.T) {
	var dl Dialer
	target := startEchoServer(t)
	dial := func() net.Conn {
		conn, err := dl.Dial(t.Context(), "tcp", target)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		return conn
	}
	first, second := dial(), dial()
	if !exchange(t, first, 10*time.Second) || !exchange(t, second, 10*time.Second) {
		t.Fatal("a new connection does not transfer data")
	}
	if n := dl.Silence(true, false); n != 2 {
		t.Fatalf("Silence = %d, want 2", n)
	}
	if exchange(t, first, 50*time.Millisecond) {
		t.Error("a silenced connection transfers data")
	}
	if !exchange(t, dial(), 10*time.Second) {
		t.Error("a connection opened after Silence does not transfer data")
	}
}
