package pipeline

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"camphortrail/internal/traffic/buffer"
	"camphortrail/internal/traffic/header"
)

// headerReadSlack is the number of bytes that may be read beyond the limit of a header. It
// allows for the request line and for the part of the body that the buffer reads ahead.
const headerReadSlack = 4096

// Reasons that are passed to Options.Refuse.
const (
	ReasonHeaderTooLarge = "header-too-large"
	ReasonBodyTooLarge   = "body-too-large"
	ReasonMalformed      = "malformed-request"
	ReasonIncomplete     = "incomplete-body"
	ReasonNoMemory       = "no-memory"
	ReasonHeaderLines    = "too-many-header-lines"
)

// Reasons of closed connections in a Refusal.
const (
	ReasonNotReading  = "answers-not-read"
	ReasonConnections = "too-many-connections"
)

const (
	// requestBytes is the memory of a request in flight with a short head and answer: the stack
	// of its goroutine, the parsed request, and what entry and guard know of it.
	requestBytes = 24 << 10
	// freeAnswerBytes is the part of an answer that requestBytes includes.
	freeAnswerBytes = 4 << 10
	// headerLineBytes is the memory of a header line of an answer beside its text.
	headerLineBytes = 64
	// writeBytes is the size of the parts in which long answers are written.
	writeBytes = 64 << 10
	// stallTime is the time without progress after which a client counts as one that does not
	// read. Its connection is closed when others need the memory.
	stallTime = 3 * time.Second
	// stallPollTime is the time between two checks for that while an answer is written.
	stallPollTime = time.Second
)

var (
	errHeaderTooLarge = errors.New("pipeline: header is larger than the limit")
	errBodyTooLarge   = errors.New("pipeline: body is larger than the limit")
	errNotReading     = errors.New("pipeline: the client does not read its answers")
)

// ErrNoMemory is the cause of the cancellation of a request whose connection holds most memory
// when it is needed for others.
var ErrNoMemory = errors.New("pipeline: no memory for the request")

// exchange is a request in flight and its answer.
type exchange struct {
	request Request
	answer  Answer
	// ready is true when answer is set. The answer is sent after those to earlier requests.
	ready bool
	// closeAfter is true when the connection closes after the answer.
	closeAfter bool
	// readAt is when the request was read.
	readAt time.Time
	// cancel cancels the request alone. It is nil without a handler.
	cancel context.CancelCauseFunc
	// held is the memory of the request and its answer.
	held int64
}

// conn is one connection of a caller.
type conn struct {
	sv *Server
	nc net.Conn
	// remote is the RemoteAddr of the requests: the address, and the number of the connection, since
	// another connection may have the address later.
	remote string
	heads  *buffer.HeadReader
	br     *bufio.Reader
	// memory is that of the connection: of the request that is being read, of those in flight,
	// and of answers.
	memory buffer.Reservation
	// stalled is true while the client does not read its answers, cancelled when its memory is
	// needed for others, and givenUp when the connection is closed because of both.
	stalled, cancelled, givenUp atomic.Bool
	// ctx is the context of requests that arrive while none is in flight. Only the reading
	// goroutine uses it.
	ctx    context.Context
	cancel context.CancelCauseFunc

	// mu is never held while data is read or written, or while anything else is awaited from the
	// client: the entry asks for Blocks with its own lock held, and takes mu then. No other lock
	// is taken while mu is held but that of the memory.
	mu sync.Mutex
	// queue holds the requests in flight, in the order in which they arrived, without the one
	// whose answer is being written.
	queue []*exchange
	// writing is true while a goroutine writes answers. It also writes those that become ready
	// meanwhile. notWriting is signalled when it ends.
	writing    bool
	notWriting *sync.Cond
	// final is true from the beginning of the last answer on. No request may run that arrives
	// later, because the caller assumes that it was not read.
	final bool
	// notFull is signalled when the queue gets shorter, and when answers have been written.
	notFull *sync.Cond
	// readingRequest is true while a request is being read.
	readingRequest bool
	// closing is true when no further answer will be sent.
	closing bool
	// continueWanted is true while the caller of the request that is being read waits to be told
	// to send its body, and answers to earlier requests go before that.
	continueWanted bool
	// idleSince is the time, in Unix nanoseconds, since which no request is in flight or
	// being read. It is 0 while one is.
	idleSince atomic.Int64
	// headSince is the time, in Unix nanoseconds, since which the head of a request is being
	// read while none is in flight, or 0.
	headSince atomic.Int64
}

