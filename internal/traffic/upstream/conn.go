package upstream

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"camphortrail/internal/traffic/buffer"
	"camphortrail/internal/traffic/header"
)

const (
	// maxSkippedBytes bounds the body of a late answer that is read and dropped.
	maxSkippedBytes = 1 << 20
	// maxAnswerHeadBytes bounds the size of an answer's head, together with the heads of
	// the interim answers before it. A faulty upstream may send a head without end.
	maxAnswerHeadBytes = 256 << 10
)

// ErrTransferCoding is returned for an HTTP/1.0 answer with a transfer coding. The end of its
// body is unknown.
var ErrTransferCoding = errors.New("upstream: transfer coding in an answer of HTTP/1.0")

// ErrProtocolSwitch is returned for an answer with status 101. No request asks for another
// protocol.
var ErrProtocolSwitch = errors.New("upstream: answer switches to another protocol")

// ErrStatus is returned for an answer whose status is none of HTTP. It is not an interim answer,
// and nothing follows it.
var ErrStatus = errors.New("upstream: status of the answer is below 100")

// ErrHeadTooLarge is returned for an answer whose head is larger than maxAnswerHeadBytes.
var ErrHeadTooLarge = errors.New("upstream: head of the answer is too large")

// conn is a connection to the upstream. It carries one request at a time.
type conn struct {
	nc      net.Conn
	raw     syscall.RawConn
	br      *bufio.Reader
	heads   *buffer.HeadReader
	address string
	// previousHeader is the header of the last request sent on the connection.
	previousHeader http.Header
	idleSince      time.Time
	// idleTimeout is the time after which the idle connection is not reused.
	idleTimeout time.Duration
	// peekBuf and peekErr are the buffer and the error of the last peek.
	peekBuf [1]byte
	peekErr error
	// peekFunc is the method peek, kept so that each peek does not allocate it.
	peekFunc func(fd uintptr) bool
}

func newConn(nc net.Conn, address string) (*conn, error) {
	raw, err := nc.(syscall.Conn).SyscallConn()
	if err != nil {
		_ = nc.Close()
		return nil, errors.Wrap(ErrNoConnection, err.Error())
	}
	heads := buffer.NewHeadReader(nc, ErrHeadTooLarge)
	cn := &conn{
		nc: nc, raw: raw, br: bufio.NewReader(heads), heads: heads, address: address, idleTimeout: maxIdleTime,
	}
	cn.peekFunc = cn.peek
	return cn, nil
}

// close closes the connection at once.
func (cn *conn) close() { _ = cn.nc.Close() }

// interrupt makes reads and writes that are in progress fail.
func (cn *conn) interrupt() { _ = cn.nc.SetDeadline(time.Unix(1, 0)) }

// expired reports whether the connection has been idle for idleTimeout.
func (cn *conn) expired(now time.Time) bool { return now.Sub(cn.idleSince) >= cn.idleTimeout }

// usable reports whether an idle connection can carry another request to the address.
func (cn *conn) usable(address string, now time.Time) bool {
	return cn.address == address && !cn.expired(now) && cn.healthy()
}

// healthy reports whether the upstream has neither closed the connection nor sent anything
// since its last answer. A request on a closed connection would fail, and extra bytes would
// be read as its answer.
func (cn *conn) healthy() bool {
	if cn.br.Buffered() > 0 {
		return false
	}
	cn.peekErr = nil
	return cn.raw.Read(cn.peekFunc) == nil && cn.peekErr == syscall.EAGAIN
}

// peek reads one byte without blocking, and stores the error of the read. It returns true,
// so that RawConn.Read doesn't wait for data.
func (cn *conn) peek(fd uintptr) bool {
	_, cn.peekErr = syscall.Read(int(fd), cn.peekBuf[:])
	return true
}

