package pipeline

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// rejectingServer returns a server that rejects requests with a body below /no.
func rejectingServer(t *testing.T, paths ...string) *testServer {
	t.Helper()
	ts := newTestServer(t, Limits{MaxHeaderBytes: 4096, MaxBodyBytes: 4 << 20, HeaderTimeout: time.Second, IdleTimeout: 5 * time.Second}, paths...)
	ts.opt.Begin = func(r *http.Request) (any, *Answer) {
		if strings.HasPrefix(r.URL.Path, "/no") {
			return nil, &Answer{Status: http.StatusUnauthorized, Header: http.Header{}, Close: true}
		}
		return r.URL.Path, nil
	}
	ts.opt.Abandon = func(begun any) { abandoned <- begun.(string) }
	return ts
}

// abandoned receives the paths of the requests that were begun and not passed to the handler.
var abandoned = make(chan string, 10)

// client is a connection of a caller.
type client struct {
	t  *testing.T
	nc net.Conn
	br *bufio.Reader
}

func newClient(t *testing.T, ts *testServer) *client {
	t.Helper()
	nc, err := net.Dial("tcp", ts.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	_ = nc.SetDeadline(time.Now().Add(20 * time.Second))
	return &client{t, nc, bufio.NewReader(nc)}
}

func (cl *client) write(text string) {
	cl.t.Helper()
	if _, err := io.WriteString(cl.nc, text); err != nil {
		cl.t.Fatal(err)
	}
}

// expect reads an answer and checks its status, the start of its body, and whether it announces the
// end of the connection.
func (cl *client) expect(status int, body string, closes bool) {
	cl.t.Helper()
	rs, err := http.ReadResponse(cl.br, nil)
	if err != nil {
		cl.t.Fatal(err)
	}
	got, err := io.ReadAll(rs.Body)
	if err != nil || rs.StatusCode != status || !strings.HasPrefix(string(got), body) || rs.Close != closes {
		cl.t.Fatalf("answer %d %.40q, closes %t, error %v; want %d %q, closes %t", rs.StatusCode, got, rs.Close, err, status, body, closes)
	}
}

const (
	upload = "POST /no HTTP/1.1\r\nHost: h\r\nContent-Length: 300000\r\n"
	next   = "POST /next HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok"
)

// A rejected upload must be answered before its body has arrived, and requests behind it on the
// connection must be served.
func TestUploadIsRejectedBeforeItsBody(t *testing.T) {
	ts := rejectingServer(t)
	cl := newClient(t, ts)
	for range 2 {
		cl.write(upload + "\r\n")
		cl.expect(http.StatusUnauthorized, "", false)
		cl.write(strings.Repeat("x", 300000) + next)
		cl.expect(http.StatusOK, "/next ok", false)
	}
}

// The rejection of a pipelined upload must follow the answers to earlier requests.
func TestRejectionKeepsTheOrder(t *testing.T) {
	ts := rejectingServer(t, "/first")
	cl := newClient(t, ts)
	cl.write("GET /first HTTP/1.1\r\nHost: h\r\n\r\n" + upload + "\r\n" + strings.Repeat("x", 300000) + next)
	for range 2 {
		<-ts.started
	}
	close(ts.gates["/first"])
	cl.expect(http.StatusOK, "/first", false)
	cl.expect(http.StatusUnauthorized, "", false)
	cl.expect(http.StatusOK, "/next ok", false)
}

// A caller that expects to be told to go on must be told so, or get the refusal as the last answer
// of the connection: it leaves the body out then.
func TestExpectation(t *testing.T) {
	ts := rejectingServer(t)
	cl := newClient(t, ts)
	cl.write("POST /yes HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n")
	cl.expect(http.StatusContinue, "", false)
	cl.write("ok")
	cl.expect(http.StatusOK, "/yes ok", false)
	cl.write(upload + "Expect: 100-continue\r\n\r\n")
	cl.expect(http.StatusUnauthorized, "", true)
	if _, err := cl.br.ReadByte(); err != io.EOF {
		t.Errorf("error %v, want the end of the connection", err)
	}
}

// The interim answer to a pipelined request must follow the answers to earlier ones. Without it, the
// caller would hold its body back.
func TestContinueKeepsTheOrder(t *testing.T) {
	ts := rejectingServer(t, "/first")
	cl := newClient(t, ts)
	cl.write("GET /first HTTP/1.1\r\nHost: h\r\n\r\nPOST /yes HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n")
	<-ts.started
	time.Sleep(20 * time.Millisecond)
	close(ts.gates["/first"])
	cl.expect(http.StatusOK, "/first", false)
	cl.expect(http.StatusContinue, "", false)
	cl.write("ok")
	cl.expect(http.StatusOK, "/yes ok", false)
}

// A body that is too long to be dropped, or of unknown length, must end the connection with the
// refusal. Nothing behind it may run.
func TestRejectionOfAnEndlessBody(t *testing.T) {
	for _, head := range []string{"Content-Length: 3000000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n"} {
		ts := rejectingServer(t)
		cl := newClient(t, ts)
		cl.write("POST /no HTTP/1.1\r\nHost: h\r\n" + head + next)
		cl.expect(http.StatusUnauthorized, "", true)
		select {
		case path := <-ts.started:
			t.Errorf("%s was started", path)
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// A request whose body does not arrive must be abandoned once, and not be passed to the handler.
func TestIncompleteBodyIsAbandoned(t *testing.T) {
	ts := rejectingServer(t)
	cl := newClient(t, ts)
	cl.write("POST /part HTTP/1.1\r\nHost: h\r\nContent-Length: 300000\r\n\r\npart")
	cl.nc.Close()
	if path := <-abandoned; path != "/part" {
		t.Errorf("abandoned %s", path)
	}
	select {
	case path := <-ts.started:
		t.Errorf("%s was started", path)
	case path := <-abandoned:
		t.Errorf("%s was abandoned again", path)
	case <-time.After(50 * time.Millisecond):
	}
}

// Guards against a rejected request whose connection still counts as one that sends a head: above
// MaxConns it would be closed before idle ones, and the answer might be lost.
func TestRejectedRequestIsNotClosedAsHead(t *testing.T) {
	ts := rejectingServer(t)
	ts.mu.Lock()
	ts.opt.MaxConns = 2
	ts.mu.Unlock()
	cl := newClient(t, ts)
	cl.write(upload + "\r\n")
	cl.expect(http.StatusUnauthorized, "", false)
	idle := newClient(t, ts)
	idle.write("GET /idle HTTP/1.1\r\nHost: h\r\n\r\n")
	idle.expect(http.StatusOK, "/idle", false)
	for !ts.hasIdle() {
		time.Sleep(time.Millisecond)
	}
	newClient(t, ts)
	if _, err := idle.br.ReadByte(); err != io.EOF {
		t.Errorf("idle connection: error %v, want its end", err)
	}
	cl.write(strings.Repeat("x", 300000) + next)
	cl.expect(http.StatusOK, "/next ok", false)
}

// hasIdle reports whether a connection counts as idle.
func (ts *testServer) hasIdle() bool {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	for cn := range ts.conns {
		if cn.idleSince.Load() != 0 {
			return true
		}
	}
	return false
}