func newConn(sv *Server, nc net.Conn) *conn {
	remote := nc.RemoteAddr().String() + "/" + strconv.FormatUint(sv.accepted.Add(1), 10)
	cn := &conn{sv: sv, nc: nc, remote: remote, heads: buffer.NewHeadReader(nc, errHeaderTooLarge)}
	cn.br = bufio.NewReader(cn.heads)
	cn.memory.Init(sv.memory, cn)
	cn.notFull, cn.notWriting = sync.NewCond(&cn.mu), sync.NewCond(&cn.mu)
	return cn
}

// serve reads requests until the connection ends.
func (cn *conn) serve() {
	defer cn.cleanUp()
	for cn.serveNext() {
	}
}

// cleanUp closes the connection and cancels its requests in flight: their caller has closed
// the connection, or the server has sent its last answer.
func (cn *conn) cleanUp() {
	cn.mu.Lock()
	for cn.writing {
		cn.notWriting.Wait()
	}
	closedByServer := cn.closing
	cn.closing = true
	cause := context.Canceled
	if !closedByServer && cn.blocksExpired(time.Now()) {
		cause = ErrBlockedExpired
	}
	for _, ex := range cn.queue {
		if ex.cancel != nil {
			ex.cancel(cause)
		}
		if ex.ready {
			cn.drop(ex)
		}
	}
	cn.mu.Unlock()
	cn.memory.Release()
	if closedByServer {
		cn.linger()
	}
	_ = cn.nc.Close()
	cn.sv.remove(cn)
}

// blocksExpired reports whether the deadline has passed of a request that waits for the answer
// to another one. cn.mu must be held.
func (cn *conn) blocksExpired(now time.Time) bool {
	for _, ex := range cn.queue[min(1, len(cn.queue)):] {
		if dl := ex.request.Deadline; !dl.IsZero() && dl.Sub(now) < expiryTolerance {
			return true
		}
	}
	return false
}

// linger reads and discards data for up to lingerTime after the last answer.
func (cn *conn) linger() {
	if tc, ok := cn.nc.(*net.TCPConn); ok {
		_ = tc.CloseWrite()
	}
	_ = cn.nc.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, cn.nc)
}

// serveNext reads one request and starts its handler. It returns false when no further
// request may be read from the connection.
func (cn *conn) serveNext() bool {
	if !cn.awaitCapacity() {
		return false
	}
	lim := cn.sv.opt.Limits()
	cn.setRequestDeadline(lim)
	if err := cn.beginHead(lim); err != nil {
		return false
	}
	if !cn.beginRequest(lim) {
		return false
	}
	if cn.memory.Grow(requestBytes) != nil {
		return cn.refuse(http.StatusServiceUnavailable, ReasonNoMemory)
	}
	r, err := http.ReadRequest(cn.br)
	if err != nil {
		return cn.refuseUnreadable(err)
	}
	size, lines := headerSize(r)
	switch {
	case size > lim.MaxHeaderBytes:
		return cn.refuse(http.StatusRequestHeaderFieldsTooLarge, ReasonHeaderTooLarge)
	case lines > cn.sv.maxHeaderLines(lim):
		return cn.refuse(http.StatusRequestHeaderFieldsTooLarge, ReasonHeaderLines)
	}
	r.RemoteAddr = cn.remote
	_ = cn.nc.SetReadDeadline(time.Now().Add(lim.IdleTimeout))
	cn.heads.EndHead()
	if cn.memory.Evicted() {
		// The deadline has replaced that of Abort.
		return cn.refuse(http.StatusServiceUnavailable, ReasonNoMemory)
	}
	ex := &exchange{request: Request{HTTP: r, conn: cn}}
	if cn.sv.opt.Begin != nil && bodyIsAwaited(r) && r.ContentLength <= lim.MaxBodyBytes {
		cn.readDeadline(ex)
		var refusal *Answer
		if ex.request.Begun, refusal = cn.sv.opt.Begin(r); refusal != nil {
			return cn.reject(ex, *refusal)
		}
	}
	body, err := cn.readBody(r, lim.MaxBodyBytes)
	if err != nil {
		cn.abandon(ex)
	}
	switch {
	case err == errBodyTooLarge:
		return cn.refuse(http.StatusRequestEntityTooLarge, ReasonBodyTooLarge)
	case err == buffer.ErrNoMemory:
		return cn.refuse(http.StatusServiceUnavailable, ReasonNoMemory)
	case err != nil:
		return cn.refuse(http.StatusBadRequest, ReasonIncomplete)
	}
	held := cn.memory.Keep(requestBytes + buffer.HeadCost(size, lines) + int64(len(body)))
	ex.request.Body, ex.held = body, held
	return cn.startHandler(ex)
}

