package soak

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"camphortrail/call"
	"camphortrail/platform"
)

const (
	// bindOffset is the difference between the last bytes of the IP that a process binds to and of
	// the one that it announces.
	bindOffset = 128
	// pumpBytes is the size of a part of a stream, and pumpParts the number of parts under way.
	pumpBytes = 16 << 10
	pumpParts = 64
	// maxPacketBytes is the size of the largest datagram.
	maxPacketBytes = 64 << 10
)

// ErrNoBindIP is returned for a machine whose address leaves no IP to bind to.
var ErrNoBindIP = errors.New("soak: no IP to bind to")

// bindIP returns the IP that the process of the machine binds to behind a proxy.
func (ma *Machine) bindIP() (netip.Addr, error) {
	ip, err := netip.ParseAddr(ma.IP)
	if err != nil {
		return ip, err
	}
	bytes := ip.As4()
	if bytes[3] >= bindOffset {
		return ip, errors.Wrap(ErrNoBindIP, ma.IP)
	}
	bytes[3] += bindOffset
	return netip.AddrFrom4(bytes), nil
}

// WithProxy returns the options with processes whose traffic with each other goes through
// Fleet.Proxy.
func (opt Options) WithProxy() Options {
	edit := opt.EditSettings
	opt.proxied = true
	opt.EditSettings = func(ma *Machine, set *platform.Settings) {
		if ip, err := ma.bindIP(); err == nil {
			set.BindIP = ip.String()
		}
		if edit != nil {
			edit(ma, set)
		}
	}
	return opt
}

// Link is the way from one machine to another.
type Link struct{ From, To call.VM }

// Condition is the state of a link. The zero value is sound.
type Condition struct {
	// Cut holds streams, drops datagrams, and leaves connects without an answer.
	Cut bool
	// Delay and Jitter, a random part added to it, delay all that passes.
	Delay, Jitter time.Duration
	// Loss is the share of datagrams that are lost.
	Loss float64
}

// Proxy carries the traffic between the machines of a fleet: it listens at the peer addresses that
// they announce, and knows the machine that sends by its IP. It differs from a network in that
// a connect to a machine that is cut off succeeds, after which nothing comes, and that what it holds
// counts as received for the sender's kernel.
type Proxy struct {
	fl    *Fleet
	ctx   context.Context
	stop  context.CancelFunc
	tasks sync.WaitGroup

	mu         sync.Mutex
	machines   map[netip.Addr]*Machine // by the IP that they bind to
	listeners  []net.Listener
	packets    map[call.VM]net.PacketConn
	conditions map[Link]Condition
	// changed is closed and replaced when conditions change.
	changed chan struct{}
	rng     *rand.Rand
	streams map[*stream]struct{}
}

// stream is a connection from the process of one machine to that of another.
type stream struct {
	px         *Proxy
	link       Link
	near, far  *net.TCPConn // far is nil until it is open
	stop       context.CancelFunc
	silent     bool // guarded by Proxy.mu
	resetOnEnd bool // guarded by Proxy.mu
}

// NewProxy listens at the peer addresses of the machines of a fleet, whose options were made by
// WithProxy, before their processes start. It ends with ctx or by Close.
func NewProxy(ctx context.Context, fl *Fleet) (*Proxy, error) {
	px := &Proxy{
		fl: fl, machines: make(map[netip.Addr]*Machine), packets: make(map[call.VM]net.PacketConn),
		conditions: make(map[Link]Condition), changed: make(chan struct{}),
		rng: fl.opt.Seed.Rand("proxy"), streams: make(map[*stream]struct{}),
	}
	px.ctx, px.stop = context.WithCancel(ctx)
	for _, ma := range fl.Machines() {
		if err := px.Add(ma); err != nil {
			px.Close()
			return nil, err
		}
	}
	context.AfterFunc(px.ctx, px.closeSockets)
	return px, nil
}

// Add listens at the peer address of one more machine.
func (px *Proxy) Add(ma *Machine) error {
	ip, err := ma.bindIP()
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", ma.PeerAddress())
	if err != nil {
		return err
	}
	pc, err := net.ListenPacket("udp", ma.PeerAddress())
	if err != nil {
		_ = ln.Close()
		return err
	}
	px.mu.Lock()
	defer px.mu.Unlock()
	px.machines[ip], px.packets[ma.Name] = ma, pc
	px.listeners = append(px.listeners, ln)
	px.tasks.Go(func() { px.accept(ma, ln) })
	px.tasks.Go(func() { px.forward(ma, pc) })
	return nil
}

// Close ends all connections, and waits until the proxy has ended.
func (px *Proxy) Close() {
	px.stop()
	px.closeSockets()
	px.tasks.Wait()
}

func (px *Proxy) closeSockets() {
	px.mu.Lock()
	defer px.mu.Unlock()
	for _, ln := range px.listeners {
		_ = ln.Close()
	}
	for _, pc := range px.packets {
		_ = pc.Close()
	}
}

