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
	// maxDatagramBytes is larger than any datagram that the state machine sends.
	maxDatagramBytes = 2048
	// readErrorPause is the delay after a read error. It prevents a socket that fails
	// repeatedly from using up a processor.
	readErrorPause = 100 * time.Millisecond
)

// readDatagrams puts received datagrams into the inbox until ctx ends. It returns an
// error only if the connection is closed before.
func (gs *Gossip) readDatagrams(ctx context.Context) error {
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
			gs.counters.readErrors.Inc()
			pause(ctx, readErrorPause)
			continue
		}
		gs.counters.bytesReceived.Add(n)
		gs.enqueueDatagram(buf[:n])
	}
}

// enqueueDatagram decodes a datagram and puts it into the inbox. It counts and drops the
// datagram if it is malformed or the inbox is full.
func (gs *Gossip) enqueueDatagram(data []byte) {
	dg := new(schema.Datagram)
	if err := proto.Unmarshal(data, dg); err != nil {
		gs.counters.refusedEncoding.Inc()
		return
	}
	if !gs.inbox.Offer(dg) {
		gs.counters.refusedFull.Inc()
	}
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// datagramEncoder encodes datagrams. It reuses the encoding of the last one, because the
// same datagram is often sent to several members.
type datagramEncoder struct {
	conn net.PacketConn
	last *schema.Datagram
	data []byte
}

// encode returns the encoding of dg, which is valid until the next call.
func (de *datagramEncoder) encode(dg *schema.Datagram) (data []byte, err error) {
	if dg == de.last {
		return de.data, nil
	}
	de.last = nil
	if de.data, err = (proto.MarshalOptions{}).MarshalAppend(de.data[:0], dg); err != nil {
		return nil, err
	}
	de.last = dg
	return de.data, nil
}

// send sends a datagram. If it cannot be sent, it is counted and treated as lost.
func (gs *Gossip) send(sd membership.SendDatagram) {
	data, err := gs.encoder.encode(sd.Datagram)
	if err == nil {
		_, err = gs.conn.WriteTo(data, net.UDPAddrFromAddrPort(sd.Address))
	}
	if err != nil {
		gs.counters.sendErrors.Inc()
		return
	}
	gs.counters.bytesSent.Add(len(data))
}
