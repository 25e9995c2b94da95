package soak

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// callersPerNode is the number of kept connections at each node.
	callersPerNode = 6
	// maxGap is the longest time between two requests of a caller.
	maxGap = 300 * time.Millisecond
	// minWork and maxWork bound the work of a request, and maxLongWork that of a long one.
	minWork     = 64 * time.Millisecond
	maxWork     = 210 * time.Millisecond
	maxLongWork = 4800 * time.Millisecond
	// callWork is the work of a call.
	callWork = 15 * time.Millisecond
	// dialTimeout is the time that a caller allows a new connection.
	dialTimeout = time.Second
	// retryAfterShare is the longest pause before a retry, as a share of the time that is left.
	retryAfterShare = 1.0 / 3
	// maxChunks is the largest number of parts in which a body is sent slowly.
	maxChunks = 8
)

// Mix says what callers send. Shares are between 0 and 1.
type Mix struct {
	// Long is the share of requests with long work.
	Long float64
	// Ahead is the share of callers that send safe requests before earlier ones are answered.
	Ahead float64
	// Calls is the share of requests that make calls.
	Calls float64
	// SlowBodies is the share of requests with bodies that are sent slowly in chunks.
	SlowBodies float64
	// Parts is 1 if answers may come in parts. Only callers of a Deployment ask for that.
	Parts float64
}

// request is what a caller sends, chosen from the seed.
type request struct {
	kind     Kind
	path     string
	deadline time.Duration // 0 if the caller does not state it
	timeout  time.Duration // of the route
	key      string        // of a customer, or empty
	body     []byte
	// parts is the number of parts in which the body is sent, partGap the time between two of
	// them. With 0 parts it is sent at once, with its length.
	parts   int
	partGap time.Duration
	// length is that of the answer.
	length int
}

// wait returns the time for which the caller waits.
func (rq *request) wait() time.Duration {
	if rq.deadline == 0 {
		return rq.timeout + time.Second
	}
	return rq.deadline
}

// callerRoutes are the routes of callers, each as often as it stands there.
var callerRoutes = []string{"tag-lookup", "tag-lookup", "tag-lookup", "tag-issue", "tag-issue", "plan-upload", "tag-cancel", "tag-cancel"}

// chooseRequest returns the next request of a caller.
func (mx Mix) chooseRequest(rnd *rand.Rand, ahead bool) *request {
	name := callerRoutes[rnd.IntN(len(callerRoutes))]
	rq := &request{kind: firstRoutes[name].Kind, deadline: 5 * time.Second, timeout: routeTimeout, length: 200 + rnd.IntN(3000)}
	if ahead && rq.kind.RunsOnce() {
		name, rq.kind = "tag-lookup", Safe
	}
	work := minWork + rand64(rnd, maxWork-minWork)
	if rnd.Float64() < mx.Long {
		work = maxWork + rand64(rnd, maxLongWork-maxWork)
	}
	switch rnd.IntN(10) {
	case 0:
		rq.deadline = 0
	case 1:
		rq.deadline = routeTimeout
	case 2:
		rq.deadline = work + 500*time.Millisecond
	}
	query := url.Values{"work": {milliseconds(work)}, "bytes": {strconv.Itoa(rq.length)}}
	if rnd.Float64() < mx.Calls {
		inner := url.Values{"work": {milliseconds(callWork)}, "bytes": {"100"}}
		if rnd.Float64() < mx.Long {
			inner.Set("work", milliseconds(rand64(rnd, maxLongWork/2)))
		}
		call := "/plan-index-read/a?" + inner.Encode()
		if rnd.IntN(2) == 0 {
			inner.Set("call", call)
		}
		query["call"] = []string{"/bay-ledger-read/a?" + inner.Encode()}
	}
	rq.path = "/" + name + "/a?" + query.Encode()
	if rq.kind.RunsOnce() || rnd.Float64() < mx.SlowBodies {
		rq.body = make([]byte, 100+rnd.IntN(20_000))
	}
	if rq.body != nil && rnd.Float64() < mx.SlowBodies {
		rq.parts, rq.partGap = 2+rnd.IntN(maxChunks-1), rand64(rnd, 250*time.Millisecond)
	}
	return rq
}