// abandon ends a request that Begin has accepted and that is not passed to the handler.
func (cn *conn) abandon(ex *exchange) {
	if ex.request.Begun != nil {
		cn.sv.opt.Abandon(ex.request.Begun)
	}
}

// readDeadline sets the deadline of a request whose header has just been read, unless it is set. Begin
// may remove headers.
func (cn *conn) readDeadline(ex *exchange) {
	if cn.sv.opt.Deadline != nil && ex.readAt.IsZero() {
		ex.readAt, ex.request.Deadline = time.Now(), cn.sv.opt.Deadline(ex.request.HTTP)
	}
}

// smallBodyBytes is the size up to which a body usually arrives with its header, so that nothing is
// gained by a refusal before it is read.
const smallBodyBytes = 2 << 10

// bodyIsAwaited reports whether most of the body of a request is still to arrive.
func bodyIsAwaited(r *http.Request) bool {
	if r.Body == nil || r.Body == http.NoBody {
		return false
	}
	return r.ContentLength < 0 || r.ContentLength > smallBodyBytes || r.Header.Get("Expect") != ""
}

// maxDiscardBytes bounds the body of a rejected request that is read so that the connection can go
// on. It is some times the size of a large upload.
const maxDiscardBytes = 1 << 20

// reject answers a request before its body is read. A body of bounded length is then read and
// dropped, and requests may follow. Otherwise the connection ends with the answer: a caller that
// expected to be told to go on may leave the body out, so that the position of the next request is
// not known. It returns false if no request may follow.
func (cn *conn) reject(ex *exchange, an Answer) bool {
	cn.headSince.Store(0)
	cn.memory.Release()
	r := ex.request.HTTP
	mayFollow := r.ContentLength >= 0 && r.ContentLength <= maxDiscardBytes && r.Header.Get("Expect") == "" &&
		!r.Close && r.ProtoAtLeast(1, 1)
	// A close while the caller sends would also lose the requests that it has sent behind.
	an.Close = an.Close && !mayFollow
	ex.closeAfter = !mayFollow
	if !cn.enqueue(ex) {
		return false
	}
	cn.complete(ex, an)
	if !mayFollow {
		return cn.awaitLastAnswer()
	}
	_, err := io.Copy(io.Discard, r.Body)
	return err == nil
}

// beginHead waits until a head begins to arrive, and reserves the memory of what is buffered of
// it.
func (cn *conn) beginHead(lim Limits) error {
	cn.heads.BeginHead(int64(lim.MaxHeaderBytes+headerReadSlack), &cn.memory)
	ahead := cn.br.Buffered()
	if ahead == 0 {
		_, err := cn.br.Peek(1)
		if err == buffer.ErrNoMemory {
			err = nil // refused when the rest is reserved
		}
		return err
	}
	data, _ := cn.br.Peek(ahead)
	_ = cn.heads.AddBuffered(data) // as above
	return nil
}

// awaitCapacity waits until fewer than maxInFlight requests are in flight, until those hold no more
// memory than the share of the connection, and until no answer is being written: a client that does
// not read gets no further work done. It returns false if the connection closes before that.
func (cn *conn) awaitCapacity() bool {
	cn.mu.Lock()
	for (len(cn.queue) >= maxInFlight || cn.writing) && !cn.closing {
		cn.notFull.Wait()
	}
	closing, alone := cn.closing, len(cn.queue) == 0
	cn.mu.Unlock()
	return !closing && (alone || cn.memory.AwaitShare())
}

