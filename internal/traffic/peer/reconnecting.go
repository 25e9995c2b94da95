package peer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
)

// ReconnectingTransport is an http.RoundTripper for calls between processes of the system.
// After a call fails or times out, the next call to the same address uses a new connection,
// because the old one may have stopped delivering data. It is safe for concurrent use.
type ReconnectingTransport struct {
	dial DialFunc

	mu sync.Mutex
	// transports holds the current transport for each host and port.
	transports map[string]*http.Transport
}

// NewReconnectingTransport returns a ReconnectingTransport that opens connections with dial.
// If dial is nil, it uses a net.Dialer with a timeout of dialTimeout.
func NewReconnectingTransport(dial DialFunc) *ReconnectingTransport {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &ReconnectingTransport{dial: dial, transports: make(map[string]*http.Transport)}
}

// RoundTrip sends a request on the current connection to its address. A request that its
// sender cancels does not replace the connection.
func (rt *ReconnectingTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	tr := rt.transport(req.URL.Host)
	res, err := tr.RoundTrip(req)
	if err != nil && !errors.Is(err, context.Canceled) {
		rt.discard(req.URL.Host, tr)
	}
	return res, err
}

// transport returns the current transport for the host.
func (rt *ReconnectingTransport) transport(host string) *http.Transport {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	tr := rt.transports[host]
	if tr == nil {
		tr = newTransport(rt.dial)
		rt.transports[host] = tr
	}
	return tr
}

// discard makes the next request to the host use a new connection. Requests on the old
// one continue.
func (rt *ReconnectingTransport) discard(host string, tr *http.Transport) {
	rt.mu.Lock()
	if rt.transports[host] == tr {
		delete(rt.transports, host)
	}
	rt.mu.Unlock()
	tr.CloseIdleConnections()
}

// CloseIdleConnections closes the current connections that carry no request.
func (rt *ReconnectingTransport) CloseIdleConnections() {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	for _, tr := range rt.transports {
		tr.CloseIdleConnections()
	}
}