// Set sets the condition of links.
func (px *Proxy) Set(co Condition, links ...Link) {
	px.mu.Lock()
	defer px.mu.Unlock()
	for _, li := range links {
		px.conditions[li] = co
	}
	close(px.changed)
	px.changed = make(chan struct{})
}

// Heal makes all links sound.
func (px *Proxy) Heal() {
	px.mu.Lock()
	defer px.mu.Unlock()
	clear(px.conditions)
	close(px.changed)
	px.changed = make(chan struct{})
}

// LinksBetween returns the links from each machine of one group to each of the other, and with back
// also the opposite ones.
func LinksBetween(from, to []*Machine, back bool) []Link {
	var links []Link
	for _, a := range from {
		for _, b := range to {
			links = append(links, Link{a.Name, b.Name})
			if back {
				links = append(links, Link{b.Name, a.Name})
			}
		}
	}
	return links
}

// Zone returns the machines of a failure domain, and all others.
func (fl *Fleet) Zone(fd call.FailureDomain) (inside, outside []*Machine) {
	for _, ma := range fl.Machines() {
		if ma.Zone == fd {
			inside = append(inside, ma)
		} else {
			outside = append(outside, ma)
		}
	}
	return inside, outside
}

// Reset resets the connections between the machine and others, and returns their number.
func (px *Proxy) Reset(vm call.VM) int {
	return px.each(vm, func(sm *stream) {
		sm.resetOnEnd = true
		sm.stop()
	})
}

// Silence makes the connections between the machine and others go silent for good: what is sent on
// them is lost. New ones work. It returns their number.
func (px *Proxy) Silence(vm call.VM) int {
	return px.each(vm, func(sm *stream) { sm.silent = true })
}

// each calls change for each connection of a machine, and records that it is impaired.
func (px *Proxy) each(vm call.VM, change func(*stream)) int {
	rc := px.fl.Recorder
	rc.Add(Impaired{VM: vm, At: rc.Now(), Cause: "connections"})
	rc.Add(Impaired{VM: vm, At: rc.Now(), Cause: "connections", Over: true})
	px.mu.Lock()
	defer px.mu.Unlock()
	count := 0
	for sm := range px.streams {
		if sm.link.From == vm || sm.link.To == vm {
			change(sm)
			count++
		}
	}
	return count
}

// condition returns the condition of a link, and a channel that is closed when it may have changed.
func (px *Proxy) condition(li Link) (Condition, <-chan struct{}) {
	px.mu.Lock()
	defer px.mu.Unlock()
	return px.conditions[li], px.changed
}

// delay draws the delay of something that passes now.
func (px *Proxy) delay(co Condition) time.Duration {
	if co.Jitter <= 0 {
		return co.Delay
	}
	px.mu.Lock()
	defer px.mu.Unlock()
	return co.Delay + time.Duration(px.rng.Int64N(int64(co.Jitter)))
}

// pass waits until the link is not cut, and reports whether it had been. It returns an error if ctx
// ends first.
func (px *Proxy) pass(ctx context.Context, li Link) (held bool, err error) {
	for {
		co, changed := px.condition(li)
		if !co.Cut {
			return held, ctx.Err()
		}
		held = true
		select {
		case <-changed:
		case <-ctx.Done():
			return held, ctx.Err()
		}
	}
}

// sender returns the machine with an address that its process binds to, or nil.
func (px *Proxy) sender(address net.Addr) *Machine {
	ap, err := netip.ParseAddrPort(address.String())
	if err != nil {
		return nil
	}
	px.mu.Lock()
	defer px.mu.Unlock()
	return px.machines[ap.Addr().Unmap()]
}

// target returns the address at which the process of a machine listens.
func (px *Proxy) target(ma *Machine) netip.AddrPort {
	ip, _ := ma.bindIP() // Add has checked it
	return netip.AddrPortFrom(ip, uint16(px.fl.ports.first))
}

// forward forwards the datagrams that arrive for a machine.
func (px *Proxy) forward(to *Machine, pc net.PacketConn) {
	target := net.UDPAddrFromAddrPort(px.target(to))
	buf := make([]byte, maxPacketBytes)
	for {
		n, address, err := pc.ReadFrom(buf)
		if err != nil {
			if px.ctx.Err() != nil {
				return
			}
			continue
		}
		from := px.sender(address)
		if from == nil {
			continue
		}
		co, _ := px.condition(Link{from.Name, to.Name})
		if co.Cut || px.isLost(co) {
			continue
		}
		data, out := append([]byte(nil), buf[:n]...), px.packet(from)
		send := func() { _, _ = out.WriteTo(data, target) }
		if delay := px.delay(co); delay > 0 {
			time.AfterFunc(delay, send)
		} else {
			send()
		}
	}
}

// packet returns the socket at the announced address of a machine.
func (px *Proxy) packet(ma *Machine) net.PacketConn {
	px.mu.Lock()
	defer px.mu.Unlock()
	return px.packets[ma.Name]
}

// isLost draws whether a datagram is lost.
func (px *Proxy) isLost(co Condition) bool {
	px.mu.Lock()
	defer px.mu.Unlock()
	return co.Loss > 0 && px.rng.Float64() < co.Loss
}

