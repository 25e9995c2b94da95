package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var lastID atomic.Int64

// answer is what a client got.
type answer struct {
	id     string
	status int
	body   string
	err    error
}

// dial opens a connection. If rcvbuf is not 0, it is the size of the receive buffer.
func dial(address string, rcvbuf int) (net.Conn, error) {
	nc, err := net.DialTimeout("tcp", address, time.Second)
	if err == nil && rcvbuf > 0 {
		_ = nc.(*net.TCPConn).SetReadBuffer(rcvbuf)
	}
	return nc, err
}

func newID() string { return fmt.Sprintf("%016x", 0x5a000000+lastID.Add(1)) }

// send sends one request on a new connection, and waits for the answer until the deadline.
func (cl *cluster) send(ma *machine, method, host, path string, deadline time.Duration) answer {
	an := answer{id: newID()}
	cl.rec.add("client on %s sends %s %s%s as %s", ma.name, method, host, path, an.id)
	an.status, an.body, an.err = exchange(ma.outbound(), method, host, path, an.id, deadline)
	text := an.body
	if len(text) > 60 {
		text = text[:60]
	}
	cl.rec.add("client gets %d for %s: %q %v", an.status, an.id, strings.TrimSpace(text), an.err)
	return an
}

func exchange(address, method, host, path, id string, deadline time.Duration) (int, string, error) {
	nc, err := dial(address, 0)
	if err != nil {
		return 0, "", err
	}
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(deadline))
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, host, id, deadline.Milliseconds())
	if method == http.MethodPost {
		text += "Content-Length: 2\r\n\r\nok"
	} else {
		text += "\r\n"
	}
	if _, err := io.WriteString(nc, text); err != nil {
		return 0, "", err
	}
	res, err := http.ReadResponse(bufio.NewReader(nc), &http.Request{Method: method})
	if err != nil {
		return 0, "", err
	}
	body, err := io.ReadAll(res.Body)
	return res.StatusCode, string(body), err
}
