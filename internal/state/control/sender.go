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
	exchangeTimeout = 200 * time.Millisecond
	// maxExchangeMessages and maxExchangeBytes bound what is sent at once.
	maxExchangeMessages = 64
	maxExchangeBytes    = 1 << 20
)

// sender sends messages to one other replica. What can't be sent is dropped;
// the replicated log repeats what matters.
type sender struct {
	co        *Control
	id        quorum.Replica
	messages  *queue.Queue[quorum.Message]
	transport *http.Transport
	client    schemaconnect.ControlClient
	reachable bool

	// mu guards conns, the connections in use.
	mu    sync.Mutex
	conns []net.Conn
}

func newSender(co *Control, id quorum.Replica, address string) *sender {
	se := &sender{
		co: co, id: id, reachable: true,
		messages: queue.New[quorum.Message](sendRingSize),
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

// disconnect closes the connections in use.
func (se *sender) disconnect() {
	se.mu.Lock()
	defer se.mu.Unlock()
	for _, conn := range se.conns {
		_ = conn.Close()
	}
	se.conns = nil
}

func (se *sender) run(ctx context.Context) error {
	defer se.disconnect()
	defer se.transport.CloseIdleConnections()
	for {
		msg, err := se.messages.Take(ctx)
		if err != nil {
			return err
		}
		se.exchange(ctx, se.collect(msg))
	}
}

// collect adds the messages that wait already.
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

// exchange sends a request. After a failure the next one uses another
// connection, since this one may have gone silent for good.
func (se *sender) exchange(ctx context.Context, request *schema.ExchangeRequest) {
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
