package announce

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"camphortrail/membership"
)

// FuzzAnnounce sends an arbitrary body to a node that knows an upstream. A refused body
// must not change the upstream, and the next valid announcement must be accepted.
func FuzzAnnounce(f *testing.F) {
	const sound = `{"service": "cassa", "address": "127.0.0.1:8080", "slots": 15, "connections": 190}`
	f.Add([]byte(sound))
	f.Add([]byte(`{"service": "cassa", "address": "127.0.0.1:65536", "slots": 4294967296, "warm-up-ms": 1e400}`))
	f.Add([]byte(strings.Repeat(`{"service":`, 5_000)))
	f.Add([]byte(strings.Repeat("[", 30_000)))
	f.Add([]byte(`{"service": "\ud800` + "\xff" + `"}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		var announced []membership.Upstream
		rg := New(func() time.Time { return time.UnixMilli(0) }, func(ups []membership.Upstream) { announced = ups })
		post := func(body string) int {
			rec := httptest.NewRecorder()
			rg.Handler().ServeHTTP(rec, httptest.NewRequest(http.MethodPost, "/announce", strings.NewReader(body)))
			return rec.Code
		}
		post(sound)
		before := announced[0]
		if status := post(string(body)); status != http.StatusOK && (status != http.StatusBadRequest || len(announced) != 1 || announced[0] != before) {
			t.Errorf("status %d, %+v", status, announced)
		}
		for _, up := range announced {
			if err := up.Validate(); err != nil {
				t.Error(err)
			}
		}
		if status := post(sound); status != http.StatusOK || announced[0].Slots != 15 {
			t.Errorf("the next announcement: status %d, %+v", status, announced)
		}
	})
}
