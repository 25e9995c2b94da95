package admission

import (
	"math/rand/v2"
	"time"

	"camphortrail/call"
)

const (
	// levelWindow is the time over which the levels of started and refused work are
	// collected.
	levelWindow = 50 * time.Millisecond
	// maxLevel stands for no level at all in a minimum.
	maxLevel = call.Level(1<<16 - 1)
)

// overload tracks the time from the first refusal for lack of capacity until a slot is
// free and nothing waits.
type overload struct {
	// active says that an overload lasts.
	active bool
	// importanceFloor is the highest importance that was refused for lack of capacity.
	// Work of lower importance is refused while the overload lasts.
	importanceFloor call.Importance
	// current began at windowStart; previous is the window before it.
	current, previous windowStats
	windowStart       time.Time
}

// windowStats summarizes one levelWindow.
type windowStats struct {
	// lowestStarted is the lowest level that was started.
	lowestStarted    call.Level
	started, refused int
	// highestDelayed is the highest level that started late or was refused for lack of
	// capacity.
	highestDelayed call.Level
}

// rotate begins a new window when the current one has ended.
func (ov *overload) rotate(now time.Time) {
	age := now.Sub(ov.windowStart)
	if age < levelWindow {
		return
	}
	ov.previous = windowStats{lowestStarted: maxLevel}
	if age < 2*levelWindow {
		ov.previous = ov.current
	}
	ov.current, ov.windowStart = windowStats{lowestStarted: maxLevel}, now
}

// recordStart records the start of an attempt. late says whether it counts as late.
func (ov *overload) recordStart(lv call.Level, late bool) {
	if late {
		ov.current.highestDelayed = max(ov.current.highestDelayed, lv)
	}
	ov.current.started++
	ov.current.lowestStarted = min(ov.current.lowestStarted, lv)
}

// recordRefusal records a refusal for lack of capacity, which begins an overload.
func (ov *overload) recordRefusal(lv call.Level) {
	ov.current.refused++
	ov.current.highestDelayed = max(ov.current.highestDelayed, lv)
	ov.active = true
	ov.importanceFloor = max(ov.importanceFloor, lv.Importance())
}

func (ov *overload) end() {
	ov.active, ov.importanceFloor = false, 0
}

// level returns the lowest level that started recently or waits, but none below
// importanceFloor. The argument is the lowest waiting level, or maxLevel if nothing
// waits.
func (ov *overload) level(waiting call.Level) call.Level {
	if !ov.active {
		return 0
	}
	floor := call.LevelOf(ov.importanceFloor, 0)
	lowest := min(ov.current.lowestStarted, ov.previous.lowestStarted, waiting)
	if lowest == maxLevel {
		return floor
	}
	return max(lowest, floor)
}

// delayedLevel returns the highest level that was delayed recently.
func (ov *overload) delayedLevel() call.Level {
	return max(ov.current.highestDelayed, ov.previous.highestDelayed)
}

// retryAfter returns a jittered backoff. Its mean grows from base with the ratio of
// refused to started work, up to limit.
func (ov *overload) retryAfter(rng *rand.Rand, base, limit time.Duration) time.Duration {
	started := max(ov.current.started+ov.previous.started, 1)
	refused := ov.current.refused + ov.previous.refused
	mean := min(base+base*time.Duration(refused)/time.Duration(started), limit)
	return mean/2 + time.Duration(rng.Int64N(int64(mean)))
}