// exchange sends a request and passes its answer to the handler. reusable is true when the
// connection can carry another request.
func (cn *conn) exchange(rq *Request, handle Handler) (reusable bool, err error) {
	wr := rq.send(cn.nc)
	previous := cn.previousHeader
	cn.previousHeader = rq.Header
	for {
		// The answer is read even after a failed write: the upstream may answer and close
		// before it has read the whole request.
		res, err := cn.readAnswer(rq.Method, rq.Memory)
		if err != nil {
			if sendErr := wr.errSoFar(); sendErr != nil {
				err = sendErr
			}
			return false, errors.Wrap(err, "upstream")
		}
		if endsWithConnection(res, rq.Method) {
			res.Body = &untilClose{ReadCloser: res.Body, conn: cn, write: wr}
		}
		// The header is used before the handler, which may change it.
		cn.applyKeepAlive(res.Header)
		late := handle(Answer{Response: res, PreviousHeader: previous})
		if late {
			_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, maxSkippedBytes))
		}
		whole := cn.atEOF(res.Body)
		if late && whole && !res.Close {
			previous = nil
			continue
		}
		return !late && whole && !res.Close && cn.br.Buffered() == 0 && wr.succeeded(), nil
	}
}

// readAnswer returns the next final answer. It skips interim ones, those with status 1xx
// (RFC 9110, section 15.2).
func (cn *conn) readAnswer(method string, memory *buffer.Reservation) (*http.Response, error) {
	rq := &http.Request{Method: method}
	cn.heads.BeginHead(maxAnswerHeadBytes, memory)
	// The handler bounds the body.
	defer cn.heads.EndHead()
	for {
		res, err := readResponse(cn.br, rq)
		if err != nil && cn.heads.Exceeded() {
			// A head that is cut off at the bound may be reported as malformed.
			err = ErrHeadTooLarge
		}
		switch {
		case err != nil || res.StatusCode >= http.StatusOK:
			return res, err
		case res.StatusCode < http.StatusContinue:
			return nil, ErrStatus
		case res.StatusCode == http.StatusSwitchingProtocols:
			return nil, ErrProtocolSwitch
		}
	}
}

// readResponse reads an answer, and returns ErrTransferCoding for an HTTP/1.0 answer with a
// transfer coding, whose framing is faulty by RFC 9112, section 6.1. http.ReadResponse alone
// would ignore the transfer coding and return the rest of the connection as the body.
func readResponse(br *bufio.Reader, rq *http.Request) (*http.Response, error) {
	const http10 = "HTTP/1.0"
	if prefix, err := br.Peek(len(http10)); err != nil || string(prefix) != http10 {
		return http.ReadResponse(br, rq)
	}
	tr := textproto.NewReader(br)
	line, err := tr.ReadLine()
	if err != nil {
		return nil, err
	}
	hd, err := tr.ReadMIMEHeader()
	if err != nil {
		return nil, err
	}
	if len(hd["Transfer-Encoding"]) > 0 {
		return nil, ErrTransferCoding
	}
	var head bytes.Buffer
	head.WriteString(line + "\r\n")
	header.WriteFields(&head, http.Header(hd), nil)
	head.WriteString("\r\n")
	res, err := http.ReadResponse(bufio.NewReader(io.MultiReader(&head, br)), rq)
	if err == nil {
		// The connection can't be reused, because the new reader may have read more than
		// this answer.
		res.Close = true
	}
	return res, err
}

// atEOF reports whether a body has been read to its end.
func (cn *conn) atEOF(body io.Reader) bool {
	n, err := body.Read(cn.peekBuf[:])
	return n == 0 && err == io.EOF
}

// applyKeepAlive sets idleTimeout to the idle time that the upstream states in its
// Keep-Alive header, at most maxIdleTime. It subtracts a margin, so that a request doesn't
// arrive while the upstream closes the connection.
func (cn *conn) applyKeepAlive(hd http.Header) {
	// The margin is 1/marginDivisor of the stated time.
	const marginDivisor = 5
	for param := range strings.SplitSeq(hd.Get("Keep-Alive"), ",") {
		name, text, _ := strings.Cut(strings.TrimSpace(param), "=")
		secs, err := strconv.ParseUint(text, 10, 16)
		if err == nil && strings.EqualFold(name, "timeout") {
			stated := time.Duration(secs) * time.Second
			cn.idleTimeout = min(maxIdleTime, stated-stated/marginDivisor)
		}
	}
}
