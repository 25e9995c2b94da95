package pipeline

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"
)

// Guards against bodies and headers without end on many connections that together take the
// memory of the node: all of them must be refused as not run, and short requests served.
func TestEndlessRequestsAreRefused(t *testing.T) {
	const limit, senders = 1 << 20, 16
	lim := Limits{MaxHeaderBytes: 1 << 20, MaxBodyBytes: 1 << 40, HeaderTimeout: 10 * time.Second, IdleTimeout: 10 * time.Second}
	ts := newBoundedServer(t, lim, limit)
	chunk := append([]byte("4000\r\n"), bytes.Repeat([]byte("x"), 0x4000)...)
	chunk = append(chunk, "\r\n"...)
	var group sync.WaitGroup
	for n := range senders {
		cl := ts.dial(t)
		head, text := "POST /body HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n", chunk
		if n%2 == 0 {
			head, text = "GET /header HTTP/1.1\r\nHost: a\r\n", bytes.Repeat([]byte("X-More: text\r\n"), 1000)
		}
		fmt.Fprint(cl, head)
		go func() {
			for {
				if _, err := cl.Write(text); err != nil {
					return
				}
			}
		}()
		group.Go(func() {
			status, _, _ := cl.read()
			if status != http.StatusServiceUnavailable && status != http.StatusRequestHeaderFieldsTooLarge {
				t.Errorf("status %d", status)
			}
		})
	}
	for range 100 {
		cl := ts.dial(t)
		cl.send("/short")
		if status, _, _ := cl.read(); status != http.StatusOK {
			t.Fatalf("short request: status %d", status)
		}
		<-ts.started
		if used := ts.memory.Used(); used > limit {
			t.Errorf("%d bytes are used of %d", used, limit)
		}
	}
	group.Wait()
	for end := time.Now().Add(10 * time.Second); ts.memory.Used() != 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes are used after all requests", ts.memory.Used())
		}
	}
}
