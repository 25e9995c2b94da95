package soak

import (
	"context"
	"io"
	"net"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"

	"camphortrail/internal/traffic/peer"
)

// quiet is the time for which a test sees that nothing arrives.
const quiet = 60 * time.Millisecond

// proxyTest is a proxy with sockets in place of the processes.
type proxyTest struct {
	*testing.T
	px    *Proxy
	fl    *Fleet
	peers []*net.TCPListener
}

func newProxyTest(t *testing.T) *proxyTest {
	t.Helper()
	fl, err := New(Options{Seed: 1, Controls: 3, Services: []ServiceSize{}}.WithProxy())
	if err != nil {
		t.Fatal(err)
	}
	px, err := NewProxy(t.Context(), fl)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(px.Close)
	pt := &proxyTest{T: t, px: px, fl: fl}
	for _, ma := range fl.Controls {
		ln, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(px.target(ma)))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = ln.Close() })
		pt.peers = append(pt.peers, ln)
	}
	return pt
}

func (pt *proxyTest) link(from, to int) Link {
	return Link{pt.fl.Controls[from].Name, pt.fl.Controls[to].Name}
}

// dialer returns the dialer of a machine.
func (pt *proxyTest) dialer(from int) *net.Dialer {
	pt.Helper()
	ip, err := pt.fl.Controls[from].bindIP()
	if err != nil {
		pt.Fatal(err)
	}
	return peer.BindIP{Addr: ip}.Dialer(time.Second)
}

// dial connects one machine to another.
func (pt *proxyTest) dial(from, to int) *net.TCPConn {
	pt.Helper()
	conn, err := pt.dialer(from).Dial("tcp", pt.fl.Controls[to].PeerAddress())
	if err != nil {
		pt.Fatal(err)
	}
	pt.Cleanup(func() { _ = conn.Close() })
	return conn.(*net.TCPConn)
}

// open connects one machine to another and returns both ends.
func (pt *proxyTest) open(from, to int) (near, far *net.TCPConn) {
	pt.Helper()
	near = pt.dial(from, to)
	far, err := pt.peers[to].AcceptTCP()
	if err != nil {
		pt.Fatal(err)
	}
	pt.Cleanup(func() { _ = far.Close() })
	return near, far
}

func (pt *proxyTest) write(conn net.Conn, text string) {
	pt.Helper()
	if _, err := conn.Write([]byte(text)); err != nil {
		pt.Fatal(err)
	}
}

func (pt *proxyTest) expect(conn net.Conn, text string) {
	pt.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	buf := make([]byte, len(text))
	if _, err := io.ReadFull(conn, buf); err != nil || string(buf) != text {
		pt.Fatalf("read %q, %v, want %q", buf, err, text)
	}
}

// expectNothing checks that nothing arrives, neither data nor an end.
func (pt *proxyTest) expectNothing(conn net.Conn) {
	pt.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(quiet))
	n, err := conn.Read(make([]byte, 100))
	var timeout net.Error
	if n != 0 || !errors.As(err, &timeout) || !timeout.Timeout() {
		pt.Fatalf("read %d bytes, %v, want a time-out", n, err)
	}
}

func (pt *proxyTest) expectEnd(conn net.Conn, want error) {
	pt.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	if n, err := conn.Read(make([]byte, 100)); n != 0 || !errors.Is(err, want) {
		pt.Fatalf("read %d bytes, %v, want %v", n, err, want)
	}
}

// TestProxyCarriesStreams sends more than the proxy holds both ways, and closes one way first.
func TestProxyCarriesStreams(t *testing.T) {
	pt := newProxyTest(t)
	near, far := pt.open(0, 1)
	text := strings.Repeat("0123456789abcdef", 1<<17)
	go func() { _, _ = io.Copy(far, far); _ = far.CloseWrite() }()
	go func() { _, _ = near.Write([]byte(text)); _ = near.CloseWrite() }()
	pt.expect(near, text)
	pt.expectEnd(near, io.EOF)
}