// setRequestDeadline sets the time by which the next request must begin to arrive. There is
// no deadline while other requests are in flight.
func (cn *conn) setRequestDeadline(lim Limits) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	// What is buffered belongs to the next request.
	cn.readingRequest = cn.br.Buffered() > 0
	switch {
	case cn.readingRequest:
	case len(cn.queue) > 0 || cn.writing:
		_ = cn.nc.SetReadDeadline(time.Time{})
	default:
		now := time.Now()
		cn.idleSince.Store(now.UnixNano())
		_ = cn.nc.SetReadDeadline(now.Add(lim.IdleTimeout))
	}
}

// beginRequest records that a request has begun to arrive, and sets the deadline of its
// header. It returns false if the connection is closing.
func (cn *conn) beginRequest(lim Limits) bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if cn.closing || cn.final {
		return false
	}
	cn.readingRequest = true
	cn.idleSince.Store(0)
	if len(cn.queue) == 0 && !cn.writing {
		cn.headSince.Store(time.Now().UnixNano())
	}
	_ = cn.nc.SetReadDeadline(time.Now().Add(lim.HeaderTimeout))
	return true
}

// refuseUnreadable handles an error of reading a request. It refuses a malformed or too
// large one, and answers nothing if the connection has ended. It returns false.
func (cn *conn) refuseUnreadable(err error) bool {
	var ne net.Error
	switch {
	case cn.memory.Evicted():
		return cn.refuse(http.StatusServiceUnavailable, ReasonNoMemory)
	case errors.Is(err, errHeaderTooLarge), cn.heads.Exceeded():
		return cn.refuse(http.StatusRequestHeaderFieldsTooLarge, ReasonHeaderTooLarge)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &ne):
		return false
	}
	return cn.refuse(http.StatusBadRequest, ReasonMalformed)
}

// headerSize returns the size that Limits.MaxHeaderBytes bounds: method, URI, host, and each
// header field with 4 bytes for its colon, space and line end. It also returns the number of
// header lines.
func headerSize(r *http.Request) (size, lines int) {
	size = len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		lines += len(values)
		for _, value := range values {
			size += len(name) + len(value) + 4
		}
	}
	return size, lines
}

// Abort makes the read of a request fail. It implements buffer.Reader.
func (cn *conn) Abort() { _ = cn.nc.SetReadDeadline(time.Unix(1, 0)) }

// Cancel closes the connection if its client does not read, and otherwise cancels its requests in
// flight, whose answers then say whether they have run. It implements buffer.Canceller.
func (cn *conn) Cancel() {
	cn.cancelled.Store(true)
	if cn.stalled.Load() {
		cn.givenUp.Store(true)
		_ = cn.nc.SetWriteDeadline(time.Unix(1, 0))
	}
	go cn.cancelRequests(ErrNoMemory)
}

// cancelRequests cancels the requests in flight whose handlers have not returned.
func (cn *conn) cancelRequests(cause error) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	for _, ex := range cn.queue {
		if ex.cancel != nil && !ex.ready {
			ex.cancel(cause)
		}
	}
}

// report tells Options.Refused that a request was refused or the connection closed.
func (cn *conn) report(reason string) {
	if cn.sv.opt.Refused != nil {
		cn.sv.opt.Refused(Refusal{Reason: reason, Remote: cn.nc.RemoteAddr().String(), Held: cn.memory.Held()})
	}
}

// drop returns the memory of a request and its answer. cn.mu must be held.
func (cn *conn) drop(ex *exchange) {
	cn.memory.Drop(ex.held)
	ex.held = 0
}

// dropBody returns the memory of the body of a request whose handler has returned. It is not needed any
// more, the answer may be large as well, and it may wait for long. What Begin has returned refers to
// the body too.
//
// It does not take cn.mu. Until the exchange is ready, only the goroutine of its handler uses what is
// changed here.
func (cn *conn) dropBody(ex *exchange) {
	size := min(int64(len(ex.request.Body)), ex.held)
	ex.request.Body, ex.request.Begun = nil, nil
	ex.held -= size
	cn.memory.Drop(size)
}

