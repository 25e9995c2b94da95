package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"camphortrail/platform/document"
)

const (
	// upstreamIdleTimeout is the time after which an upstream closes an idle connection.
	upstreamIdleTimeout = 10 * time.Second
	// queuePerSlot is the number of requests that wait for a slot, as a share of the slots.
	queuePerSlot = 0.25
)

// Upstream is a sound upstream beside a node. What a request costs stands in its query: `work` is
// the time of the work in milliseconds, `bytes` the length of the answer, and each `call` the path
// and query of a call that it makes before the work.
type Upstream struct {
	ma       *Machine
	instance string
	born     time.Time
	srv      *http.Server
	slots    chan struct{}
	// waiting counts the requests that wait for a slot.
	waiting atomic.Int64
	seq     atomic.Uint64
	calls   atomic.Uint64
	conns   callConns
	// stop ends the reports and closes all connections.
	stop context.CancelFunc
	// draining is set once the upstream reports that it drains.
	draining atomic.Bool
}

// NewUpstream starts the upstream beside a node, with a new instance id. It ends with ctx.
func NewUpstream(ctx context.Context, ma *Machine) (*Upstream, error) {
	ln, err := net.Listen("tcp", ma.UpstreamAddress())
	if err != nil {
		return nil, err
	}
	born := time.Now()
	ctx, stop := context.WithCancel(ctx)
	up := &Upstream{
		ma: ma, instance: fmt.Sprintf("i-%s-%d", ma.Name, born.UnixMilli()), born: born,
		slots: make(chan struct{}, ma.size.Slots), stop: stop,
	}
	up.srv = &http.Server{Handler: up, IdleTimeout: upstreamIdleTimeout}
	go func() { _ = up.srv.Serve(ln) }()
	context.AfterFunc(ctx, func() {
		_ = up.srv.Close()
		up.conns.close()
	})
	go up.report(ctx)
	return up, nil
}

// Instance returns the id of the upstream.
func (up *Upstream) Instance() string { return up.instance }