// rand64 returns a time below limit.
func rand64(rnd *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(rnd.Int64N(int64(limit)))
}

func milliseconds(length time.Duration) string { return strconv.FormatInt(length.Milliseconds(), 10) }

// caller is a caller on the machine of a node.
type caller struct {
	ma    *Machine
	name  string
	mix   Mix
	rnd   *rand.Rand
	ahead int
	sends atomic.Uint64
	// retries are the retries in progress.
	retries sync.WaitGroup
}

var lastConn atomic.Uint64

// newCaller returns the caller with an index at a node.
func newCaller(ma *Machine, index int, mix Mix) *caller {
	name := fmt.Sprintf("caller-%s-%d", ma.Name, index)
	ca := &caller{ma: ma, name: name, mix: mix, rnd: ma.fl.opt.Seed.Rand(name), ahead: 1}
	share := mix.Ahead
	if dep := ma.fl.opt.Deployment; dep != nil {
		share = max(share, dep.AheadShare)
	}
	if ca.rnd.Float64() < share {
		ca.ahead = 2 + ca.rnd.IntN(3)
	}
	return ca
}

// run sends requests on one kept connection after the other until ctx ends, and then waits for
// what is left.
func (ca *caller) run(ctx context.Context) {
	defer ca.retries.Wait()
	for ctx.Err() == nil {
		cn, err := ca.dial(ctx, true)
		if err != nil {
			_ = pause(ctx, 100*time.Millisecond)
			continue
		}
		cn.converse(ctx)
	}
}

func (ca *caller) dial(ctx context.Context, kept bool) (*callerConn, error) {
	dl := net.Dialer{Timeout: dialTimeout}
	nc, err := dl.DialContext(ctx, "tcp", ca.ma.CallerAddress())
	if err != nil {
		return nil, err
	}
	cn := &callerConn{ca: ca, nc: nc, id: ConnID(lastConn.Add(1)), kept: kept, ended: make(chan struct{}), changed: make(chan struct{}, 1)}
	go cn.read()
	return cn, nil
}

// callerConn is one connection of a caller.
type callerConn struct {
	ca   *caller
	nc   net.Conn
	id   ConnID
	kept bool
	// ended is closed when nothing more comes, and changed holds a value after each answer.
	ended, changed chan struct{}

	mu      sync.Mutex
	waiting []*outstanding
	// closing says that the connection is done once nothing is outstanding.
	closing bool
}

// outstanding is a request without a whole answer.
type outstanding struct {
	*request
	id     RequestID
	begun  Moment
	giveUp time.Time
	// resent says that the request is itself a retry.
	resent bool
}

// converse sends requests until ctx or the connection ends, and waits for the answers.
func (cn *callerConn) converse(ctx context.Context) {
	ca := cn.ca
	for pauseUnless(ctx, rand64(ca.rnd, ca.maxGap()), cn.ended) && cn.waitBelow(ctx, ca.ahead) {
		rq := ca.chooseRequest()
		cn.send(rq, rq.wait(), false)
		if ctx.Err() != nil {
			break
		}
	}
	cn.finish()
}

// maxGap returns the longest time between two requests.
func (ca *caller) maxGap() time.Duration {
	if dep := ca.ma.fl.opt.Deployment; dep != nil {
		return time.Duration(dep.MaxGapMS) * time.Millisecond
	}
	return maxGap
}

// chooseRequest returns the next request.
func (ca *caller) chooseRequest() *request {
	if dep := ca.ma.fl.opt.Deployment; dep != nil {
		return dep.chooseRequest(ca.rnd, ca.mix, ca.ahead > 1)
	}
	return ca.mix.chooseRequest(ca.rnd, ca.ahead > 1)
}

// finish waits until nothing is outstanding, and closes the connection.
func (cn *callerConn) finish() {
	cn.mu.Lock()
	cn.closing = true
	if len(cn.waiting) == 0 {
		_ = cn.nc.Close()
	}
	cn.mu.Unlock()
	<-cn.ended
}

// pauseUnless waits for a time and reports whether neither ctx nor the channel has ended.
func pauseUnless(ctx context.Context, length time.Duration, ended <-chan struct{}) bool {
	select {
	case <-time.After(length):
		return true
	case <-ctx.Done():
	case <-ended:
	}
	return false
}

