// Package link carries frames between two nodes: many attempts and their
// answers on one TCP connection. A frame is a protobuf message behind its
// length in four bytes, big-endian. The connection begins as an HTTP/1.1
// upgrade (RFC 9110, section 7.8), so that it needs no port of its own.
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

	"camphortrail/internal/traffic/header"
	"camphortrail/schema"
)

// Path is where a node takes links.
const Path = "/attempts"

const (
	protocol = "camphortrail-attempts"
	// readBufferBytes holds the frames of most attempts; larger ones are read into
	// memory of their own. Each pair of nodes that talk has two.
	readBufferBytes = 8 << 10
	// lengthPrefixBytes is the size of the length before a frame.
	lengthPrefixBytes = 4
	// maxFrameBytes bounds a frame, in bytes. The bounds of the configuration are
	// far lower.
	maxFrameBytes = 1 << 30
	// maxQueuedBytes bounds the frames that wait to be written, in bytes. A peer
	// that reads nothing for long holds no more memory than that.
	maxQueuedBytes = 32 << 20
	// deadlineRenewals is how often the deadline of reading is renewed within
	// the time for which nothing may be received.
	deadlineRenewals = 4
	// framesHeader tells in the upgrade and in the answer to it what a node knows of
	// frames beyond those of the first version, and blocks that it knows blocks of
	// headers.
	framesHeader      = header.Prefix + "Frames"
	headerBlocksToken = "header-blocks"
	// upgradeTimeout bounds the time from the dial until the peer has agreed.
	upgradeTimeout = time.Second
)

var (
	// ErrClosed is returned for a link that was closed, or broke.
	ErrClosed = errors.New("link: closed")
	// ErrFull is returned when too much waits to be written.
	ErrFull = errors.New("link: too much waits to be written")
	// ErrIdle is returned when nothing was received for the given time. The
	// link goes on.
	ErrIdle = errors.New("link: nothing received")
	// ErrRefused is returned when the peer is no node.
	ErrRefused = errors.New("link: upgrade refused")
	// ErrMalformed is returned for bytes that are no frame. The link is broken
	// then.
	ErrMalformed = errors.New("link: malformed frame")
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Link is one end of a connection. Its methods are safe for concurrent use,
// but only one goroutine may receive.
type Link struct {
	br *bufio.Reader
	// deadlineSet is when the deadline of reading was renewed last.
	deadlineSet  time.Time
	writeStarted atomic.Bool
	// headerBlocks says that the peer knows headerBlocks of headers.
	headerBlocks atomic.Bool
	// ready is closed when nc is there, or the link has failed.
	ready chan struct{}
	wake  chan struct{}
	// done is closed with the link.
	done chan struct{}
	// writerDone is closed when nothing more is writerDone.
	writerDone chan struct{}

	mu     sync.Mutex
	nc     net.Conn
	unsent []byte
	spare  []byte
	closed bool
	// shuttingDown says that the link is to close once all is written.
	shuttingDown bool
}

func newLink() *Link {
	return &Link{
		ready: make(chan struct{}), wake: make(chan struct{}, 1),
		done: make(chan struct{}), writerDone: make(chan struct{}),
	}
}

// Open returns a link to the node at the address. Frames are taken at once,
// and written when the connection is there.
func Open(dial DialFunc, address string) *Link {
	lk := newLink()
	go lk.connect(dial, address)
	return lk
}

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

// upgrade asks the peer to speak frames.
func (lk *Link) upgrade(nc net.Conn, address string) error {
	_ = nc.SetDeadline(time.Now().Add(upgradeTimeout))
	_, err := io.WriteString(nc, "GET "+Path+" HTTP/1.1\r\nHost: "+address+"\r\nConnection: Upgrade\r\nUpgrade: "+protocol+
		"\r\n"+framesHeader+": "+headerBlocksToken+"\r\n\r\n")
	lk.br = bufio.NewReaderSize(nc, readBufferBytes)
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
	lk.headerBlocks.Store(res.Header.Get(framesHeader) == headerBlocksToken)
	return nc.SetDeadline(time.Time{})
}

// Accept turns a request for a link into one. It answers any other request
// itself.
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
	lk.br = bufio.NewReaderSize(io.MultiReader(bufferedInput(rw.Reader), nc), readBufferBytes)
	lk.unsent = append(lk.unsent, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: "+protocol+
		"\r\n"+framesHeader+": "+headerBlocksToken+"\r\n\r\n"...)
	lk.wake <- struct{}{}
	go lk.writeLoop(nc)
	<-lk.ready
	return lk, nil
}

