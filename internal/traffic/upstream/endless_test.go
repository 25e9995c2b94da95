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

// startEndlessServer is an upstream in trouble: it answers each connection with what begin
// holds, and then with text again and again until the client closes.
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

// A head without end fills the memory of the node, or is read until the deadline.
func TestHeadWithoutEndIsRead(t *testing.T) {
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
			// Without a bound it reads until the deadline.
			ctx, stop := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer stop()
			err := cl.Do(ctx, address, &Request{Method: http.MethodGet, URI: "/", Host: "h"}, func(Answer) bool {
				t.Error("an answer without a head is handled")
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
