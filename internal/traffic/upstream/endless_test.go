package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"
)

// startEndlessServer starts a faulty upstream. On each connection it sends begin, and then
// repeats text until the client closes the connection.
func startEndlessServer(t *testing.T, begin, text string) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				if _, err := nc.Write([]byte(begin)); err != nil {
					return
				}
				chunk := []byte(strings.Repeat(text, 1+(64<<10)/len(text)))
				for {
					if _, err := nc.Write(chunk); err != nil {
						return
					}
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// A faulty upstream sends a head without end. Without a bound it would fill the memory of
// the node, or be read until the deadline.
func TestEndlessHeadIsRejected(t *testing.T) {
	for name, answer := range map[string]struct{ begin, text string }{
		"one header":   {"HTTP/1.1 200 OK\r\nX-Long: ", "a"},
		"many headers": {"HTTP/1.1 200 OK\r\n", "X-More: text\r\n"},
		"interim":      {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"no line":      {"", "a"},
	} {
		t.Run(name, func(t *testing.T) {
			address := startEndlessServer(t, answer.begin, answer.text)
			cl := New()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			// Without the bound, Do would read until this deadline.
			ctx, stop := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer stop()
			err := cl.Do(newRun(ctx), address, &Request{Method: http.MethodGet, URI: "/", Host: "h"}, func(Answer) bool {
				t.Error("the handler was called for an answer without a complete head")
				return false
			})
			if !errors.Is(err, ErrHeadTooLarge) {
				t.Errorf("error %v, want %v", err, ErrHeadTooLarge)
			}
			runtime.ReadMemStats(&after)
			if taken := after.TotalAlloc - before.TotalAlloc; taken > 16*maxAnswerHeadBytes {
				t.Errorf("%d bytes allocated for a head of at most %d", taken, maxAnswerHeadBytes)
			}
		})
	}
}
