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
	// maxSkipped bounds the body, in bytes, of an answer that is skipped.
	maxSkipped = 1 << 20
	// maxAnswerHead bounds the head of an answer, in bytes, with those of interim
	// answers before it.
	maxAnswerHead = 256 << 10
)

// ErrTransferCoding is returned for an answer of HTTP/1.0 with a transfer coding, which
// leaves the end of its body unknown.
var ErrTransferCoding = errors.New("upstream: transfer coding in an answer of HTTP/1.0")

// ErrProtocolSwitch is returned for an answer that switches to another protocol, which no
// request asks for.
var ErrProtocolSwitch = errors.New("upstream: answer switches to another protocol")

// ErrHeadTooLarge is returned for an answer whose head does not end within a bound.
var ErrHeadTooLarge = errors.New("upstream: head of the answer is too large")

// meter reads up to a bound.
type meter struct {
	r    io.Reader
	left int64
}

// Read reads up to the bound, and returns ErrHeadTooLarge at it.
func (me *meter) Read(p []byte) (int, error) {
	if me.left <= 0 {
		return 0, ErrHeadTooLarge
	}
	if int64(len(p)) > me.left {
		p = p[:me.left]
	}
	n, err := me.r.Read(p)
	me.left -= int64(n)
	return n, err
}

// conn is a connection that carries one request at a time.
type conn struct {
	nc      net.Conn
	raw     syscall.RawConn
	br      *bufio.Reader
	source  *meter
	address string
	epoch   uint64
	// previous is the header of the request that was sent last.
	previous  http.Header
	idleSince time.Time
	// idleLimit is the time for which the connection may be idle.
	idleLimit time.Duration
	// one and peeked are what peek reads into, and the error that it met.
	one    [1]byte
	peeked error
}

func newConn(nc net.Conn, address string, epoch uint64) (*conn, error) {
	raw, err := nc.(syscall.Conn).SyscallConn()
	if err != nil {
		_ = nc.Close()
		return nil, errors.Wrap(ErrNoConnection, err.Error())
	}
	source := &meter{r: nc}
	return &conn{
		nc: nc, raw: raw, br: bufio.NewReader(source), source: source, address: address, epoch: epoch, idleLimit: idleExpiry,
	}, nil
}

func (cn *conn) close() { _ = cn.nc.Close() }

// interrupt ends reading and writing.
func (cn *conn) interrupt() { _ = cn.nc.SetDeadline(time.Unix(1, 0)) }

func (cn *conn) expired(now time.Time) bool { return now.Sub(cn.idleSince) >= cn.idleLimit }

// usable reports whether an idle connection may carry another request.
func (cn *conn) usable(address string, now time.Time) bool {
	return cn.address == address && !cn.expired(now) && cn.silent()
}

// silent reports whether the upstream has neither closed the connection nor sent
// anything since its last answer.
func (cn *conn) silent() bool {
	if cn.br.Buffered() > 0 {
		return false
	}
	cn.peeked = nil
	return cn.raw.Read(cn.peek) == nil && cn.peeked == syscall.EAGAIN
}

// peek reads from the connection if anything has come.
func (cn *conn) peek(fd uintptr) bool {
	_, cn.peeked = syscall.Read(int(fd), cn.one[:])
	return true
}

// exchange sends a request and hands the answer to the handler. It reports
// whether the connection can carry another request.
func (cn *conn) exchange(rq *Request, handle Handler) (reusable bool, err error) {
	written, sendErr := rq.send(cn.nc)
	previous := cn.previous
	cn.previous = rq.Header
	for {
		// An upstream may answer and close before it has read all.
		res, err := cn.read(rq.Method)
		if err != nil {
			if sendErr != nil {
				err = sendErr
			}
			return false, errors.Wrap(err, "upstream")
		}
		// The handler may change the header.
		cn.limitIdle(res.Header)
		next := handle(Answer{Response: res, PreviousHeader: previous})
		if next {
			_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, maxSkipped))
		}
		whole := ended(res.Body)
		if next && whole && !res.Close {
			previous = nil
			continue
		}
		return !next && sendErr == nil && whole && !res.Close && cn.br.Buffered() == 0 && sent(rq, written), nil
	}
}

// read returns the next answer that is not interim (RFC 9110, section 15.2).
func (cn *conn) read(method string) (*http.Response, error) {
	rq := &http.Request{Method: method}
	cn.source.left = maxAnswerHead
	// The body has a bound of its own.
	defer func() { cn.source.left = math.MaxInt64 }()
	for {
		res, err := readResponse(cn.br, rq)
		if err != nil && cn.source.left <= 0 {
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
	const old = "HTTP/1.0"
	if begin, err := br.Peek(len(old)); err != nil || string(begin) != old {
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

// ended reports whether a body was read to its end.
func ended(body io.Reader) bool {
	var one [1]byte
	n, err := body.Read(one[:])
	return n == 0 && err == io.EOF
}

// sent reports whether the whole request was written.
func sent(rq *Request, written <-chan struct{}) bool {
	if len(rq.Body) <= directBody {
		return true
	}
	timer := time.NewTimer(bodyGrace)
	defer timer.Stop()
	select {
	case <-written:
		return true
	case <-timer.C:
		return false
	}
}

// limitIdle takes over the time after which the upstream closes the connection
// when it is idle, less a part for what is on the way.
func (cn *conn) limitIdle(hd http.Header) {
	const part = 5
	for _, param := range strings.Split(hd.Get("Keep-Alive"), ",") {
		name, text, _ := strings.Cut(strings.TrimSpace(param), "=")
		secs, err := strconv.ParseUint(text, 10, 16)
		if err == nil && strings.EqualFold(name, "timeout") {
			stated := time.Duration(secs) * time.Second
			cn.idleLimit = min(idleExpiry, stated-stated/part)
		}
	}
}
