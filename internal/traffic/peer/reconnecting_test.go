package peer

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"
)

// A call on a connection that stopped delivering data times out. The next call must succeed
// on a new connection.
func TestTransportReplacesSilentConnection(t *testing.T) {
	ts := newTestSetup(t)
	client := &http.Client{Transport: NewReconnectingTransport(ts.wires.Dial)}
	defer client.CloseIdleConnections()
	get := func(timeout time.Duration) error {
		ctx, stop := context.WithTimeout(t.Context(), timeout)
		defer stop()
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+ts.address+"/else", nil)
		if err != nil {
			t.Fatal(err)
		}
		res, err := client.Do(req)
		if err != nil {
			return err
		}
		return res.Body.Close()
	}
	if err := get(20 * time.Second); err != nil {
		t.Fatal(err)
	}
	ts.wires.Silence(true, true)
	if err := get(100 * time.Millisecond); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("call on a silent connection: %v, want deadline exceeded", err)
	}
	if err := get(4 * time.Second); err != nil {
		t.Fatalf("call after it: %v", err)
	}
}

// TestSilentConnectionsDelayNoFetch guards against a configuration that comes late as the fetch waits on
// a connection that was kept, and that went silent in a partition.
func TestSilentConnectionsDelayNoFetch(t *testing.T) {
	ts := newTestSetup(t)
	client := &http.Client{Transport: NewSingleUseTransport(ts.wires.Dial)}
	for range 3 {
		ctx, stop := context.WithTimeout(t.Context(), 20*time.Second)
		defer stop()
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+ts.address+"/else", nil)
		if err != nil {
			t.Fatal(err)
		}
		res, err := client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		if err := res.Body.Close(); err != nil {
			t.Fatal(err)
		}
		ts.wires.Silence(true, true)
	}
}
