package deployment

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"camphortrail/call"
	"camphortrail/internal/lab/standin"
	"camphortrail/internal/traffic/attempt"
	"camphortrail/internal/traffic/peer"
)

// TestAttemptGivenUpAtOnce cancels attempts within 3 ms, while the guard acknowledges
// them. The race detector reports accesses that are not synchronized, and the node must
// serve the request that follows.
func TestAttemptGivenUpAtOnce(t *testing.T) {
	t.Parallel()
	fl := startFleet(t, 1, time.Second, standin.UpstreamOptions{Service: front, Slots: 50})
	_, address, _ := fl.Nodes[0].Addresses()
	pool := peer.New(peer.Options{OnSuspicion: func(call.VM, bool) {}})
	running, stop := context.WithCancel(t.Context())
	var poolDone, group sync.WaitGroup
	poolDone.Go(func() { _ = pool.Run(running) })
	defer poolDone.Wait()
	defer stop()
	for worker := range 32 {
		group.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(worker)))
			for range 300 {
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(rng.Int64N(int64(3*time.Millisecond))))
				at := &attempt.Attempt{
					ID: call.NewAttemptID(rng), Request: call.NewRequestID(rng), Service: front, Importance: 7,
					Deadline: time.Now().Add(time.Second), Idempotent: true, MaxAnswerBytes: 1 << 16,
					Method: "GET", URI: "/sportello/lookups/1", Body: make([]byte, 4<<10),
				}
				pool.Send(ctx, fl.opt.VMs[0].Name, address, at, func() bool { return false })
				cancel()
			}
		})
	}
	group.Wait()
	if rp := fl.send(t.Context(), 0, front, lookups, "1"); !rp.succeeded() {
		t.Errorf("request after the cancelled attempts: %v", rp)
	}
}
