package upstream

import (
	"bufio"
	"bytes"
	"io"
	"math"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"camphortrail/internal/traffic/header"
)

const (
	// maxSkippedBytes bounds the body, in bytes, of an answer that is skipped.
	maxSkippedBytes = 1 << 20
	// maxAnswerHeadBytes bounds the head of an answer, in bytes, with those of interim
	// answers before it.
	maxAnswerHeadBytes = 256 << 10
)

// ErrTransferCoding is returned for an answer of HTTP/1.0 with a transfer coding, which
// leaves the end of its body unknown.
var ErrTransferCoding = errors.New("upstream: transfer coding in an answer of HTTP/1.0")

// ErrProtocolSwitch is returned for an answer that switches to another protocol, which no
// request asks for.
var ErrProtocolSwitch = errors.New("upstream: answer switches to another protocol")

// ErrHeadTooLarge is returned for an answer whose head does not end within a bound.
var ErrHeadTooLarge = errors.New("upstream: head of the answer is too large")

// limitedReader reads up to a bound.
type limitedReader struct {
	r         io.Reader
	remaining int64
}

// Read reads up to the bound, and returns ErrHeadTooLarge at it.
func (lr *limitedReader) Read(p []byte) (int, error) {
	if lr.remaining <= 0 {
		return 0, ErrHeadTooLarge
	}
	if int64(len(p)) > lr.remaining {
		p = p[:lr.remaining]
	}
	n, err := lr.r.Read(p)
	lr.remaining -= int64(n)
	return n, err
}

// conn is a connection that carries one request at a time.
type conn struct {
	nc      net.Conn
	raw     syscall.RawConn
	br      *bufio.Reader
	limited *limitedReader
	address string
	epoch   uint64
	// previousHeader is the header of the request that was sent last.
	previousHeader http.Header
	idleSince      time.Time
	// idleTimeout is the time for which the connection may be idle.
	idleTimeout time.Duration
	// peekBuf and peeked are what peek reads into, and the error that it met.
	peekBuf [1]byte
	peekErr error
}

func newConn(nc net.Conn, address string, epoch uint64) (*conn, error) {
	raw, err := nc.(syscall.Conn).SyscallConn()
	if err != nil {
		_ = nc.Close()
		return nil, errors.Wrap(ErrNoConnection, err.Error())
	}
	source := &limitedReader{r: nc}
	return &conn{
		nc: nc, raw: raw, br: bufio.NewReader(source), limited: source, address: address, epoch: epoch, idleTimeout: maxIdleTime,
	}, nil
}

func (cn *conn) close() { _ = cn.nc.Close() }

// interrupt ends reading and writing.
func (cn *conn) interrupt() { _ = cn.nc.SetDeadline(time.Unix(1, 0)) }

func (cn *conn) expired(now time.Time) bool { return now.Sub(cn.idleSince) >= cn.idleTimeout }

// usable reports whether an idle connection may carry another request.
func (cn *conn) usable(address string, now time.Time) bool {
	return cn.address == address && !cn.expired(now) && cn.healthy()
}

// healthy reports whether the upstream has neither closed the connection nor sent
// anything since its last answer.
func (cn *conn) healthy() bool {
	if cn.br.Buffered() > 0 {
		return false
	}
	cn.peekErr = nil
	return cn.raw.Read(cn.peek) == nil && cn.peekErr == syscall.EAGAIN
}

// peek reads from the connection if anything has come.
func (cn *conn) peek(fd uintptr) bool {
	_, cn.peekErr = syscall.Read(int(fd), cn.peekBuf[:])
	return true
}

// exchange sends a request and hands the answer to the handler. It reports
// whether the connection can carry another request.
func (cn *conn) exchange(rq *Request, handle Handler) (reusable bool, err error) {
	written, sendErr := rq.send(cn.nc)
	previous := cn.previousHeader
	cn.previousHeader = rq.Header
	for {
		// An upstream may answer and close before it has read all.
		res, err := cn.readAnswer(rq.Method)
		if err != nil {
			if sendErr != nil {
				err = sendErr
			}
			return false, errors.Wrap(err, "upstream")
		}
		// The handler may change the header.
		cn.applyKeepAlive(res.Header)
		next := handle(Answer{Response: res, PreviousHeader: previous})
		if next {
			_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, maxSkippedBytes))
		}
		whole := atEOF(res.Body)
		if next && whole && !res.Close {
			previous = nil
			continue
		}
		return !next && sendErr == nil && whole && !res.Close && cn.br.Buffered() == 0 && fullyWritten(rq, written), nil
	}
}

// readAnswer returns the next answer that is not interim (RFC 9110, section 15.2).
func (cn *conn) readAnswer(method string) (*http.Response, error) {
	rq := &http.Request{Method: method}
	cn.limited.remaining = maxAnswerHeadBytes
	// The body has a bound of its own.
	defer func() { cn.limited.remaining = math.MaxInt64 }()
	for {
		res, err := readResponse(cn.br, rq)
		if err != nil && cn.limited.remaining <= 0 {
			// What was cut off at the bound may have been read as malformed.
			err = ErrHeadTooLarge
		}
		switch {
		case err != nil || res.StatusCode >= http.StatusOK:
			return res, err
		case res.StatusCode == http.StatusSwitchingProtocols:
			return nil, ErrProtocolSwitch
		}
	}
}

// readResponse reads an answer. http.ReadResponse drops the transfer coding of one of
// HTTP/1.0 and takes what is left of the connection for its body, where RFC 9112,
// section 6.1, calls the framing faulty.
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
		// The new reader may hold more than this answer.
		res.Close = true
	}
	return res, err
}

// atEOF reports whether a body was read to its end.
func atEOF(body io.Reader) bool {
	var one [1]byte
	n, err := body.Read(one[:])
	return n == 0 && err == io.EOF
}

// fullyWritten reports whether the whole request was written.
func fullyWritten(rq *Request, written <-chan struct{}) bool {
	if len(rq.Body) <= maxInlineBodyBytes {
		return true
	}
	timer := time.NewTimer(bodyWriteGrace)
	defer timer.Stop()
	select {
	case <-written:
		return true
	case <-timer.C:
		return false
	}
}

// applyKeepAlive takes over the time after which the upstream closes the connection
// when it is idle, less a part for what is on the way.
func (cn *conn) applyKeepAlive(hd http.Header) {
	const marginDivisor = 5
	for _, param := range strings.Split(hd.Get("Keep-Alive"), ",") {
		name, text, _ := strings.Cut(strings.TrimSpace(param), "=")
		secs, err := strconv.ParseUint(text, 10, 16)
		if err == nil && strings.EqualFold(name, "timeout") {
			stated := time.Duration(secs) * time.Second
			cn.idleTimeout = min(maxIdleTime, stated-stated/marginDivisor)
		}
	}
}