// accept accepts the connections to a machine.
func (px *Proxy) accept(to *Machine, ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		near := conn.(*net.TCPConn)
		from := px.sender(near.RemoteAddr())
		if from == nil {
			reset(near)
			continue
		}
		px.tasks.Go(func() { px.carry(Link{from.Name, to.Name}, near, px.target(to).String()) })
	}
}

// carry opens the connection to the target and carries both directions until both have ended.
func (px *Proxy) carry(li Link, near *net.TCPConn, target string) {
	ctx, stop := context.WithCancel(px.ctx)
	defer stop()
	sm := &stream{px: px, link: li, near: near, stop: stop}
	px.mu.Lock()
	px.streams[sm] = struct{}{}
	px.mu.Unlock()
	// Whatever ends the stream, no half of it stays open.
	defer sm.end()
	back := Link{li.To, li.From}
	for _, way := range []Link{li, back} {
		if _, err := px.pass(ctx, way); err != nil {
			return
		}
	}
	// A dial that Reset ended would close the connection, which the other side would take for its end.
	conn, err := new(net.Dialer).DialContext(px.ctx, "tcp", target)
	if err != nil {
		px.mu.Lock()
		sm.resetOnEnd = true
		px.mu.Unlock()
		return
	}
	sm.far = conn.(*net.TCPConn)
	release := context.AfterFunc(ctx, sm.unblock)
	defer release()
	var ways sync.WaitGroup
	for _, way := range []struct {
		link     Link
		from, to *net.TCPConn
	}{{li, near, sm.far}, {back, sm.far, near}} {
		ways.Go(func() {
			if err := sm.pump(ctx, way.link, way.from, way.to); err != nil {
				px.mu.Lock()
				sm.resetOnEnd = true
				px.mu.Unlock()
				stop()
			}
		})
	}
	ways.Wait()
}

// unblock ends reads and writes.
func (sm *stream) unblock() {
	_ = sm.near.SetDeadline(time.Unix(1, 0))
	_ = sm.far.SetDeadline(time.Unix(1, 0))
}

// end closes or resets both connections.
func (sm *stream) end() {
	sm.px.mu.Lock()
	delete(sm.px.streams, sm)
	isReset := sm.resetOnEnd
	sm.px.mu.Unlock()
	for _, conn := range []*net.TCPConn{sm.near, sm.far} {
		switch {
		case conn == nil:
		case isReset:
			reset(conn)
		default:
			_ = conn.Close()
		}
	}
}

func (sm *stream) isSilent() bool {
	sm.px.mu.Lock()
	defer sm.px.mu.Unlock()
	return sm.silent
}

// part is a part of a stream, the end of which has no data.
type part struct {
	data []byte
	due  time.Time
}

// pump carries one direction. It returns nil after the end of the stream, and an error if one side
// was reset or ctx ends.
func (sm *stream) pump(ctx context.Context, li Link, from, to *net.TCPConn) error {
	parts := make(chan part, pumpParts)
	var broken atomic.Bool
	written := make(chan error, 1)
	go func() {
		err := sm.write(ctx, li, to, parts, &broken)
		if err != nil {
			sm.stop()
		}
		written <- err
	}()
	err := sm.read(ctx, li, from, parts, &broken)
	close(parts)
	if writeErr := <-written; err == nil {
		err = writeErr
	}
	return err
}

// read reads the parts of one direction until its end. It sets broken if the sender has reset the
// connection.
func (sm *stream) read(ctx context.Context, li Link, from *net.TCPConn, parts chan<- part, broken *atomic.Bool) error {
	for {
		buf := make([]byte, pumpBytes)
		n, err := from.Read(buf)
		co, _ := sm.px.condition(li)
		pt := part{data: buf[:n], due: time.Now().Add(sm.px.delay(co))}
		if n == 0 && err != io.EOF {
			broken.Store(true)
			if sm.isSilent() {
				return nil
			}
			// A reset passes a cut link no sooner than data.
			if _, passErr := sm.px.pass(ctx, li); passErr != nil {
				return passErr
			}
			return err
		}
		select {
		case parts <- pt:
		case <-ctx.Done():
			return ctx.Err()
		}
		if err == io.EOF {
			return nil
		}
	}
}

// write writes the parts when they are due and the link is not cut. It drops those of a silent
// stream, and those that were held while their sender reset the connection.
func (sm *stream) write(ctx context.Context, li Link, to *net.TCPConn, parts <-chan part, broken *atomic.Bool) error {
	for pt := range parts {
		if wait := time.Until(pt.due); wait > 0 {
			_ = pause(ctx, wait) // pass returns the error of ctx
		}
		held, err := sm.px.pass(ctx, li)
		switch {
		case err != nil:
			return err
		case sm.isSilent():
			continue
		case held && broken.Load():
			return syscall.ECONNRESET
		case len(pt.data) == 0:
			return to.CloseWrite()
		}
		if _, err := to.Write(pt.data); err != nil {
			return err
		}
	}
	return nil
}

// reset closes a connection so that the other side sees a reset.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}
