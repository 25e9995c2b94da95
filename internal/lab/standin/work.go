package standin

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"camphortrail/internal/traffic/header"
)

const maxBodyBytes = 16 << 20

// trace is the content of the tracing headers: the root, the number of its send, the run
// that made the call, and the index of that call.
type trace struct {
	root   RootID
	send   int
	parent RunID
	call   int
}

// readTrace returns the trace in the headers; what is missing is 0.
func readTrace(hd http.Header) trace {
	root, _ := strconv.ParseUint(hd.Get(headerRoot), 16, 64)
	send, _ := strconv.Atoi(hd.Get(headerSend))
	parent, _ := strconv.ParseUint(hd.Get(headerParent), 16, 64)
	number, _ := strconv.Atoi(hd.Get(headerCall))
	return trace{root: RootID(root), send: send, parent: RunID(parent), call: number}
}

func (tc trace) write(hd http.Header) {
	hd.Set(headerRoot, strconv.FormatUint(uint64(tc.root), 16))
	hd.Set(headerSend, strconv.Itoa(tc.send))
	hd.Set(headerParent, strconv.FormatUint(uint64(tc.parent), 16))
	hd.Set(headerCall, strconv.Itoa(tc.call))
}

// request is one request that an upstream received.
type request struct {
	trace
	method, path string
	key, attempt string
	body         []byte
}

// idempotent reports whether the method is idempotent, as HTTP defines it for all methods
// but POST and PATCH.
func (rq *request) idempotent() bool {
	return rq.method != http.MethodPost && rq.method != http.MethodPatch
}

// ServeHTTP processes one request: it waits for a slot, does the work, makes the calls
// and answers. Without a slot before the deadline, or while leaving, it answers not-run.
func (us *Upstream) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "incomplete request", http.StatusBadRequest)
		return
	}
	rq := &request{
		trace:   readTrace(req.Header),
		method:  req.Method,
		path:    req.URL.Path,
		key:     req.Header.Get(header.IdempotencyKey),
		attempt: req.Header.Get(header.Attempt),
		body:    body,
	}
	ctx, cancel := withDeadline(req)
	defer cancel()
	if us.leaving.Load() || !us.acquireSlot(ctx) {
		w.Header().Set(header.Attempt, rq.attempt)
		w.Header().Set(header.Outcome, "not-run")
		http.Error(w, "not run", http.StatusServiceUnavailable)
		return
	}
	status := us.run(ctx, rq)
	us.releaseSlot()
	if status != http.StatusOK {
		w.Header().Set(header.Attempt, rq.attempt)
		http.Error(w, "not done", status)
		return
	}
	answer := answerBody(digestOf(rq.method, rq.path, rq.root, rq.body), us.opt.AnswerBytes)
	us.nextFault().writeAnswer(req.Context(), w, rq.attempt, answer)
}

// withDeadline returns the request's context, bounded by the deadline in its header, if
// any.
func withDeadline(req *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(req.Header.Get(header.DeadlineMS), 10, 64)
	if err != nil {
		return context.WithCancel(req.Context())
	}
	return context.WithTimeout(req.Context(), time.Duration(ms)*time.Millisecond)
}

// acquireSlot waits for a slot. It returns false if ctx ends before.
func (us *Upstream) acquireSlot(ctx context.Context) bool {
	us.waiting.Add(1)
	defer us.waiting.Add(-1)
	select {
	case us.slots <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	running := us.running.Add(1)
	for {
		most := us.maxRunning.Load()
		if running <= most || us.maxRunning.CompareAndSwap(most, running) {
			return true
		}
	}
}

// releaseSlot returns the slot of a request.
func (us *Upstream) releaseSlot() {
	us.running.Add(-1)
	<-us.slots
}

// run does the work and the calls of a request and returns the status of the answer. The
// end of ctx aborts idempotent work only.
func (us *Upstream) run(ctx context.Context, rq *request) int {
	id := us.opt.Recorder.addRun(Run{
		Service: us.opt.Service, VM: us.opt.VM,
		Root: rq.root, Send: rq.send, Parent: rq.parent, Call: rq.call,
		Key: rq.key, Attempt: rq.attempt, Idempotent: rq.idempotent(), Started: time.Now(),
	})
	if !rq.idempotent() {
		ctx = context.WithoutCancel(ctx)
	}
	if !us.sleeper.sleep(ctx, time.Duration(us.serviceTime.Load())) {
		return http.StatusGatewayTimeout
	}
	for i, cl := range us.opt.Calls {
		path, ok := cl.target(rq.method, rq.path)
		if !ok {
			continue
		}
		tc := trace{root: rq.root, send: rq.send, parent: id, call: i}
		if status := us.call(ctx, rq, tc, path); status != http.StatusOK {
			return status
		}
	}
	return http.StatusOK
}

// callTimeout bounds a call in case that the node does not answer at its deadline.
const callTimeout = 15 * time.Second

// call sends one request through the node. It returns 200 for the complete answer, 503 if
// it was refused, and 502 otherwise.
func (us *Upstream) call(ctx context.Context, rq *request, tc trace, path string) int {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, rq.method, us.opt.NodeURL+path, bytes.NewReader(rq.body))
	if err != nil {
		return http.StatusBadGateway
	}
	tc.write(req.Header)
	if rq.attempt != "" {
		req.Header.Set(header.Attempt, rq.attempt)
	}
	if rq.key != "" {
		req.Header.Set(header.IdempotencyKey, rq.key+"-"+string(us.opt.Service)+"-"+strconv.Itoa(tc.call))
	}
	res, err := us.client.Do(req)
	if err != nil {
		return http.StatusBadGateway
	}
	defer discardBody(res.Body)
	if res.StatusCode == http.StatusServiceUnavailable {
		return res.StatusCode
	}
	if checkAnswer(res, digestOf(rq.method, path, rq.root, rq.body), us.opt.AnswerBytes) != Complete {
		return http.StatusBadGateway
	}
	return http.StatusOK
}

// nextFault returns the fault of the next answer.
func (us *Upstream) nextFault() Fault {
	every := us.faultInterval.Load()
	if every == 0 || us.answered.Add(1)%every != 0 {
		return NoFault
	}
	return Fault(us.fault.Load())
}
