package standin

import (
	"context"
	"sync"
	"time"
)

const (
	// maxLag bounds the correction of timers that fire late.
	maxLag = 2 * time.Millisecond
	// lagWeight is the inverse weight of the newest lag in the mean.
	lagWeight = 16
)

// pacer waits for times that are right in the mean, although timers fire late:
// it asks for less by the mean lag. Without it the capacity of an upstream would
// be below what its slots and service time say.
type pacer struct {
	mu  sync.Mutex
	lag time.Duration
}

// wait sleeps for d, and reports whether ctx was still alive at its end.
func (pc *pacer) wait(ctx context.Context, d time.Duration) bool {
	pc.mu.Lock()
	asked := max(0, d-pc.lag)
	pc.mu.Unlock()
	begun := time.Now()
	if !wait(ctx, asked) {
		return false
	}
	if d > 0 {
		pc.note(time.Since(begun) - asked)
	}
	return true
}

func (pc *pacer) note(late time.Duration) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	pc.lag += (min(late, maxLag) - pc.lag) / lagWeight
}
