package deployment

import (
	"testing"
	"time"

	"camphortrail/internal/lab/standin"
)

// TestStopWaitsForCalls stops a node whose upstream works for 3 s and then calls another
// service, when the notice period of the stop is already over. The node must still pass
// on that call and the answer.
func TestStopWaitsForCalls(t *testing.T) {
	t.Parallel()
	fl := startFleet(t, 1, 10*time.Second,
		standin.UpstreamOptions{Service: front, Slots: 4, ServiceTime: 3 * time.Second, Calls: calls(front, deepest)},
		standin.UpstreamOptions{Service: deepest, Slots: 4, ServiceTime: time.Millisecond},
	)
	answer := make(chan reply, 1)
	go func() { answer <- fl.send(t.Context(), 0, front, lookups, "long") }()
	fl.waitFor("running work", func() bool { return len(fl.runs(string(fl.opt.VMs[0].Name), time.Time{})) == 1 })
	fl.StopNode(0)
	if rp := <-answer; !rp.succeeded() {
		t.Errorf("request in flight at the stop: %v, want the complete answer", rp)
	}
}
