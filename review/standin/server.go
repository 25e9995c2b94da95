package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// server is a stand-in for an application server, as PROTOCOL.md describes it.
type server struct {
	cl      *cluster
	ma      *machine
	id      string
	service string
	slots   int
	work    time.Duration
	// answerBytes is the length of the body of its answers.
	answerBytes int
	born        int64

	// readTime is the time, in nanoseconds, for which it reads the body of a request.
	readTime atomic.Int64

	seq    atomic.Int64
	silent atomic.Bool
	stop   chan struct{}
	once   sync.Once
	sem    chan struct{}

	mu   sync.Mutex
	ran  []ranRequest
	body []byte
}

// ranRequest is a request that a server has begun to work on.
type ranRequest struct{ id, path, caller string }

// address is a listener whose new connections go to the current server. Connections that were
// accepted before stay with the server that had the address then.
type address struct {
	ln      net.Listener
	current atomic.Pointer[server]
}

type serverKey struct{}

// listenApp takes the address of the server of a machine.
func listenApp(ma *machine) *address {
	ln, err := net.Listen("tcp", ma.app())
	fail(err)
	ad := &address{ln: ln}
	hs := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			r.Context().Value(serverKey{}).(*server).serve(w, r)
		}),
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, serverKey{}, ad.current.Load())
		},
	}
	go func() { _ = hs.Serve(ln) }()
	return ad
}

// newServer starts a server at an address. It sends its status reports until it ends.
func newServer(ma *machine, ad *address, id, service string, slots int, work time.Duration, answerBytes int) *server {
	sv := &server{
		cl: ma.cl, ma: ma, id: id, service: service, slots: slots, work: work, answerBytes: answerBytes,
		born: time.Now().UnixMilli(), stop: make(chan struct{}), sem: make(chan struct{}, slots),
	}
	sv.body = bytes.Repeat([]byte{'x'}, answerBytes)
	ad.current.Store(sv)
	ma.cl.rec.add("server %s of %s starts at %s", id, service, ma.app())
	go sv.keepReporting()
	return sv
}

func (sv *server) keepReporting() {
	for {
		wait := heartbeat
		if !sv.report("ready") {
			wait = heartbeat / 5
		}
		select {
		case <-sv.stop:
			return
		case <-time.After(wait):
		}
	}
}

// end ends the status reports.
func (sv *server) end() { sv.once.Do(func() { close(sv.stop) }) }

// report sends one status report and returns whether it was acknowledged.
func (sv *server) report(state string) bool {
	data, _ := json.Marshal(map[string]any{
		"service": sv.service, "address": sv.ma.app(), "zone": sv.ma.zone, "version": "v1", "slots": sv.slots, "state": state,
		"coldLeftMs": 0, "seq": sv.seq.Add(1), "born": sv.born,
	})
	return sv.call(http.MethodPut, data)
}

func (sv *server) call(method string, body []byte) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, method, "http://"+sv.ma.control()+"/camphortrail/instances/"+sv.id, bytes.NewReader(body))
	fail(err)
	rq.Header.Set("Content-Type", "application/json")
	res, err := operatorClient.Do(rq)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, res.Body)
	res.Body.Close()
	return res.StatusCode/100 == 2
}

// leave ends a server in the planned way: it reports draining, serves for drainMs after the
// ack and a little longer, sends its DELETE and exits.
func (sv *server) leave() {
	sv.end()
	for range 5 {
		if sv.report("draining") {
			break
		}
	}
	time.Sleep(2500 * time.Millisecond)
	sv.call(http.MethodDelete, nil)
	sv.silent.Store(true)
	sv.cl.rec.add("server %s of %s has left", sv.id, sv.service)
}

// fallSilent makes the server crash without a trace: nothing is answered or closed any more.
func (sv *server) fallSilent() {
	sv.silent.Store(true)
	sv.end()
	sv.cl.rec.add("server %s of %s falls silent", sv.id, sv.service)
}

func (sv *server) serve(w http.ResponseWriter, r *http.Request) {
	if sv.silent.Load() {
		<-r.Context().Done()
		return
	}
	id := r.Header.Get("X-Request-Id")
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", sv.id)
		return
	}
	w.Header().Set("X-Request-Id", id)
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != sv.id {
		w.Header().Set("X-Not-Executed", "misdirected")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !sv.readBody(r) {
		return
	}
	select {
	case sv.sem <- struct{}{}:
		defer func() { <-sv.sem }()
	case <-r.Context().Done():
		return
	}
	sv.mu.Lock()
	sv.ran = append(sv.ran, ranRequest{id, r.URL.Path, r.Header.Get("X-Caller-Service")})
	sv.mu.Unlock()
	sv.cl.rec.add("server %s of %s runs %s %s from %s", sv.id, sv.service, id, r.URL.Path, r.Header.Get("X-Caller-Service"))
	time.Sleep(sv.work)
	if sv.silent.Load() {
		<-r.Context().Done()
		return
	}
	w.Header().Set("X-Response-Signature", "3e1b.07.5a2.600.0."+sv.id)
	text := fmt.Sprintf("%s %s\n", sv.service, id)
	w.Header().Set("Content-Length", fmt.Sprint(len(text)+len(sv.body)))
	_, _ = io.WriteString(w, text)
	_, _ = w.Write(sv.body)
}

func (sv *server) runs() []ranRequest {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return append([]ranRequest(nil), sv.ran...)
}

// readBody reads the body of a request, slowly if readTime is set.
func (sv *server) readBody(r *http.Request) bool {
	const parts = 100
	pause := time.Duration(sv.readTime.Load()) / parts
	if pause == 0 || r.ContentLength <= 0 {
		_, err := io.Copy(io.Discard, r.Body)
		return err == nil
	}
	for {
		_, err := io.CopyN(io.Discard, r.Body, r.ContentLength/parts+1)
		if err != nil {
			return err == io.EOF
		}
		time.Sleep(pause)
	}
}
