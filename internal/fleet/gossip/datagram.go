package gossip

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"camphortrail/membership"
	"camphortrail/schema"
)

const (
	// maxDatagramBytes is more than a machine ever sends.
	maxDatagramBytes = 2048
	// readErrorPause keeps a socket that fails over and over from using up a
	// processor.
	readErrorPause = 100 * time.Millisecond
)

// read puts the datagrams that arrive into the inbox until ctx ends.
func (gs *Gossip) read(ctx context.Context) error {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, _, err := gs.conn.ReadFrom(buf)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return errors.Wrap(err, "gossip: read")
		}
		if err != nil {
			gs.counts.readErrors.Inc()
			pause(ctx, readErrorPause)
			continue
		}
		gs.counts.bytesReceived.Add(n)
		gs.accept(buf[:n])
	}
}

// accept decodes one datagram.
func (gs *Gossip) accept(data []byte) {
	dg := new(schema.Datagram)
	if err := proto.Unmarshal(data, dg); err != nil {
		gs.counts.refusedEncoding.Inc()
		return
	}
	if !gs.inbox.Offer(dg) {
		gs.counts.refusedFull.Inc()
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// sender encodes datagrams, and those that go to several members only once.
type sender struct {
	conn net.PacketConn
	last *schema.Datagram
	data []byte
}

func (sn *sender) encode(dg *schema.Datagram) (data []byte, err error) {
	if dg == sn.last {
		return sn.data, nil
	}
	sn.last = nil
	if sn.data, err = (proto.MarshalOptions{}).MarshalAppend(sn.data[:0], dg); err != nil {
		return nil, err
	}
	sn.last = dg
	return sn.data, nil
}

// send sends a datagram. One that cannot be sent counts as lost.
func (gs *Gossip) send(sd membership.SendDatagram) {
	data, err := gs.out.encode(sd.Datagram)
	if err == nil {
		_, err = gs.conn.WriteTo(data, net.UDPAddrFromAddrPort(sd.Address))
	}
	if err != nil {
		gs.counts.sendErrors.Inc()
		return
	}
	gs.counts.bytesSent.Add(len(data))
}
