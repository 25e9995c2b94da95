package announce

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"camphortrail/membership"
)

// FuzzAnnounce gives any request to a node that knows an upstream, and then a
// sound one.
func FuzzAnnounce(f *testing.F) {
	const sound = `{"service": "cassa", "address": "127.0.0.1:8080", "slots": 15, "connections": 190}`
	f.Add([]byte(sound))
	f.Add([]byte(`{"service": "cassa", "address": "127.0.0.1:65536", "slots": 4294967296, "warm-up-ms": 1e400}`))
	f.Add([]byte(strings.Repeat(`{"service":`, 5_000)))
	f.Add([]byte(strings.Repeat("[", 30_000)))
	f.Add([]byte(`{"service": "\ud800` + "\xff" + `"}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		var told []membership.Upstream
		an := New(func() time.Time { return time.UnixMilli(0) }, func(ups []membership.Upstream) { told = ups })
		post := func(body string) int {
			rec := httptest.NewRecorder()
			an.Handler().ServeHTTP(rec, httptest.NewRequest(http.MethodPost, "/announce", strings.NewReader(body)))
			return rec.Code
		}
		post(sound)
		before := told[0]
		if status := post(string(body)); status != http.StatusOK && (status != http.StatusBadRequest || len(told) != 1 || told[0] != before) {
			t.Errorf("status %d, %+v", status, told)
		}
		for _, up := range told {
			if err := up.Validate(); err != nil {
				t.Error(err)
			}
		}
		if status := post(sound); status != http.StatusOK || told[0].Slots != 15 {
			t.Errorf("the next announcement: status %d, %+v", status, told)
		}
	})
}
