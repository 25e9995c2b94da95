package control

import (
	"net/http"
	"testing"

	"camphortrail/internal/lab/standin"
	"camphortrail/quorum"
)

// maxFailedCalls is well above the one or two calls that fail on each silent connection, and
// below the number of streams after which HTTP/2 itself abandons a connection.
const maxFailedCalls = 200

// TestSilentConnectionsAreReplaced makes all connections between the replicas silent
// permanently, without closing them. Pings and the idle timeout are off, so that only the
// senders can detect it.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	t.Parallel()
	ws := new(standin.Dialer)
	fl := newFleetWith(t, 3, Options{dial: ws.Dial, wrapTransport: func(_ quorum.Replica, rt http.RoundTripper) http.RoundTripper {
		transport := rt.(*http.Transport)
		transport.HTTP2, transport.IdleConnTimeout = nil, 0
		return transport
	}})
	for version := uint64(1); version <= 3; version++ {
		fl.mustAccept(configuration(version, "cassa"))
		if ws.Silence(true, true) == 0 {
			t.Fatal("no connection to make silent")
		}
	}
	fl.mustAccept(configuration(4, "cassa"))
	failed := uint64(0)
	for _, co := range fl.controls {
		failed += co.metrics.failed.Get()
	}
	if failed > maxFailedCalls {
		t.Fatalf("%d calls failed, want at most %d", failed, maxFailedCalls)
	}
}