// TestProxyCutHoldsStreams cuts one way: the other way goes on, and what was sent arrives in order
// after the cut.
func TestProxyCutHoldsStreams(t *testing.T) {
	pt := newProxyTest(t)
	near, far := pt.open(0, 1)
	pt.px.Set(Condition{Cut: true}, pt.link(0, 1))
	pt.write(near, "first ")
	pt.write(near, "second")
	if err := near.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	pt.expectNothing(far)
	pt.write(far, "back")
	pt.expect(near, "back")
	pt.px.Heal()
	pt.expect(far, "first second")
	pt.expectEnd(far, io.EOF)
}

// TestProxyLosesHeldBytesOfAReset resets a connection while its bytes are held.
func TestProxyLosesHeldBytesOfAReset(t *testing.T) {
	pt := newProxyTest(t)
	near, far := pt.open(0, 1)
	pt.px.Set(Condition{Cut: true}, pt.link(0, 1))
	pt.write(near, "lost")
	pt.expectNothing(far)
	reset(near)
	pt.expectNothing(far)
	pt.px.Heal()
	pt.expectEnd(far, syscall.ECONNRESET)
}

// TestProxyConnectWaitsForACut connects over links that are cut in either direction.
func TestProxyConnectWaitsForACut(t *testing.T) {
	for _, back := range []bool{false, true} {
		pt := newProxyTest(t)
		link := pt.link(0, 1)
		if back {
			link = pt.link(1, 0)
		}
		pt.px.Set(Condition{Cut: true}, link)
		near := pt.dial(0, 1)
		pt.write(near, "hello")
		_ = pt.peers[1].SetDeadline(time.Now().Add(quiet))
		if _, err := pt.peers[1].Accept(); err == nil {
			t.Fatal("connected over a cut link")
		}
		_ = pt.peers[1].SetDeadline(time.Time{})
		pt.px.Heal()
		far, err := pt.peers[1].AcceptTCP()
		if err != nil {
			t.Fatal(err)
		}
		pt.expect(far, "hello")
		_ = far.Close()
	}
}

// TestProxySilence makes the connections of a machine silent: nothing arrives on them any more, nor
// their end, but new ones and those of others work.
func TestProxySilence(t *testing.T) {
	pt := newProxyTest(t)
	near, far := pt.open(0, 1)
	otherNear, otherFar := pt.open(1, 2)
	pt.write(near, "before")
	pt.expect(far, "before")
	if count := pt.px.Silence(pt.fl.Controls[0].Name); count != 1 {
		t.Fatalf("silenced %d connections, want 1", count)
	}
	pt.write(near, "lost")
	pt.write(far, "lost")
	pt.expectNothing(near)
	pt.expectNothing(far)
	reset(near)
	pt.expectNothing(far)
	pt.write(otherNear, "other")
	pt.expect(otherFar, "other")
	near, far = pt.open(0, 1)
	pt.write(near, "new")
	pt.expect(far, "new")
}

// TestProxyReset resets the connections of a machine, and no others.
func TestProxyReset(t *testing.T) {
	pt := newProxyTest(t)
	near, far := pt.open(0, 1)
	toNear, toFar := pt.open(2, 0)
	otherNear, otherFar := pt.open(1, 2)
	if count := pt.px.Reset(pt.fl.Controls[0].Name); count != 2 {
		t.Fatalf("reset %d connections, want 2", count)
	}
	for _, conn := range []net.Conn{near, far, toNear, toFar} {
		pt.expectEnd(conn, syscall.ECONNRESET)
	}
	pt.px.Set(Condition{Cut: true}, pt.link(0, 1))
	waiting := pt.dial(0, 1)
	pt.expectNothing(waiting)
	if count := pt.px.Reset(pt.fl.Controls[0].Name); count != 1 {
		t.Fatalf("reset %d connections that wait, want 1", count)
	}
	pt.expectEnd(waiting, syscall.ECONNRESET)
	pt.write(otherNear, "other")
	pt.expect(otherFar, "other")
}

