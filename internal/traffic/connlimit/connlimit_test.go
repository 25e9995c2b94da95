package connlimit

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// Guards against connections that are opened and left: those beyond the bound close the oldest, and
// a new one is served.
func TestNewConnectionClosesOldest(t *testing.T) {
	sv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }))
	Limit(sv.Config, 3)
	sv.Start()
	defer sv.Close()
	var conns []net.Conn
	for n := range 6 {
		nc, err := net.Dial("tcp", sv.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		// Half a head makes the connection active.
		_, _ = io.WriteString(nc, "GET / HTTP/1.1\r\nHost: a\r\n"[:n*4])
		conns = append(conns, nc)
		time.Sleep(10 * time.Millisecond) // the server accepts in this order
	}
	for _, nc := range conns[:3] {
		_ = nc.SetReadDeadline(time.Now().Add(10 * time.Second))
		if _, err := nc.Read(make([]byte, 1)); err == nil || isTimeout(err) {
			t.Errorf("an old connection is open: %v", err)
		}
	}
	rs, err := http.Get(sv.URL)
	if err != nil {
		t.Fatal(err)
	}
	_ = rs.Body.Close()
	if rs.StatusCode != http.StatusNoContent {
		t.Errorf("status %d", rs.StatusCode)
	}
}

func isTimeout(err error) bool {
	ne, ok := err.(net.Error)
	return ok && ne.Timeout()
}
