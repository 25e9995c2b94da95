package admission

import (
	"math/rand/v2"
	"time"

	"camphortrail/call"
)

const (
	// levelWindow is the time over which admitted levels are collected.
	levelWindow = 50 * time.Millisecond
	maxLevel    = call.Level(1<<16 - 1)
)

// overload is the state from the first refusal for lack of capacity until a
// slot is free and nothing waits.
type overload struct {
	on bool
	// barred is the highest importance refused for lack of capacity. Work of
	// a lower one is refused while the overload lasts.
	barred     call.Importance
	this, last admitted
	from       time.Time
}

// admitted sums up a window of time.
type admitted struct {
	lowest           call.Level
	started, refused int
	// delayed is the highest level that started late or was refused for lack
	// of capacity.
	delayed call.Level
}

func (ov *overload) rotate(now time.Time) {
	age := now.Sub(ov.from)
	if age < levelWindow {
		return
	}
	ov.last = admitted{lowest: maxLevel}
	if age < 2*levelWindow {
		ov.last = ov.this
	}
	ov.this, ov.from = admitted{lowest: maxLevel}, now
}

func (ov *overload) start(lv call.Level, late bool) {
	if late {
		ov.this.delayed = max(ov.this.delayed, lv)
	}
	ov.this.started++
	ov.this.lowest = min(ov.this.lowest, lv)
}

func (ov *overload) refuse(lv call.Level) {
	ov.this.refused++
	ov.this.delayed = max(ov.this.delayed, lv)
	ov.on = true
	ov.barred = max(ov.barred, lv.Importance())
}

func (ov *overload) end() {
	ov.on, ov.barred = false, 0
}

// level returns the lowest level that was started lately or that waits.
// waiting is the lowest level that waits, or maxLevel.
func (ov *overload) level(waiting call.Level) call.Level {
	if !ov.on {
		return 0
	}
	barred := call.LevelOf(ov.barred, 0)
	lowest := min(ov.this.lowest, ov.last.lowest, waiting)
	if lowest == maxLevel {
		return barred
	}
	return max(lowest, barred)
}

// pressure returns the highest level that was delayed lately.
func (ov *overload) pressure() call.Level { return max(ov.this.delayed, ov.last.delayed) }

// retryAfter returns a jittered time that grows with the ratio of refused to
// started work.
func (ov *overload) retryAfter(rng *rand.Rand, base, limit time.Duration) time.Duration {
	started := max(ov.this.started+ov.last.started, 1)
	refused := ov.this.refused + ov.last.refused
	mean := min(base+base*time.Duration(refused)/time.Duration(started), limit)
	return mean/2 + time.Duration(rng.Int64N(int64(mean)))
}