// TestProxyResetWhileOpening resets connections at once after they were accepted.
func TestProxyResetWhileOpening(t *testing.T) {
	pt := newProxyTest(t)
	for range 300 {
		near, far := pt.open(0, 1)
		pt.px.Reset(pt.fl.Controls[0].Name)
		pt.expectEnd(near, syscall.ECONNRESET)
		pt.expectEnd(far, syscall.ECONNRESET)
	}
}

// TestProxyResetsAConnectToNoListener connects to a machine whose process does not run, and from an
// address that is no machine's.
func TestProxyResetsAConnectToNoListener(t *testing.T) {
	pt := newProxyTest(t)
	if err := pt.peers[1].Close(); err != nil {
		t.Fatal(err)
	}
	pt.expectResetOf(pt.dialer(0), 1)
	pt.expectResetOf(new(net.Dialer), 2)
}

// expectResetOf connects to a machine and checks that the connection is reset, at once or later.
func (pt *proxyTest) expectResetOf(di *net.Dialer, to int) {
	pt.Helper()
	conn, err := di.Dial("tcp", pt.fl.Controls[to].PeerAddress())
	switch {
	case errors.Is(err, syscall.ECONNRESET):
	case err != nil:
		pt.Fatal(err)
	default:
		defer func() { _ = conn.Close() }()
		pt.expectEnd(conn, syscall.ECONNRESET)
	}
}

// TestProxyDelay delays one link.
func TestProxyDelay(t *testing.T) {
	pt := newProxyTest(t)
	near, far := pt.open(0, 1)
	const delay = 40 * time.Millisecond
	pt.px.Set(Condition{Delay: delay, Jitter: time.Millisecond}, pt.link(0, 1))
	begin := time.Now()
	pt.write(near, "late")
	pt.expect(far, "late")
	if took := time.Since(begin); took < delay {
		t.Fatalf("arrived after %v, want %v at least", took, delay)
	}
}

// TestProxyDatagrams sends datagrams over links that are sound, cut, and lossy. Their sender must
// be the announced address.
func TestProxyDatagrams(t *testing.T) {
	pt := newProxyTest(t)
	var socks []*net.UDPConn
	for _, ma := range pt.fl.Controls[:2] {
		conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(pt.px.target(ma)))
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		socks = append(socks, conn)
	}
	to := netip.MustParseAddrPort(pt.fl.Controls[1].PeerAddress())
	// play sends datagrams over the link and returns the number that arrive.
	play := func(co Condition) int {
		pt.px.Set(co, pt.link(0, 1))
		for range 100 {
			if _, err := socks[0].WriteToUDPAddrPort([]byte("x"), to); err != nil {
				t.Fatal(err)
			}
		}
		for count := 0; ; count++ {
			_ = socks[1].SetReadDeadline(time.Now().Add(5 * quiet))
			_, address, err := socks[1].ReadFromUDPAddrPort(make([]byte, 10))
			if err != nil {
				return count
			}
			if address.String() != pt.fl.Controls[0].PeerAddress() {
				t.Fatalf("datagram from %v", address)
			}
		}
	}
	if got := play(Condition{}); got != 100 {
		t.Errorf("%d of 100 datagrams arrived", got)
	}
	if got := play(Condition{Cut: true}); got != 0 {
		t.Errorf("%d datagrams arrived over a cut link", got)
	}
	if got := play(Condition{Loss: 0.5}); got < 20 || got > 80 {
		t.Errorf("%d of 100 datagrams arrived with half of them lost", got)
	}
}

// TestProxyEndsWithItsContext ends the context while connections are open and held.
func TestProxyEndsWithItsContext(t *testing.T) {
	fl, err := New(Options{Seed: 1, Controls: 2, Services: []ServiceSize{}}.WithProxy())
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	px, err := NewProxy(ctx, fl)
	if err != nil {
		t.Fatal(err)
	}
	pt := &proxyTest{T: t, px: px, fl: fl}
	px.Set(Condition{Cut: true}, pt.link(0, 1))
	conn := pt.dial(0, 1)
	stop()
	px.Close()
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := conn.Read(make([]byte, 1)); err == nil {
		t.Fatal("connection still open")
	}
}
