package standin

import (
	"context"
	"sync"
	"time"
)

const (
	// maxLag bounds a recorded lag, so that one long stall does not distort the mean.
	maxLag = 2 * time.Millisecond
	// inverseLagWeight is one over the weight of the newest lag in the moving average.
	inverseLagWeight = 16
)

// sleeper sleeps for durations that are right on average although timers fire late. It
// subtracts the exponentially weighted moving average of the lag from each duration.
// Without it an upstream would have less capacity than its slots divided by its service
// time.
type sleeper struct {
	mu      sync.Mutex
	meanLag time.Duration
}

// sleep sleeps for d. It returns false if ctx ended before.
func (sl *sleeper) sleep(ctx context.Context, d time.Duration) bool {
	sl.mu.Lock()
	asked := max(0, d-sl.meanLag)
	sl.mu.Unlock()
	begun := time.Now()
	if !sleep(ctx, asked) {
		return false
	}
	if d > 0 {
		sl.recordLag(time.Since(begun) - asked)
	}
	return true
}

// recordLag adds the time by which a timer fired late to the mean.
func (sl *sleeper) recordLag(late time.Duration) {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	sl.meanLag += (min(late, maxLag) - sl.meanLag) / inverseLagWeight
}
