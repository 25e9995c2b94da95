package process

import (
	"context"
	"sync"
	"time"
)

const (
	// beatInterval is the time between two beats of a Stalls.
	beatInterval = 100 * time.Millisecond
	// stallTime is the time between two beats from which the process is taken to have stalled.
	stallTime = 2 * beatInterval
	// recentStall is the time after a stall in which what happened during it is acted on.
	recentStall = 50 * time.Millisecond
)

// Stalls knows when the process did not run: it was suspended, or others had the processors. It is safe
// for concurrent use.
type Stalls struct {
	mu sync.Mutex
	// last is the latest beat, and begin and end are the bounds of the latest stall.
	last, begin, end time.Time
}

// Run beats until ctx ends. It returns nil.
func (sl *Stalls) Run(ctx context.Context) error {
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	sl.Beat(time.Now())
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			sl.Beat(time.Now())
		}
	}
}

// Beat records that the process runs.
func (sl *Stalls) Beat(now time.Time) {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	if !sl.last.IsZero() && now.Sub(sl.last) >= stallTime {
		sl.begin, sl.end = sl.last, now
	}
	sl.last = now
}

// Earliest returns the earliest time at which what the process learns now, such as a signal, may have
// happened: now, or the beginning of a stall that has just ended or not yet been noticed.
func (sl *Stalls) Earliest(now time.Time) time.Time {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	switch {
	case !sl.last.IsZero() && now.Sub(sl.last) >= stallTime:
		return sl.last
	case !sl.end.IsZero() && now.Sub(sl.end) < recentStall:
		return sl.begin
	}
	return now
}