// bufferedInput returns what the HTTP server has read beyond the request.
func bufferedInput(br *bufio.Reader) io.Reader {
	ahead, _ := br.Peek(br.Buffered())
	return bytes.NewReader(bytes.Clone(ahead))
}

// writeLoop writes what is sent until the link closes.
func (lk *Link) writeLoop(nc net.Conn) {
	defer close(lk.writerDone)
	lk.mu.Lock()
	lk.nc = nc
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

// flush writes all frames that wait, those of several senders at once. It
// returns false when the link is closed.
func (lk *Link) flush() bool {
	for {
		lk.mu.Lock()
		unsent := lk.unsent
		if len(unsent) == 0 {
			finishing := lk.shuttingDown
			lk.mu.Unlock()
			if finishing {
				lk.Close()
			}
			return !finishing
		}
		lk.unsent, lk.spare = lk.spare[:0], nil
		lk.mu.Unlock()
		lk.writeStarted.Store(true)
		if _, err := lk.nc.Write(unsent); err != nil {
			lk.Close()
			return false
		}
		lk.mu.Lock()
		if cap(unsent) <= readBufferBytes {
			lk.spare = unsent
		}
		lk.mu.Unlock()
	}
}

// SupportsHeaderBlocks reports whether the peer is known to read headers as blocks. Frames that are
// sent before the connection is there must hold them as fields.
func (lk *Link) SupportsHeaderBlocks() bool { return lk.headerBlocks.Load() }

// MayHaveSent reports whether bytes of frames may have left.
func (lk *Link) MayHaveSent() bool { return lk.writeStarted.Load() }

// Send queues a frame and does not wait until it is written. With an error,
// nothing of it is sent.
func (lk *Link) Send(fr *schema.Frame) error {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	switch {
	case lk.closed || lk.shuttingDown:
		return ErrClosed
	case len(lk.unsent) > maxQueuedBytes:
		return ErrFull
	}
	at, length := len(lk.unsent), fr.SizeVT()
	unsent := binary.BigEndian.AppendUint32(slices.Grow(lk.unsent, length+lengthPrefixBytes), uint32(length))
	unsent = unsent[:at+lengthPrefixBytes+length]
	if _, err := fr.MarshalToSizedBufferVT(unsent[at+lengthPrefixBytes:]); err != nil {
		return errors.Wrap(err, "link")
	}
	lk.unsent = unsent
	select {
	case lk.wake <- struct{}{}:
	default:
	}
	return nil
}

// Receive returns the next frame, or ErrIdle if none begins for about the given
// time.
func (lk *Link) Receive(idle time.Duration) (*schema.Frame, error) {
	<-lk.ready
	lk.mu.Lock()
	nc := lk.nc
	lk.mu.Unlock()
	if nc == nil {
		return nil, ErrClosed
	}
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
	return lk.readFrame()
}

// readFrame reads one frame.
func (lk *Link) readFrame() (*schema.Frame, error) {
	prefix, err := lk.br.Peek(lengthPrefixBytes)
	if err != nil {
		return nil, errors.Wrap(ErrClosed, err.Error())
	}
	length := int(binary.BigEndian.Uint32(prefix))
	_, _ = lk.br.Discard(lengthPrefixBytes)
	if length > maxFrameBytes {
		return nil, errors.Wrapf(ErrMalformed, "%d bytes", length)
	}
	data, err := lk.readBytes(length)
	if err != nil {
		return nil, errors.Wrap(ErrClosed, err.Error())
	}
	fr := new(schema.Frame)
	if err := fr.UnmarshalVT(data); err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	return fr, nil
}

// readBytes returns the next bytes, which are valid until the next read.
func (lk *Link) readBytes(length int) ([]byte, error) {
	if length <= lk.br.Size() {
		data, err := lk.br.Peek(length)
		if err == nil {
			// What was peeked at stays in the buffer until the next read.
			_, err = lk.br.Discard(length)
		}
		return data, err
	}
	// The memory grows with what arrives, not with what the length claims.
	var buf bytes.Buffer
	_, err := io.CopyN(&buf, lk.br, int64(length))
	return buf.Bytes(), err
}

// Close ends the link at once.
func (lk *Link) Close() {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	if lk.closed {
		return
	}
	lk.closed = true
	close(lk.done)
	if lk.nc != nil {
		_ = lk.nc.Close()
	}
}

// Shutdown closes the link once all frames are written, or ctx ends.
func (lk *Link) Shutdown(ctx context.Context) {
	lk.mu.Lock()
	lk.shuttingDown = true
	lk.mu.Unlock()
	select {
	case lk.wake <- struct{}{}:
	default:
	}
	select {
	case <-lk.writerDone:
	case <-ctx.Done():
	}
	lk.Close()
}
