// Package link exchanges frames between two nodes. Many attempts and their answers share
// one TCP connection. On the wire, a frame is its length as a 4-byte big-endian integer and
// then a protobuf message. Between nodes that both support it, large frames are sent in pieces,
// and smaller ones go between them (see pieces.go). The connection starts as an HTTP/1.1 upgrade (RFC 9110, section
// 7.8), so that it needs no port of its own.
package link

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"camphortrail/internal/traffic/buffer"
	"camphortrail/internal/traffic/header"
	"camphortrail/schema"
)

// Path is the URL path at which a node accepts links.
const Path = "/attempts"

const (
	// protocol is the value of the Upgrade header.
	protocol = "camphortrail-attempts"
	// readBufferBytes is the size of the read buffer of one end of a link. The frames of
	// most attempts fit. Larger ones are read into separately allocated memory. Each pair
	// of connected nodes has two such buffers.
	readBufferBytes = 8 << 10
	// lengthPrefixBytes is the size of the length that precedes a frame.
	lengthPrefixBytes = 4
	// maxFrameBytes bounds the size of a frame. A configuration allows bodies of 64 MiB.
	maxFrameBytes = 80 << 20
	// maxUpgradeHeadBytes bounds the answer to the request for an upgrade. Another process
	// than a node may be at the address.
	maxUpgradeHeadBytes = 16 << 10
	// maxQueuedBytes is the size of the send queue above which further frames are rejected.
	// It bounds the memory that a peer can occupy by not reading.
	maxQueuedBytes = 32 << 20
	// deadlineRenewals is the number of times that the read deadline is renewed within
	// the idle time of Receive, so that most calls don't set a deadline.
	deadlineRenewals = 4
	// framesHeader is a header of the upgrade request and of its answer. It names the
	// extensions of the frame format that the sender supports. headerBlocksToken states
	// that it can read headers as blocks; see header.ParseBlock.
	framesHeader      = header.Prefix + "Frames"
	headerBlocksToken = "header-blocks"
	// upgradeTimeout bounds the time to dial the peer, and separately the time of the
	// upgrade.
	upgradeTimeout = time.Second
)

var (
	// ErrClosed is returned for a link that was closed or whose connection failed.
	ErrClosed = errors.New("link: closed")
	// ErrFull is returned when the send queue holds more than maxQueuedBytes.
	ErrFull = errors.New("link: send queue is full")
	// ErrIdle is returned when nothing was received for the given time. The link stays
	// open.
	ErrIdle = errors.New("link: nothing received")
	// ErrRefused is returned when the other end does not agree to the upgrade or does not
	// request it, as a peer that is not a node does.
	ErrRefused = errors.New("link: upgrade refused")
	// ErrMalformed is returned for bytes that are not a frame. The link can't be used
	// after it.
	ErrMalformed = errors.New("link: malformed frame")
)

// DialFunc opens a connection, with the arguments of net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Link is one end of a connection between two nodes. Its methods are safe for concurrent
// use, except that only one goroutine may call Receive.
type Link struct {
	br *bufio.Reader
	// deadlineSet is the time at which the read deadline was last renewed.
	deadlineSet  time.Time
	writeStarted atomic.Bool
	// headerBlocks is true when the peer can read headers as blocks.
	headerBlocks atomic.Bool
	// pieces says whether the peer can read frames in pieces. partial holds the pieces of a frame
	// that have been received.
	pieces  atomic.Int32
	partial []byte
	// ready is closed when nc is set or the link has failed.
	ready chan struct{}
	// wake receives a value when unsent or shuttingDown changed.
	wake chan struct{}
	// done is closed when the link closes.
	done chan struct{}
	// writerDone is closed when nothing more will be written.
	writerDone chan struct{}

	mu sync.Mutex
	nc net.Conn
	// unsent holds the encoded frames of the send queue, and spare an empty buffer for the
	// next ones.
	unsent []byte
	spare  []byte
	// large holds the queued frames that are sent in pieces.
	large  largeQueue
	closed bool
	// quota bounds the send queue beyond freeQueueBytes, and quotaTaken is what the queue takes of
	// it.
	quota      *Quota
	quotaTaken int64
	// writing is the number of bytes that are being written.
	writing int
	// shuttingDown is true when the link closes as soon as unsent is empty.
	shuttingDown bool
}

func newLink() *Link {
	return &Link{
		ready: make(chan struct{}), wake: make(chan struct{}, 1),
		done: make(chan struct{}), writerDone: make(chan struct{}),
	}
}

// Open returns a link to the node at the address. Send can be used at once; the frames are
// written when the connection is established. If that fails, the link closes.
func Open(dial DialFunc, address string) *Link {
	lk := newLink()
	go lk.connect(dial, address)
	return lk
}

// connect dials the address, upgrades the connection, and then writes the queued frames.
func (lk *Link) connect(dial DialFunc, address string) {
	ctx, stop := context.WithTimeout(context.Background(), upgradeTimeout)
	nc, err := dial(ctx, "tcp", address)
	stop()
	if err == nil {
		err = lk.upgrade(nc, address)
	}
	if err != nil {
		lk.Close()
		close(lk.ready)
		close(lk.writerDone)
		return
	}
	lk.writeLoop(nc)
}