// readBody returns the body of a request, errBodyTooLarge if it is longer than limit, or
// buffer.ErrNoMemory.
func (cn *conn) readBody(r *http.Request, limit int64) ([]byte, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	if r.ContentLength > limit {
		return nil, errBodyTooLarge
	}
	if r.Header.Get("Expect") == "100-continue" {
		cn.sendContinue()
		defer cn.dropContinue()
	}
	body, err := buffer.ReadAll(&cn.memory, r.Body, r.ContentLength, limit)
	switch {
	case err != nil && cn.memory.Evicted():
		err = buffer.ErrNoMemory
	case err == nil && int64(len(body)) > limit:
		err = errBodyTooLarge
	case err == nil && r.ContentLength >= 0 && int64(len(body)) < r.ContentLength:
		err = io.ErrUnexpectedEOF
	}
	return body, err
}

// sendContinue tells the caller to send the body of its request, at once or after the answers to the
// requests in flight.
func (cn *conn) sendContinue() {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.continueWanted = true
	cn.writeAnswers()
}

// writeContinue writes the interim answer 100.
func (cn *conn) writeContinue() error {
	_ = cn.nc.SetWriteDeadline(time.Now().Add(cn.sv.opt.Limits().IdleTimeout))
	_, err := io.WriteString(cn.nc, "HTTP/1.1 100 Continue\r\n\r\n")
	return err
}

// dropContinue records that the body has arrived, so that no interim answer is wanted any more.
func (cn *conn) dropContinue() {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.continueWanted = false
}

// noneInFlight reports whether no request is in flight.
func (cn *conn) noneInFlight() bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return len(cn.queue) == 0
}

// startHandler runs the handler of a request in another goroutine. It returns false if no
// request may follow on the connection.
func (cn *conn) startHandler(ex *exchange) bool {
	cn.headSince.Store(0)
	r := ex.request.HTTP
	ctx, cancel := cn.requestContext()
	ex.closeAfter, ex.cancel = r.Close || !r.ProtoAtLeast(1, 1), cancel
	cn.readDeadline(ex)
	if !cn.enqueue(ex) {
		cn.memory.Drop(ex.held)
		cn.abandon(ex)
		return false
	}
	cn.sv.workers.Go(func() { cn.complete(ex, cn.sv.opt.Handler(ctx, &ex.request)) })
	return !ex.closeAfter || cn.awaitLastAnswer()
}

// requestContext returns the context of the next request. Requests that are not in flight together
// share one, since a context takes several allocations.
func (cn *conn) requestContext() (context.Context, context.CancelCauseFunc) {
	if !cn.noneInFlight() {
		return context.WithCancelCause(context.Background())
	}
	if cn.ctx == nil || cn.ctx.Err() != nil {
		cn.ctx, cn.cancel = context.WithCancelCause(context.Background())
	}
	return cn.ctx, cn.cancel
}

// earliestBehind returns the earliest deadline of the requests behind one, or zero.
func (cn *conn) earliestBehind(rq *Request) (earliest time.Time) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	behind := false
	for _, ex := range cn.queue {
		dl := ex.request.Deadline
		if behind && !dl.IsZero() && (earliest.IsZero() || dl.Before(earliest)) {
			earliest = dl
		}
		behind = behind || &ex.request == rq
	}
	return earliest
}

// giveWayAt returns the time at which those ahead of the request give way to its answer.
func (ex *exchange) giveWayAt() time.Time {
	stated := ex.request.Deadline.Sub(ex.readAt)
	return ex.request.Deadline.Add(-max(stated/giveWayDivisor, minGiveWay))
}

// giveWay cancels the requests that hold up the answer of a finished one which is about to
// expire, if all of them may be repeated. A server that drains answers all that it has accepted.
func (cn *conn) giveWay(ex *exchange) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	at := slices.Index(cn.queue, ex)
	if at < 0 || cn.closing || cn.sv.opt.MayRepeat == nil || cn.sv.opt.Draining() {
		return
	}
	ahead := slices.DeleteFunc(slices.Clone(cn.queue[:at]), func(other *exchange) bool { return other.ready })
	for _, other := range ahead {
		if other.cancel == nil || !cn.sv.opt.MayRepeat(other.request.HTTP) {
			return
		}
	}
	for _, other := range ahead {
		other.cancel(ErrGaveWay)
	}
}

// refuse answers a request that is not passed to the handler, and ends the connection,
// because the position of the next request in the stream is not known. It returns false.
func (cn *conn) refuse(status int, reason string) bool {
	cn.report(reason)
	cn.headSince.Store(0)
	cn.memory.Release()
	ex := &exchange{request: Request{HTTP: &http.Request{Method: http.MethodGet}}, closeAfter: true}
	if cn.enqueue(ex) {
		cn.complete(ex, cn.sv.opt.Refuse(status, reason))
		cn.awaitLastAnswer()
	}
	return false
}

