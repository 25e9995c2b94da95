package deployment

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"

	"camphortrail/internal/lab/standin"
	"camphortrail/internal/traffic/header"
	"camphortrail/schema"
	"camphortrail/schema/schemaconnect"
)

// leader returns the index of the leading control replica, or -1 if none reports to lead.
func (fl *fleet) leader() int {
	for i, address := range fl.Client.ControlAddresses {
		ctx, stop := context.WithTimeout(fl.t.Context(), time.Second)
		client := schemaconnect.NewControlClient(fl.Client.HTTP, "http://"+address)
		rs, err := client.ControlStatus(ctx, connect.NewRequest(&schema.ControlStatusRequest{}))
		stop()
		if err == nil && rs.Msg.GetLeader() == fl.controlSettings[i].GetName() {
			return i
		}
	}
	return -1
}

// stopLeader stops the leading control replica and returns its index.
func (fl *fleet) stopLeader() int {
	fl.t.Helper()
	stopped := -1
	fl.waitFor("a leader", func() bool { stopped = fl.leader(); return stopped >= 0 })
	fl.StopControl(stopped)
	return stopped
}

// effects counts the non-idempotent runs of each key.
func (fl *fleet) effects() map[string]int {
	counts := make(map[string]int)
	for _, rn := range fl.recorder.Log().Runs {
		if rn.Key != "" && !rn.Idempotent {
			counts[rn.Key]++
		}
	}
	return counts
}

// TestKeysRunOnce sends each key through three nodes at the same time and repeats it
// until there is an answer, while the leading control replica is stopped. Each key must
// run once, and all of its answers must be the same.
func TestKeysRunOnce(t *testing.T) {
	t.Parallel()
	up := standin.UpstreamOptions{Service: front, Slots: 50, ServiceTime: 30 * time.Millisecond}
	fl := startFleet(t, 3, 3*time.Second, up, up, up)
	const keys = 40
	var group sync.WaitGroup
	var mu sync.Mutex
	first := make(map[string]string)
	for k := range keys {
		key := fmt.Sprint("key-", k)
		for i := range fl.Nodes {
			group.Go(func() {
				time.Sleep(time.Duration(k) * 20 * time.Millisecond)
				rp := fl.sendKeyUntilDone(key, i)
				mu.Lock()
				defer mu.Unlock()
				if old, ok := first[key]; ok && old != rp.body {
					t.Errorf("%s: two answers", key)
				}
				first[key] = rp.body
			})
		}
	}
	fl.waitFor("effects", func() bool { return len(fl.effects()) > keys/4 })
	if done := len(fl.effects()); done >= keys {
		t.Errorf("all %d keys ran before the leader was stopped", keys)
	}
	stopped := fl.stopLeader()
	group.Wait()
	if err := fl.StartControl(stopped); err != nil {
		t.Fatal(err)
	}
	before := len(fl.recorder.Log().Runs)
	for k := range keys {
		key := fmt.Sprint("key-", k)
		for i := range fl.Nodes {
			group.Go(func() {
				rp := fl.send(t.Context(), i, front, charges, key, header.IdempotencyKey, key, header.ResendCount, "1")
				if !rp.succeeded() || rp.body != first[key] {
					t.Errorf("%s sent again to node %d: %v, want the recorded answer", key, i, rp)
				}
			})
		}
	}
	group.Wait()
	if after := len(fl.recorder.Log().Runs); after != before {
		t.Errorf("%d more runs after all keys had their answer", after-before)
	}
	if ran := len(fl.effects()); ran != keys {
		t.Errorf("%d keys ran, want %d", ran, keys)
	}
	for key, count := range fl.effects() {
		if count > 1 {
			t.Errorf("%s ran %d times, want once", key, count)
		}
	}
}

// sendKeyUntilDone sends a key to each node in turn, from node i on, until the complete
// answer arrives.
func (fl *fleet) sendKeyUntilDone(key string, i int) (rp reply) {
	for end := time.Now().Add(testTimeout); time.Now().Before(end); i++ {
		if rp = fl.send(fl.t.Context(), i%len(fl.Nodes), front, charges, key, header.IdempotencyKey, key); rp.succeeded() {
			return rp
		}
		if rp.err != nil || rp.status != http.StatusConflict && rp.status != http.StatusServiceUnavailable {
			fl.t.Errorf("%s: %v", key, rp)
		}
		time.Sleep(50 * time.Millisecond)
	}
	fl.t.Errorf("%s: no answer, last %v", key, rp)
	return rp
}
