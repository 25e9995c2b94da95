package deployment

import (
	"net/http"
	"testing"
	"time"

	"camphortrail/internal/lab/standin"
)

// maxDrainDelay is the time after a drain by which no node sends the upstream new work.
const maxDrainDelay = 2 * time.Second

// TestDrain drains an upstream under load and resumes it, by the operator and by the
// upstream itself. Within maxDrainDelay of the drain all work must go to the other
// upstreams, after the resume the upstream must get work again, and no request may fail.
func TestDrain(t *testing.T) {
	t.Parallel()
	const drained = 1
	for name, drain := range map[string]func(fl *fleet, resume bool) bool{
		"operator": func(fl *fleet, resume bool) bool {
			_, peers, _ := fl.Nodes[drained].Addresses()
			_, err := fl.Client.Drain(fl.t.Context(), peers, resume)
			return err == nil
		},
		"upstream": func(fl *fleet, resume bool) bool {
			if !resume {
				return fl.Upstreams[drained].Drain(fl.t.Context())
			}
			_, _, local := fl.Nodes[drained].Addresses()
			return fl.requestLocal(http.MethodDelete, local, "/drain") == http.StatusNoContent
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			up := standin.UpstreamOptions{Service: front, Slots: 50, ServiceTime: 20 * time.Millisecond}
			fl := startFleet(t, 1, 10*time.Second, up, up, up)
			vm := string(fl.opt.VMs[drained].Name)
			callers := fl.startCallers(t.Context(), front, 5*time.Second, 30, lookups, issues)
			fl.waitFor("work at the upstream", func() bool { return len(fl.runs(vm, time.Time{})) > 10 })
			if !drain(fl, false) {
				t.Fatal("drain refused")
			}
			limit := time.Now().Add(maxDrainDelay)
			time.Sleep(maxDrainDelay + time.Second)
			if late := fl.runs(vm, limit); len(late) > 0 {
				t.Errorf("%d runs started later than %v after the drain, the last %v after it", len(late), maxDrainDelay,
					late[len(late)-1].Started.Sub(limit)+maxDrainDelay)
			}
			if elsewhere := fl.runs("", limit); len(elsewhere) < 20 {
				t.Errorf("%d runs at all upstreams in the second after that, want at least 20", len(elsewhere))
			}
			resumed := time.Now()
			if !drain(fl, true) {
				t.Fatal("resume refused")
			}
			fl.waitFor("work after the resume", func() bool { return len(fl.runs(vm, resumed)) > 0 })
			callers.Wait()
			for _, sn := range fl.recorder.Log().Sends {
				if sn.Verdict != standin.Complete {
					t.Errorf("sent to node %d: %+v", sentTo(sn), sn)
				}
			}
		})
	}
}

// requestLocal sends a request to the local address of a node and returns the status.
func (fl *fleet) requestLocal(method, address, path string) int {
	req, err := http.NewRequestWithContext(fl.t.Context(), method, "http://"+address+path, nil)
	if err != nil {
		fl.t.Fatal(err)
	}
	res, err := fl.client.Do(req)
	if err != nil {
		fl.t.Fatal(err)
	}
	_ = res.Body.Close()
	return res.StatusCode
}
