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

// TestScripts runs the requests of testdata. Each answer is followed by the
// announced set, if it has changed.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/requests", func(t *testing.T, path string) {
		now := time.UnixMilli(0)
		var told strings.Builder
		an := New(func() time.Time { return now }, func(ups []membership.Upstream) {
			fmt.Fprintf(&told, "announced: %d", len(ups))
			for _, up := range ups {
				fmt.Fprintf(&told, " %s at %s slots=%d connections=%d warm-up=%v draining=%t",
					up.Service, up.Address, up.Slots, up.Connections, up.WarmUp, up.Draining)
			}
			told.WriteString("\n")
		})
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			told.Reset()
			switch td.Cmd {
			case "pass":
				d, err := time.ParseDuration(td.CmdArgs[0].Key)
				if err != nil {
					t.Fatal(err)
				}
				now = now.Add(d)
				an.change(func() bool { return an.leases.expire(now) })
			case "stop":
				an.Drain()
			case "resume":
				an.Resume()
			default:
				return request(t, an, strings.ToUpper(td.Cmd), td.CmdArgs[0].Key, td.Input) + told.String()
			}
			return told.String()
		})
	})
}

func request(t *testing.T, an *Registry, method, path, body string) string {
	t.Helper()
	rec := httptest.NewRecorder()
	an.Handler().ServeHTTP(rec, httptest.NewRequest(method, path, strings.NewReader(body)))
	if rec.Body.Len() == 0 {
		return fmt.Sprintf("%d\n", rec.Code)
	}
	var text bytes.Buffer
	if err := json.Compact(&text, rec.Body.Bytes()); err != nil {
		t.Fatalf("%v in %q", err, rec.Body)
	}
	return fmt.Sprintf("%d %s\n", rec.Code, text.String())
}

func TestRunEndsLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var counts []int
		an := New(time.Now, func(ups []membership.Upstream) { counts = append(counts, len(ups)) })
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- an.Run(ctx) }()
		request(t, an, "POST", "/announce", `{"service": "cassa", "address": "127.0.0.1:1", "slots": 1, "connections": 1}`)
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