// enqueue adds a request to the queue. It returns false if the connection is closing. The
// request must not run then, because the caller assumes that requests sent after the one
// with the last answer were not read.
func (cn *conn) enqueue(ex *exchange) bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if cn.closing || cn.final {
		return false
	}
	cn.queue = append(cn.queue, ex)
	return true
}

// awaitLastAnswer waits until the last answer is written. It continues to read, in order to
// detect that the caller closes the connection. It returns false.
func (cn *conn) awaitLastAnswer() bool {
	cn.heads.EndHead()
	_ = cn.nc.SetReadDeadline(time.Time{})
	for {
		cn.mu.Lock()
		closing := cn.closing
		cn.mu.Unlock()
		if closing {
			return false
		}
		if _, err := cn.br.Discard(1); err != nil {
			return false
		}
	}
}

// complete stores the answer of a request. It writes all answers that no earlier request
// holds back, unless another goroutine does.
func (cn *conn) complete(ex *exchange, an Answer) {
	cn.dropBody(ex)
	grown := int64(0)
	if size := answerSize(an); size > freeAnswerBytes {
		grown = size - freeAnswerBytes
		if cn.memory.GrowKept(grown) != nil {
			cn.report(ReasonNoMemory)
			grown, an = 0, cn.sv.opt.Refuse(http.StatusBadGateway, ReasonNoMemory)
		}
	}
	ex.request.Memory.End()
	cn.mu.Lock()
	defer cn.mu.Unlock()
	ex.answer, ex.ready = an, true
	ex.held += grown
	if cn.closing {
		cn.drop(ex)
		return
	}
	if len(cn.queue) > 0 && cn.queue[0] != ex && !ex.request.Deadline.IsZero() {
		time.AfterFunc(time.Until(ex.giveWayAt()), func() { cn.giveWay(ex) })
	}
	cn.writeAnswers()
}

// writeAnswers writes the answers that are ready and that no earlier request holds back, and the
// interim answer 100 if it is wanted behind them. It does nothing if another goroutine does that
// already. cn.mu must be held, and is released while data is written.
func (cn *conn) writeAnswers() {
	if cn.writing {
		return
	}
	cn.writing = true
	for more := true; more && !cn.closing; {
		more = cn.writeNext()
	}
	cn.writing = false
	cn.notWriting.Broadcast()
	if cn.closing {
		return
	}
	if cn.cancelled.Load() && cn.memory.Held() == 0 {
		// The memory has been returned. Later requests are not concerned.
		cn.cancelled.Store(false)
	}
	if len(cn.queue) == 0 && !cn.readingRequest && !cn.closing {
		now := time.Now()
		cn.idleSince.Store(now.UnixNano())
		_ = cn.nc.SetReadDeadline(now.Add(cn.sv.opt.Limits().IdleTimeout))
	}
	cn.notFull.Signal()
}

// writeNext writes the next answer, or the interim answer 100. It returns false if there is none to be
// written. cn.mu must be held, and is released while data is written.
func (cn *conn) writeNext() bool {
	switch {
	case len(cn.queue) > 0 && cn.queue[0].ready:
		head := cn.queue[0]
		// The array of the queue would keep the answer.
		cn.queue[0] = nil
		cn.queue = cn.queue[1:]
		last := head.closeAfter || len(cn.queue) == 0 && (head.answer.Close || cn.sv.opt.Draining())
		cn.final = last
		cn.mu.Unlock()
		err := cn.writeAnswer(head, last)
		cn.mu.Lock()
		cn.drop(head)
		if err != nil || last {
			cn.close()
		}
		cn.notFull.Signal()
	case cn.continueWanted && len(cn.queue) == 0:
		cn.continueWanted = false
		cn.mu.Unlock()
		err := cn.writeContinue()
		cn.mu.Lock()
		if err != nil {
			cn.close()
		}
	default:
		return false
	}
	return true
}

// close stops the reading goroutine, which then closes the connection. cn.mu must be held.
func (cn *conn) close() {
	cn.closing = true
	cn.notFull.Broadcast()
	cn.memory.Close()
	_ = cn.nc.SetReadDeadline(time.Now())
}

