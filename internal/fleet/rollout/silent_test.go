package rollout

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"

	"camphortrail/membership"
	"camphortrail/schema"
)

// keptConnection is a source whose connection may have gone silent: the next fetch has no answer, and
// those after it use a new connection.
type keptConnection struct {
	fakeSource
	silent bool // guarded by fakeSource.mu
}

func (kc *keptConnection) Fetch(ctx context.Context, rq *connect.Request[schema.FetchRequest]) (*connect.Response[schema.FetchResponse], error) {
	kc.mu.Lock()
	silent := kc.silent
	kc.silent = false
	kc.mu.Unlock()
	if silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return kc.fakeSource.Fetch(ctx, rq)
}

// TestSilentConnectionsDelayConfiguration lets all connections of a node go silent, while new ones
// work and hints come as before. The node must have the next change in force within the 2 s in which
// changes have to apply.
func TestSilentConnectionsDelayConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 2 * time.Second
		sources := make(map[string]*keptConnection)
		var addresses []netip.AddrPort
		var controls, peers []string
		for i := range 8 {
			address := netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:7000", 1+i))
			addresses = append(addresses, address)
			sources[address.String()] = new(keptConnection)
			sources[address.String()].set(3, "lombardy")
			if i < 4 {
				controls = append(controls, address.String())
			} else {
				peers = append(peers, address.String())
			}
		}
		ts := &testSetup{hints: make(chan membership.RevisionHint, 8)}
		ro, err := New(Settings{
			Deployment: "lombardy", Controls: controls, Hints: ts.hints,
			ControlClient: func(address string) Fetcher { return sources[address] },
			PeerClient:    func(address string) Fetcher { return sources[address] },
			PresentPeers:  func() []string { return peers },
			OnChange:      func(uint64, *schema.Configuration) error { return nil },
		})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = ro.Run(ctx)
		}()
		if got := revisionAfter(ro, 5*time.Second); got != 3 {
			t.Errorf("revision %d, want 3", got)
		}
		for _, so := range sources {
			so.mu.Lock()
			so.revision, so.silent = 4, true
			so.mu.Unlock()
		}
		begin := time.Now()
		for i := 0; ro.InForceSince().Before(begin) && time.Since(begin) < time.Minute; i++ {
			ts.hints <- membership.RevisionHint{Revision: 4, Address: addresses[i%len(addresses)]}
			time.Sleep(300 * time.Millisecond)
		}
		if took := ro.InForceSince().Sub(begin); took > limit {
			t.Errorf("in force %v after the first hint, want at most %v", took, limit)
		}
		cancel()
		<-done
	})
}
