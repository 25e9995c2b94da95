package peer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
)

// ReconnectingTransport is a transport for calls between processes that takes a new
// connection to an address after a call on the old one has failed or timed
// out: the old one may have gone silent. It is safe for concurrent use.
type ReconnectingTransport struct {
	dial DialFunc

	mu         sync.Mutex
	transports map[string]*http.Transport
}

// NewReconnectingTransport returns a Renewer that opens connections by dial, or as package
// net does if dial is nil.
func NewReconnectingTransport(dial DialFunc) *ReconnectingTransport {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &ReconnectingTransport{dial: dial, transports: make(map[string]*http.Transport)}
}

// RoundTrip sends a request on the connection to its address.
func (rt *ReconnectingTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	tr := rt.transport(req.URL.Host)
	res, err := tr.RoundTrip(req)
	if err != nil && !errors.Is(err, context.Canceled) {
		rt.discard(req.URL.Host, tr)
	}
	return res, err
}

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

// discard makes the next request to the host take a new connection. Requests
// on the old one go on.
func (rt *ReconnectingTransport) discard(host string, tr *http.Transport) {
	rt.mu.Lock()
	if rt.transports[host] == tr {
		delete(rt.transports, host)
	}
	rt.mu.Unlock()
	tr.CloseIdleConnections()
}

// CloseIdleConnections closes the connections that carry no request.
func (rt *ReconnectingTransport) CloseIdleConnections() {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	for _, tr := range rt.transports {
		tr.CloseIdleConnections()
	}
}