// closeIdle closes the connection if no request is in flight, being read or waiting to be read: the
// process may not have run since it arrived.
func (cn *conn) closeIdle() {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if len(cn.queue) == 0 && !cn.writing && !cn.readingRequest && !cn.closing && !hasUnread(cn.nc) {
		cn.close()
	}
}

// hasUnread reports whether data has arrived on a connection that nobody has read.
func hasUnread(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	unread := 0
	// Unlike Read, Control does not wait for the goroutine that reads.
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		// Without data, or at the end of the connection, unread is not positive.
		unread, _, _ = syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && unread > 0
}

// abort closes the connection at once, without the answers of requests in flight.
func (cn *conn) abort() {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.abortLocked()
}

// abortLocked is abort for a caller that holds cn.mu.
func (cn *conn) abortLocked() {
	cn.closing = true
	cn.notFull.Broadcast()
	cn.memory.Close()
	_ = cn.nc.Close()
}

// closeUnserved closes the connection at once if no request is in flight on it, so that nothing of
// it was passed on.
func (cn *conn) closeUnserved() {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if len(cn.queue) == 0 && !cn.writing && !cn.closing {
		cn.report(ReasonConnections)
		cn.abortLocked()
	}
}

// answerSize returns the memory of an answer.
func answerSize(an Answer) int64 {
	size := len(an.Body)
	for name, values := range an.Header {
		for _, value := range values {
			size += len(name) + len(value) + headerLineBytes
		}
	}
	return int64(size)
}

// writeAnswer writes one answer. If last is true, it announces that the connection closes. Only the
// goroutine of writeAnswers calls it, without cn.mu.
func (cn *conn) writeAnswer(ex *exchange, last bool) error {
	an := ex.answer
	// A long body is not copied behind the head.
	short := len(an.Body) <= writeBytes
	var buf bytes.Buffer
	if short {
		buf.Grow(512 + len(an.Body))
	}
	buf.WriteString("HTTP/1.1 " + strconv.Itoa(an.Status) + " " + http.StatusText(an.Status) + "\r\n")
	header.WriteFields(&buf, an.Header, nil)
	if last {
		buf.WriteString("Connection: close\r\n")
	}
	if an.Status != http.StatusNoContent && an.Status != http.StatusNotModified {
		buf.WriteString("Content-Length: " + strconv.Itoa(len(an.Body)) + "\r\n")
	}
	buf.WriteString("\r\n")
	end := time.Now().Add(cn.sv.opt.Limits().IdleTimeout)
	if ex.request.HTTP.Method == http.MethodHead {
		return cn.write(buf.Bytes(), end)
	}
	if short {
		buf.Write(an.Body)
		return cn.write(buf.Bytes(), end)
	}
	if err := cn.write(buf.Bytes(), end); err != nil {
		return err
	}
	for body := an.Body; len(body) > 0; {
		part := body[:min(len(body), writeBytes)]
		body = body[len(part):]
		if err := cn.write(part, end); err != nil {
			return err
		}
	}
	return nil
}

// write writes data until a time. It marks the connection as stalled when the client has taken
// nothing for stallTime.
func (cn *conn) write(data []byte, end time.Time) error {
	for progress := time.Now(); ; {
		until := time.Now().Add(stallPollTime)
		if until.After(end) {
			until = end
		}
		_ = cn.nc.SetWriteDeadline(until)
		if cn.givenUp.Load() {
			return errNotReading
		}
		n, err := cn.nc.Write(data)
		if n > 0 {
			progress = time.Now()
			if cn.stalled.Load() {
				cn.setStalled(false)
			}
		}
		data = data[n:]
		switch {
		case err == nil:
			return nil
		case cn.givenUp.Load():
			cn.report(ReasonNotReading)
			return errNotReading
		case !errors.Is(err, os.ErrDeadlineExceeded) || !time.Now().Before(end):
			return err
		case time.Since(progress) >= stallTime:
			cn.setStalled(true)
			if cn.cancelled.Load() {
				cn.report(ReasonNotReading)
				return errNotReading
			}
		}
	}
}

// setStalled records whether the client reads its answers.
func (cn *conn) setStalled(stalled bool) {
	cn.stalled.Store(stalled)
	cn.memory.SetStalled(stalled)
}
