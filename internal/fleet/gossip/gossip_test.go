package gossip

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/goleak"

	"camphortrail/call"
	"camphortrail/membership"
)

// testNetwork connects packet connections within the process.
type testNetwork struct {
	mu    sync.Mutex
	conns map[string]*packetConn
}

// packetConn is a connection of a testNetwork. It drops datagrams to unknown addresses
// and to full queues.
type packetConn struct {
	net.PacketConn
	network *testNetwork
	addr    *net.UDPAddr
	in      chan []byte
	closed  chan struct{}
	once    sync.Once
}

// listen returns a connection with the given address.
func (tn *testNetwork) listen(address string) *packetConn {
	tn.mu.Lock()
	defer tn.mu.Unlock()
	pc := &packetConn{
		network: tn, in: make(chan []byte, 1024), closed: make(chan struct{}),
		addr: net.UDPAddrFromAddrPort(netip.MustParseAddrPort(address)),
	}
	tn.conns[address] = pc
	return pc
}

func (pc *packetConn) ReadFrom(buf []byte) (int, net.Addr, error) {
	select {
	case data := <-pc.in:
		return copy(buf, data), pc.addr, nil
	case <-pc.closed:
		return 0, nil, net.ErrClosed
	}
}

func (pc *packetConn) WriteTo(data []byte, to net.Addr) (int, error) {
	pc.network.mu.Lock()
	defer pc.network.mu.Unlock()
	other := pc.network.conns[to.String()]
	if other == nil {
		return len(data), nil
	}
	select {
	case other.in <- bytes.Clone(data):
	default:
	}
	return len(data), nil
}

func (pc *packetConn) Close() error {
	pc.once.Do(func() { close(pc.closed) })
	return nil
}

// startGossip starts a Gossip that stops at the end of the test.
func startGossip(t *testing.T, conn net.PacketConn, name call.VM, address string, contacts ...string) (*Gossip, *metrics.Set, context.CancelFunc) {
	t.Helper()
	set := metrics.NewSet()
	gs, err := New(Settings{
		Deployment: "test", Name: name, FailureDomain: "monza", Role: membership.NodeRole,
		Address: address, Contacts: contacts, Metrics: set,
	}, conn)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- gs.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("Run() = %v", err)
		}
	})
	return gs, set, cancel
}

// findMember returns the record of name in the membership of gs.
func findMember(t *testing.T, gs *Gossip, name call.VM) membership.Member {
	t.Helper()
	for _, mb := range gs.Members() {
		if mb.Name == name {
			return mb
		}
	}
	t.Fatalf("no member %s", name)
	return membership.Member{}
}

// receiveNow returns the next value of from, or the zero value if none is waiting.
func receiveNow[T any](from <-chan T) (v T) {
	select {
	case v = <-from:
	default:
	}
	return v
}

