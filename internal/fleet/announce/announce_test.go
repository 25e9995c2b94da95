package announce

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"camphortrail/membership"
)

// TestScripts runs the requests in testdata/requests. After each it prints the answer and
// the announced upstreams, if they have changed.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/requests", func(t *testing.T, path string) {
		now := time.UnixMilli(0)
		var announced strings.Builder
		rg := New(func() time.Time { return now }, func(ups []membership.Upstream) {
			fmt.Fprintf(&announced, "announced: %d", len(ups))
			for _, up := range ups {
				fmt.Fprintf(&announced, " %s at %s slots=%d connections=%d warm-up=%v draining=%t",
					up.Service, up.Address, up.Slots, up.Connections, up.WarmUp, up.Draining)
			}
			announced.WriteString("\n")
		})
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			announced.Reset()
			switch td.Cmd {
			case "pass":
				d, err := time.ParseDuration(td.CmdArgs[0].Key)
				if err != nil {
					t.Fatal(err)
				}
				now = now.Add(d)
				rg.update(func() bool { return rg.leases.expire(now) })
			case "stop":
				rg.Drain()
			case "resume":
				rg.Resume()
			default:
				return request(t, rg, strings.ToUpper(td.Cmd), td.CmdArgs[0].Key, td.Input) + announced.String()
			}
			return announced.String()
		})
	})
}

// request sends a request to the handler and returns the status and the body.
func request(t *testing.T, rg *Registry, method, path, body string) string {
	t.Helper()
	rec := httptest.NewRecorder()
	rg.Handler().ServeHTTP(rec, httptest.NewRequest(method, path, strings.NewReader(body)))
	if rec.Body.Len() == 0 {
		return fmt.Sprintf("%d\n", rec.Code)
	}
	var text bytes.Buffer
	if err := json.Compact(&text, rec.Body.Bytes()); err != nil {
		t.Fatalf("%v in %q", err, rec.Body)
	}
	return fmt.Sprintf("%d %s\n", rec.Code, text.String())
}

// TestRunEndsLeases checks that an upstream that does not repeat its announcement is
// first announced as draining and then removed.
func TestRunEndsLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var counts []int
		rg := New(time.Now, func(ups []membership.Upstream) { counts = append(counts, len(ups)) })
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- rg.Run(ctx) }()
		request(t, rg, "POST", "/announce", `{"service": "cassa", "address": "127.0.0.1:1", "slots": 1, "connections": 1}`)
		time.Sleep(2*LeaseDuration + expireInterval)
		synctest.Wait()
		if want := []int{1, 1, 0}; !slices.Equal(counts, want) {
			t.Errorf("announced were %v upstreams, want %v", counts, want)
		}
		cancel()
		if err := <-done; err != nil {
			t.Errorf("Run() = %v", err)
		}
	})
}
