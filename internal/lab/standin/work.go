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

// trace is what stand-ins carry in headers beside those of the system.
type trace struct {
	root   RootID
	send   int
	parent RunID
	call   int
}

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

// job is one request that an upstream received.
type job struct {
	trace
	method, path string
	key, attempt string
	body         []byte
}

// idempotent tells by the method, as HTTP does.
func (jb *job) idempotent() bool {
	return jb.method != http.MethodPost && jb.method != http.MethodPatch
}

// ServeHTTP runs one request: wait for a slot, work, call, answer.
func (us *Upstream) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "incomplete request", http.StatusBadRequest)
		return
	}
	jb := &job{
		trace:   readTrace(req.Header),
		method:  req.Method,
		path:    req.URL.Path,
		key:     req.Header.Get(header.IdempotencyKey),
		attempt: req.Header.Get(header.Attempt),
		body:    body,
	}
	ctx, cancel := withDeadline(req)
	defer cancel()
	if us.leaving.Load() || !us.take(ctx) {
		w.Header().Set(header.Attempt, jb.attempt)
		w.Header().Set(header.Outcome, "not-run")
		http.Error(w, "not run", http.StatusServiceUnavailable)
		return
	}
	status := us.run(ctx, jb)
	us.release()
	if status != http.StatusOK {
		w.Header().Set(header.Attempt, jb.attempt)
		http.Error(w, "not done", status)
		return
	}
	answer := answerBody(digestOf(jb.method, jb.path, jb.root, jb.body), us.opt.AnswerBytes)
	us.nextFault().answer(req.Context(), w, jb.attempt, answer)
}

// withDeadline returns a context that ends at the deadline that the request
// states, if any.
func withDeadline(req *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(req.Header.Get(header.DeadlineMS), 10, 64)
	if err != nil {
		return context.WithCancel(req.Context())
	}
	return context.WithTimeout(req.Context(), time.Duration(ms)*time.Millisecond)
}

// take waits for a slot. It reports false when ctx ends first.
func (us *Upstream) take(ctx context.Context) bool {
	us.waiting.Add(1)
	defer us.waiting.Add(-1)
	select {
	case us.slots <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	running := us.running.Add(1)
	for {
		highest := us.highest.Load()
		if running <= highest || us.highest.CompareAndSwap(highest, running) {
			return true
		}
	}
}

func (us *Upstream) release() {
	us.running.Add(-1)
	<-us.slots
}

// run does the work of a request and its calls, and returns the status of the
// answer. Only idempotent work is cut short when ctx ends.
func (us *Upstream) run(ctx context.Context, jb *job) int {
	id := us.opt.Recorder.addRun(Run{
		Service: us.opt.Service, VM: us.opt.VM,
		Root: jb.root, Send: jb.send, Parent: jb.parent, Call: jb.call,
		Key: jb.key, Attempt: jb.attempt, Idempotent: jb.idempotent(), Started: time.Now(),
	})
	if !jb.idempotent() {
		ctx = context.WithoutCancel(ctx)
	}
	if !us.pacer.wait(ctx, time.Duration(us.work.Load())) {
		return http.StatusGatewayTimeout
	}
	for i, cl := range us.opt.Calls {
		path, ok := cl.target(jb.method, jb.path)
		if !ok {
			continue
		}
		tc := trace{root: jb.root, send: jb.send, parent: id, call: i}
		if status := us.call(ctx, jb, tc, path); status != http.StatusOK {
			return status
		}
	}
	return http.StatusOK
}

// callTimeout bounds a call; the node beside the upstream ends it earlier.
const callTimeout = 15 * time.Second

// call sends one request through the node. It returns 200 for its whole
// answer, 503 if it was refused, and 502 for all else.
func (us *Upstream) call(ctx context.Context, jb *job, tc trace, path string) int {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, jb.method, us.opt.NodeURL+path, bytes.NewReader(jb.body))
	if err != nil {
		return http.StatusBadGateway
	}
	tc.write(req.Header)
	if jb.attempt != "" {
		req.Header.Set(header.Attempt, jb.attempt)
	}
	if jb.key != "" {
		req.Header.Set(header.IdempotencyKey, jb.key+"-"+string(us.opt.Service)+"-"+strconv.Itoa(tc.call))
	}
	res, err := us.client.Do(req)
	if err != nil {
		return http.StatusBadGateway
	}
	defer drain(res.Body)
	if res.StatusCode == http.StatusServiceUnavailable {
		return res.StatusCode
	}
	if readAnswer(res, digestOf(jb.method, path, jb.root, jb.body), us.opt.AnswerBytes) != Complete {
		return http.StatusBadGateway
	}
	return http.StatusOK
}

func (us *Upstream) nextFault() Fault {
	every := us.every.Load()
	if every == 0 || us.served.Add(1)%every != 0 {
		return NoFault
	}
	return Fault(us.fault.Load())
}