// upgrade requests the frame protocol from the peer. It returns ErrRefused if the peer does
// not agree.
func (lk *Link) upgrade(nc net.Conn, address string) error {
	_ = nc.SetDeadline(time.Now().Add(upgradeTimeout))
	_, err := io.WriteString(nc, "GET "+Path+" HTTP/1.1\r\nHost: "+address+"\r\nConnection: Upgrade\r\nUpgrade: "+protocol+
		"\r\n"+framesHeader+": "+headerBlocksToken+"\r\n"+piecesHeader+": "+piecesToken+"\r\n\r\n")
	heads := buffer.NewHeadReader(nc, ErrMalformed)
	heads.BeginHead(maxUpgradeHeadBytes, nil)
	lk.br = bufio.NewReaderSize(heads, readBufferBytes)
	var res *http.Response
	if err == nil {
		res, err = http.ReadResponse(lk.br, nil)
	}
	if err == nil && res.StatusCode != http.StatusSwitchingProtocols {
		err = errors.Wrap(ErrRefused, res.Status)
	}
	if err != nil {
		_ = nc.Close()
		return err
	}
	heads.EndHead()
	lk.headerBlocks.Store(res.Header.Get(framesHeader) == headerBlocksToken)
	lk.setPieces(res.Header)
	return nc.SetDeadline(time.Time{})
}

// Accept upgrades a request to a link. It answers a request that does not ask for a link
// with status 426 and returns ErrRefused.
func Accept(w http.ResponseWriter, r *http.Request) (*Link, error) {
	if r.Header.Get("Upgrade") != protocol {
		w.Header().Set("Upgrade", protocol)
		w.WriteHeader(http.StatusUpgradeRequired)
		return nil, ErrRefused
	}
	nc, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return nil, errors.Wrap(err, "link")
	}
	lk := newLink()
	lk.headerBlocks.Store(r.Header.Get(framesHeader) == headerBlocksToken)
	lk.setPieces(r.Header)
	lk.br = bufio.NewReaderSize(io.MultiReader(bufferedInput(rw.Reader), nc), readBufferBytes)
	lk.unsent = append(lk.unsent, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: "+protocol+
		"\r\n"+framesHeader+": "+headerBlocksToken+"\r\n"+piecesHeader+": "+piecesToken+"\r\n\r\n"...)
	lk.wake <- struct{}{}
	go lk.writeLoop(nc)
	<-lk.ready
	return lk, nil
}

// bufferedInput returns the bytes that the HTTP server has read beyond the request.
func bufferedInput(br *bufio.Reader) io.Reader {
	ahead, _ := br.Peek(br.Buffered())
	return bytes.NewReader(bytes.Clone(ahead))
}

// writeLoop writes the queued frames to the connection until the link closes.
func (lk *Link) writeLoop(nc net.Conn) {
	defer close(lk.writerDone)
	lk.mu.Lock()
	lk.nc = nc
	if !lk.shuttingDown {
		limitUnsent(nc, maxUnsentBytes)
	}
	closed := lk.closed
	lk.mu.Unlock()
	close(lk.ready)
	if closed {
		_ = nc.Close()
		return
	}
	for {
		select {
		case <-lk.wake:
		case <-lk.done:
			return
		}
		if !lk.flush() {
			return
		}
	}
}

// flush writes the queued frames. Frames of several senders share one write, with at most one
// piece of a large frame. It returns false when the link is closed or, during Shutdown, when all
// frames are written.
func (lk *Link) flush() bool {
	for {
		lk.mu.Lock()
		if lk.closed {
			lk.mu.Unlock()
			return false
		}
		unsent, piece := lk.unsent, lk.large.nextPiece(lk.pieces.Load() == piecesUnsupported)
		if len(unsent) == 0 && piece.empty() {
			shuttingDown := lk.shuttingDown
			lk.mu.Unlock()
			if shuttingDown {
				lk.Close()
			}
			return !shuttingDown
		}
		lk.unsent, lk.spare = lk.spare[:0], nil
		lk.writeStarted.Store(true)
		lk.writing = len(unsent) + len(piece.data)
		lk.mu.Unlock()
		if err := piece.write(lk.nc, unsent); err != nil {
			lk.Close()
			return false
		}
		lk.mu.Lock()
		lk.writing = 0
		lk.returnQuota()
		if cap(unsent) <= readBufferBytes {
			lk.spare = unsent
		}
		lk.mu.Unlock()
	}
}

// SupportsHeaderBlocks reports whether the peer can read headers as blocks. It returns false
// until the connection is established, so that earlier frames hold headers as fields.
func (lk *Link) SupportsHeaderBlocks() bool { return lk.headerBlocks.Load() }

// MayHaveSent reports whether any byte of a frame may have reached the peer. If not, no
// attempt on the link has run.
func (lk *Link) MayHaveSent() bool { return lk.writeStarted.Load() }

