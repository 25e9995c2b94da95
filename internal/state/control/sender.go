package control

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"camphortrail/internal/traffic/peer"
	"camphortrail/queue"
	"camphortrail/quorum"
	"camphortrail/schema"
	"camphortrail/schema/schemaconnect"
)

const (
	// exchangeTimeout bounds one exchange with another replica, including the connect.
	exchangeTimeout = 200 * time.Millisecond
	// maxExchangeMessages and maxExchangeBytes bound the messages of one exchange. The last
	// message may exceed the bytes.
	maxExchangeMessages = 64
	maxExchangeBytes    = 1 << 20
)

// sender sends messages to one other replica. Messages that cannot be sent are dropped; the
// replicated log resends those that matter.
type sender struct {
	co        *Control
	id        quorum.Replica
	messages  *queue.Queue[quorum.Message]
	transport *http.Transport
	client    schemaconnect.ControlClient
	reachable bool

	// mu guards conns, the open connections.
	mu    sync.Mutex
	conns []net.Conn
}

func newSender(co *Control, id quorum.Replica, address string) *sender {
	se := &sender{
		co: co, id: id, reachable: true,
		messages: queue.New[quorum.Message](sendQueueSize),
	}
	se.transport = peer.NewTransport()
	se.transport.DialContext = se.dial
	var rt http.RoundTripper = se.transport
	if co.opt.wrapTransport != nil {
		rt = co.opt.wrapTransport(id, rt)
	}
	se.client = schemaconnect.NewControlClient(&http.Client{Transport: rt}, "http://"+address)
	return se
}

// dial opens a connection and records it for disconnect.
func (se *sender) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := se.co.opt.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	se.mu.Lock()
	defer se.mu.Unlock()
	se.conns = append(se.conns, conn)
	return conn, nil
}

// disconnect closes all connections.
func (se *sender) disconnect() {
	se.mu.Lock()
	defer se.mu.Unlock()
	for _, conn := range se.conns {
		_ = conn.Close()
	}
	se.conns = nil
}

// run sends messages until ctx ends.
func (se *sender) run(ctx context.Context) error {
	defer se.disconnect()
	defer se.transport.CloseIdleConnections()
	for {
		msg, err := se.messages.Take(ctx)
		if err != nil {
			return err
		}
		se.send(ctx, se.collect(msg))
	}
}

// collect returns a request with msg and the messages that are already queued, within the
// bounds of one exchange.
func (se *sender) collect(msg quorum.Message) *schema.ExchangeRequest {
	request := &schema.ExchangeRequest{Deployment: se.co.set.GetDeployment(), From: string(se.co.id)}
	for bytes := 0; ; {
		qm := quorum.Encode(msg)
		request.Messages = append(request.Messages, qm)
		bytes += len(qm.GetSnapshot())
		for _, le := range qm.GetEntries() {
			bytes += len(le.GetData())
		}
		if len(request.Messages) == maxExchangeMessages || bytes > maxExchangeBytes {
			return request
		}
		select {
		case msg = <-se.messages.Out():
		default:
			return request
		}
	}
}

// send sends a request. After a failure it closes the connection, which may be broken without
// an error, so that the next request uses a new one.
func (se *sender) send(ctx context.Context, request *schema.ExchangeRequest) {
	limit, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	_, err := se.client.Exchange(limit, connect.NewRequest(request))
	if ctx.Err() != nil {
		return
	}
	if reachable := err == nil; reachable != se.reachable {
		se.reachable = reachable
		lg := se.co.log.WithField("replica", string(se.id))
		if reachable {
			lg.Info("replica answers")
		} else {
			lg.WithError(err).Warn("replica does not answer")
		}
	}
	if err != nil {
		se.co.metrics.failed.Inc()
		se.disconnect()
	}
}