// ServeHTTP runs a request.
func (up *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	hd := w.Header()
	hd.Set("Keep-Alive", "timeout="+strconv.Itoa(int(upstreamIdleTimeout.Seconds())))
	if troubleKind(up.ma.trouble.Load()) == closedConns {
		hd.Set("Keep-Alive", "timeout="+strconv.Itoa(int(upstreamIdleTimeout.Seconds())))
		up.srv.SetKeepAlivesEnabled(false)
		defer up.srv.SetKeepAlivesEnabled(true)
	}
	if r.URL.Path == healthPath {
		hd.Set(upstreamHeader, up.instance)
		if up.draining.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	rc, id := up.ma.fl.Recorder, RequestID(r.Header.Get(requestIDHeader))
	hd.Set(requestIDHeader, string(id))
	refuse := func(status int) {
		rc.Add(Arrived{ID: id, At: rc.Now(), Upstream: up.ma.Name, NotRun: true, Path: r.RequestURI})
		hd.Set(notRunHeader, "1")
		w.WriteHeader(status)
	}
	if want := r.Header.Get(instanceHeader); want != "" && want != up.instance {
		refuse(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		refuse(http.StatusBadRequest)
		return
	}
	ctx := r.Context()
	if ms, err := strconv.ParseFloat(r.Header.Get(deadlineHeader), 64); err == nil {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, time.Duration(ms*float64(time.Millisecond)))
		defer stop()
	}
	if !up.takeSlot(ctx) {
		if up.ma.size.Hangs {
			rc.Add(Arrived{ID: id, At: rc.Now(), Upstream: up.ma.Name, NotRun: true, Path: r.RequestURI})
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		refuse(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-up.slots }()
	rc.Add(Arrived{ID: id, At: rc.Now(), Upstream: up.ma.Name, Path: r.RequestURI})
	status := up.work(ctx, r)
	ran := Ran{ID: id, Upstream: up.ma.Name, Status: status, Dropped: r.Context().Err() != nil}
	switch {
	case ran.Dropped:
	case up.spoils(lostAnswers, id):
		ran.BrokeOff, ran.At = true, rc.Now()
		rc.Add(ran)
		loseAnswer(w)
		return
	case up.spoils(secondAnswers, id):
		length, _ := strconv.Atoi(r.URL.Query().Get("bytes"))
		if status != http.StatusOK {
			length = 0
		}
		hd.Set(signatureHeader, signature(id, status, length))
		ran.At = rc.Now()
		rc.Add(ran)
		answerTwice(w, status, bytes.Repeat([]byte("x"), length))
		return
	}
	if !ran.Dropped {
		length, _ := strconv.Atoi(r.URL.Query().Get("bytes"))
		if status != http.StatusOK {
			length = 0
		}
		hd.Set(signatureHeader, signature(id, status, length))
		hd.Set("Content-Length", strconv.Itoa(length))
		w.WriteHeader(status)
		gap, _ := strconv.Atoi(r.URL.Query().Get("part-gap"))
		writeParts(w, bytes.Repeat([]byte("x"), length), time.Duration(gap)*time.Millisecond)
	}
	ran.At = rc.Now()
	rc.Add(ran)
}

// answerParts is the number of parts of an answer with a pause between two of them.
const answerParts = 4

// writeParts writes a body, in parts if there is a pause between them.
func writeParts(w http.ResponseWriter, body []byte, gap time.Duration) {
	size := len(body)
	if gap > 0 {
		size = (len(body) + answerParts - 1) / answerParts
	}
	for len(body) > 0 {
		part := body[:min(size, len(body))]
		body = body[len(part):]
		if _, err := w.Write(part); err != nil {
			return
		}
		if len(body) > 0 {
			_ = http.NewResponseController(w).Flush() // the next Write fails if this does
			time.Sleep(gap)
		}
	}
}

// signature returns the signature of an answer, which names all that a caller checks.
func signature(id RequestID, status, length int) string {
	return fmt.Sprintf("%s.%d.%d", id, status, length)
}

// queue returns the number of requests that wait for a slot.
func (sz ServiceSize) queue() int {
	if sz.Queue > 0 {
		return sz.Queue
	}
	return int(queuePerSlot * float64(sz.Slots))
}

// takeSlot waits for a slot, unless too many requests wait already.
func (up *Upstream) takeSlot(ctx context.Context) bool {
	defer up.waiting.Add(-1)
	full := up.waiting.Add(1) > int64(up.ma.size.queue())
	if full {
		select {
		case up.slots <- struct{}{}:
			return true
		default:
			return false
		}
	}
	select {
	case up.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// work reads the body, makes the calls, works, and returns the status of the answer.
func (up *Upstream) work(ctx context.Context, r *http.Request) int {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return http.StatusInternalServerError
	}
	query := r.URL.Query()
	if !up.makeCalls(ctx, query["call"], query.Get("together") != "") {
		return failureStatus(ctx)
	}
	ms, _ := strconv.Atoi(query.Get("work"))
	if pause(ctx, time.Duration(up.workFactor()*float64(ms)*float64(time.Millisecond))) != nil {
		return failureStatus(ctx)
	}
	return http.StatusOK
}

// failureStatus returns the status of a request that failed: 504 at its deadline, otherwise 500.
func failureStatus(ctx context.Context) int {
	if ctx.Err() != nil {
		return http.StatusGatewayTimeout
	}
	return http.StatusInternalServerError
}

// report sends a report in each heartbeat period, and sooner until one is acknowledged.
func (up *Upstream) report(ctx context.Context) {
	for {
		period := HeartbeatPeriod
		if up.SendReport(ctx) != http.StatusOK {
			period /= 5
		}
		if pause(ctx, period) != nil {
			return
		}
	}
}

// SendReport sends a report once and returns the status of the answer, or 0 if there is none.
func (up *Upstream) SendReport(ctx context.Context) int {
	state := stateReady
	if up.draining.Load() {
		state = stateDraining
	}
	ma := up.ma
	return up.send(ctx, http.MethodPut, document.Encode(reportMessage{
		Service: ma.Service, Address: ma.UpstreamAddress(), Zone: ma.Zone, Version: "v1", Slots: ma.size.Slots,
		State: state, Seq: up.seq.Add(1), Born: up.born.UnixMilli(),
	}))
}

// Drain reports that the upstream drains and returns the status of the answer, or 0.
func (up *Upstream) Drain(ctx context.Context) int {
	up.draining.Store(true)
	return up.SendReport(ctx)
}

func (up *Upstream) send(ctx context.Context, method string, body []byte) int {
	ctx, stop := context.WithTimeout(ctx, time.Second)
	defer stop()
	rq, err := http.NewRequestWithContext(ctx, method, "http://"+up.ma.ControlAddress()+reportPath+up.instance, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	rq.Header.Set("Content-Type", "application/json")
	res, err := client.Do(rq)
	if err != nil {
		return 0
	}
	_ = res.Body.Close()
	return res.StatusCode
}

// upstreamLinger is the time for which an upstream still serves after the drain period.
const upstreamLinger = 500 * time.Millisecond

// leave reports that the upstream drains, serves for the drain period, reports that it is gone, and ends
// once all its requests are answered. If ctx ends first, the upstream goes on.
func (up *Upstream) leave(ctx context.Context) {
	for up.Drain(ctx) != http.StatusOK {
		if pause(ctx, HeartbeatPeriod/5) != nil {
			return
		}
	}
	if pause(ctx, DrainPeriod+upstreamLinger) != nil {
		return
	}
	up.send(ctx, http.MethodDelete, nil)
	if up.srv.Shutdown(ctx) == nil {
		up.stop()
	}
}
