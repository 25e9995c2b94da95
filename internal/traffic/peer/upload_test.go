package peer

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"camphortrail/call"
	"camphortrail/internal/traffic/attempt"
	"camphortrail/withdrawal"
)

// stallingDialer opens connections. The first on which more than a number of bytes are written in
// all stalls from then on until release is closed or it ends.
type stallingDialer struct {
	dial    DialFunc
	left    atomic.Int64
	stalled chan struct{}
	release chan struct{}
	// first is the connection that stalls.
	first atomic.Pointer[stallingConn]
}

// stallingConn is a connection of a stallingDialer.
type stallingConn struct {
	net.Conn
	sd *stallingDialer
}

func (sd *stallingDialer) open(ctx context.Context, network, address string) (net.Conn, error) {
	nc, err := sd.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &stallingConn{nc, sd}, nil
}

func (sc *stallingConn) Write(data []byte) (int, error) {
	left := sc.sd.left.Add(-int64(len(data)))
	if left < 0 && sc.sd.first.CompareAndSwap(nil, sc) {
		n, err := sc.Conn.Write(data[:int64(len(data))+left])
		close(sc.sd.stalled)
		if err != nil {
			return n, err
		}
		<-sc.sd.release
		m, err := sc.Conn.Write(data[n:])
		return n + m, err
	}
	return sc.Conn.Write(data)
}

// Guards against an upload that runs twice, or in part, when its link is lost in the middle of it,
// by a failure or by the planned stop of the node that receives it. It must be known not to have run,
// so that it can be sent again.
func TestUploadIsInterrupted(t *testing.T) {
	const size = 360_000
	body := bytes.Repeat([]byte("upload"), size/6)
	for _, tt := range []struct {
		name      string
		interrupt func(ts *testSetup, sd *stallingDialer)
	}{
		{"connection lost", func(_ *testSetup, sd *stallingDialer) { sd.first.Load().Close() }},
		{"data lost", func(ts *testSetup, _ *stallingDialer) { ts.wires.Silence(true, true) }},
		{"planned stop", func(ts *testSetup, _ *stallingDialer) {
			ctx, stop := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer stop()
			ts.guard.Disconnect(ctx)
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			ts := newTestSetup(t)
			sd := &stallingDialer{dial: ts.wires.Dial, stalled: make(chan struct{}), release: make(chan struct{})}
			sd.left.Store(size / 2)
			ts.pool.dial = sd.open
			send := func() Result {
				return ts.pool.Send(t.Context(), "vm", ts.address, &attempt.Attempt{
					ID: newID(), Request: call.RequestID{1}, Service: "cassa", Importance: 4, Deadline: time.Now().Add(20 * time.Second),
					MaxAnswerBytes: 100, Method: http.MethodPost, URI: "/cassa/uploads", Body: body,
				}, func() bool { return false })
			}
			done := make(chan Result, 1)
			go func() { done <- send() }()
			<-sd.stalled
			tt.interrupt(ts, sd)
			rs := <-done
			// What was held back arrives late.
			close(sd.release)
			if rs.Answer != nil || !rs.State.NotRun() {
				t.Errorf("result %+v, want not run", rs)
			}
			if runs := ts.runs.Load(); runs != 0 {
				t.Errorf("%d runs of an upload that did not arrive", runs)
			}
			if rs := send(); rs.Answer == nil || rs.State != withdrawal.Finished || ts.runs.Load() != 1 {
				t.Errorf("result %+v after %d runs, want an answer and 1", rs, ts.runs.Load())
			}
		})
	}
}