// waitBelow waits until fewer than limit requests are outstanding, and reports whether neither ctx
// nor the connection has ended.
func (cn *callerConn) waitBelow(ctx context.Context, limit int) bool {
	for {
		cn.mu.Lock()
		free := len(cn.waiting) < limit
		cn.mu.Unlock()
		if free {
			return true
		}
		select {
		case <-cn.changed:
		case <-cn.ended:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// send sends a request, for whose answer it waits at most for wait.
func (cn *callerConn) send(rq *request, wait time.Duration, resent bool) {
	ca := cn.ca
	rc := ca.ma.fl.Recorder
	ou := &outstanding{
		request: rq, id: RequestID(fmt.Sprintf("%s-%d", ca.name, ca.sends.Add(1))), begun: rc.Now(),
		giveUp: time.Now().Add(wait), resent: resent,
	}
	sent := Sent{
		ID: ou.id, Begun: ou.begun, Node: ca.ma.Name, Conn: cn.id, Kept: cn.kept, Kind: rq.kind,
		Deadline: min(rq.deadline, wait).Truncate(time.Millisecond), Timeout: rq.timeout, Path: rq.path,
	}
	cn.mu.Lock()
	sent.Behind = len(cn.waiting) > 0
	cn.waiting = append(cn.waiting, ou)
	if !sent.Behind {
		_ = cn.nc.SetReadDeadline(ou.giveUp)
	}
	cn.mu.Unlock()
	_ = cn.nc.SetWriteDeadline(ou.giveUp)
	sent.Crossed = cn.closedByNode()
	if cn.write(rq, ou.id, sent.Deadline) != nil {
		return
	}
	sent.At = rc.Now()
	if cn.closedByNode() && rc.Now().Sub(sent.At) <= LossSlack {
		sent.Crossed = true
	}
	rc.Add(sent)
}

// closedByNode reports whether the end of the node's side of the connection has arrived. The
// reading goroutine learns of it later, on a busy computer by more than the loss slack.
func (cn *callerConn) closedByNode() bool { return closedByPeer(cn.nc) }

// closedByPeer reports whether the end of the peer's side of a TCP connection has arrived.
func closedByPeer(nc net.Conn) bool {
	raw, err := nc.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	closed := true
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err != nil || info.State != unix.BPF_TCP_ESTABLISHED
	})
	return closed || err != nil
}

// write writes a request.
func (cn *callerConn) write(rq *request, id RequestID, deadline time.Duration) error {
	method := http.MethodGet
	if rq.body != nil {
		method = http.MethodPost
	}
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n", method, rq.path, routeHost, requestIDHeader, id)
	if deadline > 0 {
		fmt.Fprintf(&head, "%s: %d\r\n", deadlineHeader, deadline.Milliseconds())
	}
	if rq.key != "" {
		fmt.Fprintf(&head, "%s: %s %s\r\n", keyHeader, keyScheme, rq.key)
	}
	switch {
	case rq.parts > 0:
		head.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	case rq.body != nil:
		fmt.Fprintf(&head, "Content-Length: %d\r\n\r\n%s", len(rq.body), rq.body)
	default:
		head.WriteString("\r\n")
	}
	if _, err := io.WriteString(cn.nc, head.String()); err != nil || rq.parts == 0 {
		return err
	}
	size := (len(rq.body) + rq.parts - 1) / rq.parts
	for left := rq.body; len(left) > 0; {
		part := left[:min(size, len(left))]
		left = left[len(part):]
		if !pauseUnless(context.Background(), rq.partGap, cn.ended) {
			return io.ErrClosedPipe
		}
		if _, err := fmt.Fprintf(cn.nc, "%x\r\n%s\r\n", len(part), part); err != nil {
			return err
		}
	}
	_, err := io.WriteString(cn.nc, "0\r\n\r\n")
	return err
}

// read reads answers until the connection ends, or an answer ends it.
func (cn *callerConn) read() {
	defer close(cn.ended)
	defer cn.nc.Close()
	er := &errorReader{Reader: cn.nc}
	br := bufio.NewReader(er)
	for {
		res, err := http.ReadResponse(br, nil)
		if err != nil {
			cn.end(cmp.Or(er.err, err))
			return
		}
		length, err := io.Copy(io.Discard, res.Body)
		if err != nil {
			cn.end(cmp.Or(er.err, err))
			return
		}
		if !cn.answered(res, int(length)) {
			return
		}
	}
}

// errorReader keeps the error of its reader. Readers of heads return errors of their own where a line
// is not whole, whatever the reason.
type errorReader struct {
	io.Reader
	err error
}

func (er *errorReader) Read(data []byte) (int, error) {
	n, err := er.Reader.Read(data)
	if err != nil {
		er.err = err
	}
	return n, err
}

// errClosedByAnswer ends the requests that were sent behind an answer with `Connection: close`.
var errClosedByAnswer = errors.New("an earlier answer closes the connection")

// answered records the answer to the oldest request, and reports whether the connection goes on.
func (cn *callerConn) answered(res *http.Response, length int) bool {
	rc := cn.ca.ma.fl.Recorder
	cn.mu.Lock()
	if len(cn.waiting) == 0 {
		cn.mu.Unlock()
		if res.StatusCode/100 == 2 {
			rc.Find(Mixed, "connection %d at %s: an answer %d with no request waiting", cn.id, cn.ca.ma.Name, res.StatusCode)
		}
		return false
	}
	ou := cn.waiting[0]
	cn.waiting = cn.waiting[1:]
	last := len(cn.waiting) == 0
	if !last {
		_ = cn.nc.SetReadDeadline(cn.waiting[0].giveUp)
	} else {
		_ = cn.nc.SetReadDeadline(time.Time{})
	}
	goesOn := !res.Close && (!last || !cn.closing)
	cn.mu.Unlock()
	sign := res.Header.Get(signatureHeader)
	rc.Add(Answered{ID: ou.id, At: rc.Now(), Status: res.StatusCode, Signed: sign != ""})
	if id := res.Header.Get(requestIDHeader); id != "" && RequestID(id) != ou.id ||
		res.StatusCode/100 == 2 && sign != signature(ou.id, res.StatusCode, length) ||
		sign != "" && !strings.HasPrefix(sign, fmt.Sprintf("%s.%d.", ou.id, res.StatusCode)) {
		rc.Find(Mixed, "%s at %s: status %d, id %q, signature %q, %d bytes", ou.id, cn.ca.ma.Name, res.StatusCode, id, sign, length)
	}
	select {
	case cn.changed <- struct{}{}:
	default:
	}
	cn.ca.retry(ou, res.StatusCode, res.Header.Get("Retry-After"))
	if res.Close {
		cn.end(errClosedByAnswer)
	}
	return goesOn
}

// end records what is outstanding as cut, or as given up if its time is over.
func (cn *callerConn) end(err error) {
	rc := cn.ca.ma.fl.Recorder
	cn.mu.Lock()
	left := cn.waiting
	cn.waiting = nil
	cn.mu.Unlock()
	var timeout net.Error
	gaveUp := errors.As(err, &timeout) && timeout.Timeout()
	for _, ou := range left {
		if gaveUp {
			rc.Add(GaveUp{ou.id, rc.Now()})
			continue
		}
		rc.Add(Cut{ou.id, rc.Now(), errors.Is(err, syscall.ECONNRESET), err.Error()})
		cn.ca.retry(ou, 0, "")
	}
}

// retry sends a request once more, on a new connection, where its failure allows it. Status 0 is a
// connection that ended.
func (ca *caller) retry(ou *outstanding, status int, after string) {
	switch status {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusNotFound, http.StatusRequestEntityTooLarge, http.StatusRequestHeaderFieldsTooLarge:
		return
	}
	left := time.Until(ou.giveUp)
	if status/100 == 2 || ou.resent || ou.kind.RunsOnce() && !promisesNotRun(status) || left <= 0 {
		return
	}
	seconds, _ := strconv.ParseFloat(after, 64)
	delay := min(time.Duration(seconds*float64(time.Second)), time.Duration(float64(left)*retryAfterShare))
	ca.retries.Go(func() {
		ctx, stop := context.WithDeadline(context.Background(), ou.giveUp)
		defer stop()
		if pause(ctx, delay) != nil {
			return
		}
		cn, err := ca.dial(ctx, false)
		if err != nil {
			return
		}
		cn.send(ou.request, time.Until(ou.giveUp), true)
		cn.finish()
	})
}
