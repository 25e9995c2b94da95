package link

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"slices"

	"github.com/pkg/errors"

	"camphortrail/internal/traffic/header"
	"camphortrail/schema"
)

// A frame of 360 kB takes 15 ms at 200 Mbit/s, which a short request behind it cannot wait. So
// frames of more than pieceBytes go in pieces, and smaller frames between the pieces. A piece is a
// 4-byte big-endian integer and then a part of the message. The integer is the length of the part
// with pieceFlag, and with lastPieceFlag if the message ends with it. Large frames follow each
// other: the pieces of one are not mixed with those of another, so that the receiver needs one
// buffer and frames that came first are complete first.
const (
	// pieceBytes is the size of a piece: under 1 ms at 200 Mbit/s.
	pieceBytes = 16 << 10
	// maxPieceBytes bounds the size of a received piece.
	maxPieceBytes = 64 << 10
	pieceFlag     = 1 << 31
	lastPieceFlag = 1 << 30
	// piecesHeader is a header of the upgrade request and of its answer with the value
	// piecesToken, by which a node states that it can read frames in pieces. It is not a further
	// value of framesHeader, because earlier nodes compare that one as a whole.
	piecesHeader = header.Prefix + "Frame-Pieces"
	piecesToken  = "1"
	// maxUnsentBytes bounds what the socket buffer holds and has not sent. Without it, a small
	// frame would wait behind all pieces that fit into the buffer, up to some megabytes.
	maxUnsentBytes = 2 * pieceBytes
)

// The values of Link.pieces. While it is not known whether the peer can read pieces, large frames
// wait apart from the others.
const (
	piecesUnknown int32 = iota
	piecesSupported
	piecesUnsupported
)

// setPieces notes whether the peer can read frames in pieces, by its header of the upgrade.
func (lk *Link) setPieces(hd http.Header) {
	if hd.Get(piecesHeader) == piecesToken {
		lk.pieces.Store(piecesSupported)
	} else {
		lk.pieces.Store(piecesUnsupported)
	}
}

// largeFrame is a queued frame that is sent in pieces.
type largeFrame struct {
	// rest is the part of the message that is not sent, and begun says that a part was.
	rest  []byte
	begun bool
	// attempt is the id of the attempt in the frame, or nil.
	attempt []byte
	// alone says that the queue was empty when the frame was queued. Such a frame does not count
	// against the bounds of the queue, since it may be larger than these.
	alone bool
}

// largeQueue holds the frames that are sent in pieces, in the order in which they were queued.
type largeQueue struct {
	frames []largeFrame
	// bytes is the size of their unsent parts.
	bytes int
}

// bounded returns the part of bytes that counts against the bounds of the queue.
func (lq *largeQueue) bounded() int {
	if len(lq.frames) > 0 && lq.frames[0].alone {
		return lq.bytes - len(lq.frames[0].rest)
	}
	return lq.bytes
}

// goesInPieces reports whether a frame is queued with the large ones: it is large, or it cancels an
// attempt that is queued there and must not overtake it. lk.mu must be held.
func (lk *Link) goesInPieces(fr *schema.Frame, length int) bool {
	if length > pieceBytes {
		return lk.pieces.Load() != piecesUnsupported || len(lk.large.frames) > 0
	}
	cancelled := fr.GetCancelledAttempt()
	return len(cancelled) > 0 && slices.ContainsFunc(lk.large.frames, func(lf largeFrame) bool {
		return bytes.Equal(lf.attempt, cancelled)
	})
}

// sendLarge queues a frame that is sent in pieces. lk.mu must be held.
func (lk *Link) sendLarge(fr *schema.Frame, length int) error {
	data := make([]byte, length)
	if _, err := fr.MarshalToSizedBufferVT(data); err != nil {
		return errors.Wrap(err, "link")
	}
	lk.large.frames = append(lk.large.frames, largeFrame{
		rest: data, attempt: bytes.Clone(fr.GetAttempt().GetAttemptId()), alone: lk.queued() == 0,
	})
	lk.large.bytes += length
	lk.wakeWriter()
	return nil
}

// piece is a part of a frame with its prefix.
type piece struct {
	prefix [lengthPrefixBytes]byte
	data   []byte
}

func (pc *piece) empty() bool { return pc.data == nil }

// nextPiece removes the next piece from the queue. If whole is true it is a whole frame, for a peer
// that cannot read pieces. The piece is empty if nothing is queued.
func (lq *largeQueue) nextPiece(whole bool) (pc piece) {
	if len(lq.frames) == 0 {
		return piece{}
	}
	lf := &lq.frames[0]
	length := min(len(lf.rest), pieceBytes)
	if whole && !lf.begun {
		length = len(lf.rest)
	}
	prefix := uint32(length)
	if !whole || lf.begun {
		prefix |= pieceFlag
		if length == len(lf.rest) {
			prefix |= lastPieceFlag
		}
	}
	binary.BigEndian.PutUint32(pc.prefix[:], prefix)
	pc.data, lf.rest, lf.begun = lf.rest[:length:length], lf.rest[length:], true
	lq.bytes -= length
	if len(lf.rest) == 0 {
		lq.frames[0] = largeFrame{}
		if lq.frames = lq.frames[1:]; len(lq.frames) == 0 {
			lq.frames = nil
		}
	}
	return pc
}

// write writes small frames and then the piece, if it is not empty, in one call.
func (pc *piece) write(nc net.Conn, small []byte) error {
	if pc.empty() {
		_, err := nc.Write(small)
		return err
	}
	return writeAll(nc, small, pc.prefix, pc.data)
}

// writeAll writes small frames, if there are any, and a piece.
func writeAll(nc net.Conn, small []byte, prefix [lengthPrefixBytes]byte, data []byte) error {
	buffers := net.Buffers{small, prefix[:], data}
	if len(small) == 0 {
		buffers = buffers[1:]
	}
	_, err := buffers.WriteTo(nc)
	return err
}

// readPiece reads a piece with the given prefix. It returns the frame if the piece is its last one,
// and nil otherwise.
func (lk *Link) readPiece(prefix uint32) (*schema.Frame, error) {
	length := int(prefix &^ (pieceFlag | lastPieceFlag))
	if length > maxPieceBytes || len(lk.partial)+length > maxFrameBytes {
		return nil, errors.Wrapf(ErrMalformed, "a piece of %d bytes after %d", length, len(lk.partial))
	}
	at := len(lk.partial)
	lk.partial = slices.Grow(lk.partial, length)[:at+length]
	if _, err := io.ReadFull(lk.br, lk.partial[at:]); err != nil {
		return nil, errors.Wrap(ErrClosed, err.Error())
	}
	if prefix&lastPieceFlag == 0 {
		return nil, nil
	}
	data := lk.partial
	lk.partial = nil
	return decode(data)
}
