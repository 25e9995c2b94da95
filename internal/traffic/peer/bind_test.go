package peer

import (
	"net"
	"net/netip"
	"testing"
)

// TestBindIP guards against a process that announces the address that it binds to, and against any
// change for a process without a bind IP.
func TestBindIP(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	const announced = "10.0.0.1:7620"
	var none BindIP
	if got := none.Address(announced); got != announced {
		t.Errorf("listens at %s without a bind IP", got)
	}
	if got := none.Announced(announced, ln); got != ln.Addr().String() {
		t.Errorf("announces %s without a bind IP", got)
	}
	if none.DialFunc() != nil || none.Dialer(0).LocalAddr != nil {
		t.Error("dials from an address of its own without a bind IP")
	}
	bi := BindIP{netip.MustParseAddr("127.0.0.2")}
	if got := bi.Address(announced); got != "127.0.0.2:7620" {
		t.Errorf("listens at %s", got)
	}
	if got := bi.Announced(announced, ln); got != announced {
		t.Errorf("announces %s", got)
	}
	conn, err := bi.DialFunc()(t.Context(), "tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if got := conn.LocalAddr().(*net.TCPAddr).IP.String(); got != "127.0.0.2" {
		t.Errorf("connects from %s", got)
	}
}
