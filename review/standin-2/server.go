package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// server is a sound server of the pages: it echoes the id, signs its answers, and reports itself to
// the node on its machine.
type server struct {
	ma    *machine
	id    string
	born  int64
	slots int
	// work returns the time that a request takes and the length of its answer.
	work func(r *http.Request) (time.Duration, int)
	// hold, if set, handles a request in place of the usual answer.
	hold func(w http.ResponseWriter, r *http.Request) bool

	srv   *http.Server
	seq   atomic.Int64
	quiet atomic.Bool  // it sends no more reports
	state atomic.Value // string

	mu   sync.Mutex
	runs map[string]int // by X-Request-Id
}

var block = bytes.Repeat([]byte("0123456789abcdef"), 4096)

// startServer starts the server of a machine and its reports.
func startServer(ctx context.Context, ma *machine, work func(r *http.Request) (time.Duration, int)) (*server, error) {
	sv := &server{
		ma: ma, id: fmt.Sprintf("i-%08x", rand.Uint32()), born: time.Now().UnixMilli(), slots: 264, work: work,
		runs: make(map[string]int),
	}
	sv.state.Store("ready")
	ln, err := net.Listen("tcp", ma.addr(ma.fl.pt.app))
	if err != nil {
		return nil, err
	}
	sv.srv = &http.Server{Handler: http.HandlerFunc(sv.serve), IdleTimeout: 10 * time.Second}
	go func() { _ = sv.srv.Serve(ln) }()
	go func() {
		<-ctx.Done()
		_ = sv.srv.Close()
	}()
	go sv.report(ctx)
	return sv, nil
}

func (sv *server) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	hd := w.Header()
	hd.Set("Keep-Alive", "timeout=10")
	if r.URL.Path == "/healthz" {
		hd.Set("X-Instance-Id", sv.id)
		return
	}
	hd.Set("X-Request-Id", id)
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != sv.id {
		hd.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if sv.hold != nil && sv.hold(w, r) {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	sv.mu.Lock()
	sv.runs[id]++
	sv.mu.Unlock()
	took, length := sv.work(r)
	select {
	case <-time.After(took):
	case <-r.Context().Done():
		return // dropped, as its connection was closed
	}
	hd.Set("X-Response-Signature", "3e1b.07.5a2.600.0.c9f2a4d1")
	hd.Set("Content-Length", strconv.Itoa(length))
	for length > 0 {
		n, err := w.Write(block[:min(length, len(block))])
		if err != nil {
			return
		}
		length -= n
	}
}

// nextReport returns the next report.
func (sv *server) nextReport() []byte {
	body, _ := json.Marshal(map[string]any{
		"service": sv.ma.service, "address": sv.ma.addr(sv.ma.fl.pt.app), "zone": sv.ma.zone, "version": "v1", "slots": sv.slots,
		"state": sv.state.Load(), "coldLeftMs": 0, "seq": sv.seq.Add(1), "born": sv.born,
	})
	return body
}

// beat sends one report and returns the status of the answer, or 0.
func (sv *server) beat() int { return sv.sendReport("PUT", sv.nextReport()) }

func (sv *server) sendReport(method string, body []byte) int {
	rq, err := http.NewRequest(method, "http://"+sv.ma.addr(sv.ma.fl.pt.control)+"/camphortrail/instances/"+sv.id, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	rq.Header.Set("Content-Type", "application/json")
	cl := http.Client{Timeout: time.Second}
	defer cl.CloseIdleConnections()
	res, err := cl.Do(rq)
	if err != nil {
		return 0
	}
	res.Body.Close()
	return res.StatusCode
}

// report sends a report about every 1,500 ms, and sooner until the first is acknowledged.
func (sv *server) report(ctx context.Context) {
	for {
		pause := 1500 * time.Millisecond
		if sv.quiet.Load() {
			return
		}
		if status := sv.beat(); status != 200 {
			pause = 300 * time.Millisecond
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}
