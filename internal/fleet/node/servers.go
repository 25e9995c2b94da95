package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"camphortrail/internal/traffic/connlimit"
	"camphortrail/internal/traffic/inflight"
)

// namedServer is a server with its listener and the name that it has in logs.
type namedServer struct {
	Server
	name     string
	listener net.Listener
}

// servers returns the servers for callers, peers, the local address and the additional
// endpoints. Peers may use HTTP/2 without TLS.
func (nd *Node) servers() []namedServer {
	var h2c http.Protocols
	h2c.SetHTTP1(true)
	h2c.SetUnencryptedHTTP2(true)
	var callerServer Server = &http.Server{Handler: nd.entry}
	if nd.opt.NewCallerServer != nil {
		callerServer = nd.opt.NewCallerServer(nd)
	}
	peerServer := newServer(nd.peerHandler())
	peerServer.Protocols = &h2c
	servers := []namedServer{
		{callerServer, "callers", nd.callerListener},
		{peerServer, "peers", nd.peerListener},
		{newServer(nd.localHandler()), "local", nd.localListener},
	}
	for i, ln := range nd.endpointListeners {
		sv := newServer(nd.opt.Endpoints[i].Handler(nd))
		sv.ReadTimeout = endpointReadTimeout
		connlimit.Limit(sv.Server, connlimit.DefaultMax)
		servers = append(servers, namedServer{sv, "endpoint " + ln.Addr().String(), ln})
	}
	return servers
}

// endpointReadTimeout bounds the time to read a request to an additional endpoint.
const endpointReadTimeout = 10 * time.Second

// flushTimeout bounds the time in which an internalServer writes its last answers and closes
// its connections.
const flushTimeout = 100 * time.Millisecond

// internalServer serves short requests of other processes of the deployment, which repeat them
// elsewhere if need be. Its Shutdown waits for requests, and not for the connections: an HTTP/2
// client may take a second to close its connection, and one that is cut off never does.
type internalServer struct {
	*http.Server
	active inflight.Counter
}

// newServer returns a server for short requests. It bounds what a faulty client can make it
// keep: heads of requests, and connections that send none.
func newServer(handler http.Handler) *internalServer {
	is := new(internalServer)
	is.Server = &http.Server{MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: readHeaderTimeout, Handler: http.HandlerFunc(
		func(w http.ResponseWriter, r *http.Request) {
			is.active.Enter()
			defer is.active.Exit()
			handler.ServeHTTP(w, r)
		},
	)}
	return is
}

// StopListening closes the listener. Requests on open connections are still served.
func (is *internalServer) StopListening() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = is.Server.Shutdown(ctx)
}

// Shutdown stops listening, waits until all requests are answered or ctx ends, and closes all
// connections. It returns the error of ctx.
func (is *internalServer) Shutdown(ctx context.Context) error {
	is.StopListening()
	err := is.active.Wait(ctx)
	flushCtx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	_ = is.Server.Shutdown(flushCtx)
	_ = is.Close()
	return err
}
