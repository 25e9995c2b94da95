package standin

import (
	"io"
	"net"
	"testing"
	"time"
)

// echo serves connections that send back what they receive.
func echo(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			cn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer cn.Close()
				_, _ = io.Copy(cn, cn)
			}()
		}
	}()
	return ln.Addr().String()
}

// exchange sends a line and reports whether it came back before the deadline.
func exchange(t *testing.T, cn net.Conn, wait time.Duration) bool {
	t.Helper()
	if _, err := cn.Write([]byte("line\n")); err != nil {
		t.Fatal(err)
	}
	_ = cn.SetReadDeadline(time.Now().Add(wait))
	buf := make([]byte, 5)
	_, err := io.ReadFull(cn, buf)
	return err == nil
}

func TestSilenceStrikesEstablishedConnectionsOnly(t *testing.T) {
	var ws Dialer
	target := echo(t)
	dial := func() net.Conn {
		cn, err := ws.Dial(t.Context(), "tcp", target)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { cn.Close() })
		return cn
	}
	mute, deaf := dial(), dial()
	if !exchange(t, mute, 10*time.Second) || !exchange(t, deaf, 10*time.Second) {
		t.Fatal("a new connection does not pass bytes on")
	}
	if n := ws.Silence(true, false); n != 2 {
		t.Fatalf("Silence = %d, want 2", n)
	}
	if exchange(t, mute, 50*time.Millisecond) {
		t.Error("a silent connection passes bytes on")
	}
	if !exchange(t, dial(), 10*time.Second) {
		t.Error("a later connection does not pass bytes on")
	}
}