// Send queues a frame and returns without waiting until it is written. If it returns an
// error, no byte of the frame is sent.
func (lk *Link) Send(fr *schema.Frame) error {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	switch {
	case lk.closed || lk.shuttingDown:
		return ErrClosed
	case len(lk.unsent)+lk.large.bounded() > maxQueuedBytes:
		return ErrFull
	}
	length := fr.SizeVT()
	if err := lk.reserve(lengthPrefixBytes + length); err != nil {
		return err
	}
	if lk.goesInPieces(fr, length) {
		return lk.sendLarge(fr, length)
	}
	at := len(lk.unsent)
	unsent := binary.BigEndian.AppendUint32(slices.Grow(lk.unsent, length+lengthPrefixBytes), uint32(length))
	unsent = unsent[:at+lengthPrefixBytes+length]
	if _, err := fr.MarshalToSizedBufferVT(unsent[at+lengthPrefixBytes:]); err != nil {
		return errors.Wrap(err, "link")
	}
	lk.unsent = unsent
	lk.wakeWriter()
	return nil
}

// wakeWriter makes the writer look at the send queue.
func (lk *Link) wakeWriter() {
	select {
	case lk.wake <- struct{}{}:
	default:
	}
}

// Receive returns the next frame. It returns ErrIdle if no frame starts for about the given
// time, and ErrClosed or ErrMalformed if the link can't be used any more. ErrIdle may be
// returned earlier by up to 1/deadlineRenewals of that time.
func (lk *Link) Receive(idle time.Duration) (*schema.Frame, error) {
	<-lk.ready
	lk.mu.Lock()
	nc := lk.nc
	lk.mu.Unlock()
	if nc == nil {
		return nil, ErrClosed
	}
	for {
		if now := time.Now(); now.Sub(lk.deadlineSet) > idle/deadlineRenewals {
			lk.deadlineSet = now
			_ = nc.SetReadDeadline(now.Add(idle))
		}
		if _, err := lk.br.Peek(1); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				lk.deadlineSet = time.Time{}
				return nil, ErrIdle
			}
			return nil, errors.Wrap(ErrClosed, err.Error())
		}
		if fr, err := lk.readFrame(); fr != nil || err != nil {
			return fr, err
		}
	}
}

// readFrame reads one frame, and waits until the whole frame has arrived. It returns nil after a
// piece of a frame that is not the last one.
func (lk *Link) readFrame() (*schema.Frame, error) {
	prefix, err := lk.br.Peek(lengthPrefixBytes)
	if err != nil {
		return nil, errors.Wrap(ErrClosed, err.Error())
	}
	length := binary.BigEndian.Uint32(prefix)
	_, _ = lk.br.Discard(lengthPrefixBytes)
	if length&pieceFlag != 0 {
		return lk.readPiece(length)
	}
	if length > maxFrameBytes {
		return nil, errors.Wrapf(ErrMalformed, "%d bytes", length)
	}
	data, err := lk.readBytes(int(length))
	if err != nil {
		return nil, errors.Wrap(ErrClosed, err.Error())
	}
	return decode(data)
}

// decode returns the frame that the data hold.
func decode(data []byte) (*schema.Frame, error) {
	fr := new(schema.Frame)
	// The strings and bytes of the frame refer to the data, so that they need no allocations of
	// their own. The data must therefore not be in the read buffer.
	if err := fr.UnmarshalVTUnsafe(data); err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	return fr, nil
}

// readBytes returns the next length bytes in memory of their own.
func (lk *Link) readBytes(length int) ([]byte, error) {
	if length <= lk.br.Size() {
		data := make([]byte, length)
		_, err := io.ReadFull(lk.br, data)
		return data, err
	}
	// The buffer grows with the bytes that arrive, so that a false length can't make it
	// allocate up to maxFrameBytes.
	var buf bytes.Buffer
	_, err := io.CopyN(&buf, lk.br, int64(length))
	return buf.Bytes(), err
}

// Close closes the link at once. Queued frames are lost.
func (lk *Link) Close() {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	lk.close()
}

// CloseUnsent closes the link if no byte of any frame was sent, and reports whether that is so.
// None is sent afterwards.
func (lk *Link) CloseUnsent() bool {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	if lk.writeStarted.Load() {
		return false
	}
	lk.close()
	return true
}

// close closes the link at once. lk.mu must be held.
func (lk *Link) close() {
	if lk.closed {
		return
	}
	lk.closed = true
	lk.quota.give(lk.quotaTaken)
	lk.quotaTaken = 0
	close(lk.done)
	if lk.nc != nil {
		_ = lk.nc.Close()
	}
}

// Shutdown rejects further frames, and closes the link when all queued frames are written
// or ctx ends.
func (lk *Link) Shutdown(ctx context.Context) {
	lk.mu.Lock()
	lk.shuttingDown = true
	if lk.nc != nil {
		// Nothing is left to go before what is queued, so the kernel may take all of it at once.
		limitUnsent(lk.nc, 0)
	}
	lk.mu.Unlock()
	lk.wakeWriter()
	select {
	case <-lk.writerDone:
	case <-ctx.Done():
	}
	lk.Close()
}