// TestGossip checks joining, announcements, hints, leaving and failure detection among
// three processes.
func TestGossip(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tn := &testNetwork{conns: make(map[string]*packetConn)}
		one, set, _ := startGossip(t, tn.listen("10.0.0.1:7000"), "vm-1", "10.0.0.1:7000")
		two, _, _ := startGossip(t, tn.listen("10.0.0.2:7000"), "vm-2", "10.0.0.2:7000", "10.0.0.1:7000")
		three, _, stop := startGossip(t, tn.listen("10.0.0.3:7000"), "vm-3", "10.0.0.3:7000", "10.0.0.1:7000")
		notices := one.Subscribe()
		time.Sleep(3 * time.Second)
		if no := receiveNow(notices); no.Resync || no.Change.Kind != membership.Joined {
			t.Errorf("first notice is %+v", no)
		}

		own := two.Subscribe()
		two.Announce([]membership.Upstream{{Service: "cassa", Slots: 15, Address: "127.0.0.1:1"}})
		two.SetRevision(4)
		time.Sleep(2 * time.Second)
		if no := receiveNow(own); no.Change.Member.Name != "vm-2" || len(no.Change.Member.Upstreams) != 1 {
			t.Errorf("notice of the own announcement is %+v", no)
		}
		if ups := findMember(t, three, "vm-2").Upstreams; len(ups) != 1 || ups[0] != (membership.Upstream{Service: "cassa", Slots: 15}) {
			t.Errorf("vm-3 has upstreams %+v", ups)
		}
		if hint := receiveNow(one.Hints()); hint.Revision != 4 || hint.Address.String() != "10.0.0.2:7000" {
			t.Errorf("hint %+v", hint)
		}

		for range 2 {
			if err := two.Leave(t.Context()); err != nil {
				t.Error(err)
			}
		}
		if st := findMember(t, one, "vm-2").State; st != membership.Left {
			t.Errorf("vm-2 is %s after leaving", st)
		}
		stop()
		time.Sleep(15 * time.Second)
		if st := findMember(t, one, "vm-3").State; st != membership.Dead {
			t.Errorf("vm-3 is %s after its end", st)
		}

		tn.conns["10.0.0.1:7000"].in <- []byte("not a datagram")
		synctest.Wait()
		var text strings.Builder
		set.WritePrometheus(&text)
		for _, line := range []string{`refused_total{reason="encoding"} 1`, `members{state="dead"} 1`, "suspicions_total 1"} {
			if !strings.Contains(text.String(), line) {
				t.Errorf("metrics lack %s:\n%s", line, text.String())
			}
		}
	})
}

// TestSubscriptionOverflow checks that a full subscription delivers one resync in place
// of the changes that it lost.
func TestSubscriptionOverflow(t *testing.T) {
	gs, err := New(Settings{Name: "vm-1", FailureDomain: "monza", Address: "10.0.0.1:1"}, nil)
	if err != nil {
		t.Fatal(err)
	}
	notices := gs.Subscribe()
	sub := gs.subs[0]
	for range noticeCapacity + 2 {
		sub.offer(membership.Changed{Kind: membership.Joined})
		sub.offerResync()
	}
	for i := range noticeCapacity {
		if no := <-notices; no.Resync {
			t.Fatalf("notice %d is a resync", i)
		}
	}
	sub.offer(membership.Changed{Kind: membership.Died})
	sub.offerResync()
	if no := <-notices; !no.Resync {
		t.Fatalf("%+v instead of a resync", no)
	}
	sub.offer(membership.Changed{Kind: membership.Died})
	if no := <-notices; no.Change.Kind != membership.Died {
		t.Fatalf("%+v after the resync", no)
	}
}

// TestOverLoopback checks that two processes join over real sockets and leak no
// goroutine.
func TestOverLoopback(t *testing.T) {
	defer goleak.VerifyNone(t)
	t.Run("join", func(t *testing.T) {
		first, second := listen(t), listen(t)
		one, _, _ := startGossip(t, first, "vm-1", first.LocalAddr().String())
		notices := one.Subscribe()
		startGossip(t, second, "vm-2", second.LocalAddr().String(), first.LocalAddr().String())
		if no := <-notices; no.Change.Member.Name != "vm-2" {
			t.Errorf("notice %+v", no)
		}
	})
}

// listen opens a UDP socket on the loopback interface.
func listen(t *testing.T) net.PacketConn {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// TestNewRefuses checks that New refuses invalid settings.
func TestNewRefuses(t *testing.T) {
	for _, set := range []Settings{
		{Name: "vm-1", FailureDomain: "monza", Address: "monza:1"},
		{Name: "vm-1", FailureDomain: "monza", Address: "10.0.0.1:1", Contacts: []string{"x"}},
		{FailureDomain: "monza", Address: "10.0.0.1:1"},
		{Name: "vm-1", Address: "10.0.0.1:1"},
	} {
		if _, err := New(set, nil); err == nil {
			t.Errorf("New(%+v) succeeds", set)
		}
	}
	if _, err := New(Settings{Name: "vm-1", Address: "10.0.0.1:1"}, nil); !errors.Is(err, membership.ErrMalformed) {
		t.Errorf("error %v is not ErrMalformed", err)
	}
}
