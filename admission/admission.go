// Package admission decides which attempts run on one upstream VM, which
// wait and which are refused. Under overload the least important work is
// refused first.
package admission

import (
	"math/rand/v2"
	"time"

	"camphortrail/call"
	"camphortrail/limit"
)

// Settings tune a Machine. Zero fields take the defaults.
type Settings struct {
	// TargetWait bounds the estimated time in which all waiting work is
	// started (default 50 ms).
	TargetWait time.Duration
	// MaxWait is the longest time for which an attempt waits (default
	// 100 ms).
	MaxWait time.Duration
	// MaxWaiting bounds the number of waiting attempts (default 4096).
	MaxWaiting int
	// MaxSlots bounds the announced slots (default 4096).
	MaxSlots int
	// RetryAfter is the mean time proposed to refused callers at the lowest
	// overload (default 200 ms).
	RetryAfter time.Duration
	// MaxRetryAfter bounds the mean time proposed to refused callers
	// (default 2 s).
	MaxRetryAfter time.Duration
	// Limit tunes the learned concurrency limit.
	Limit limit.Settings
}

// Machine admits work to one upstream VM. It is not safe for concurrent use.
type Machine struct {
	st  Settings
	rng *rand.Rand
	lm  *limit.Limit
}

// New returns a machine without an upstream. Jitter is drawn from rng.
func New(st Settings, rng *rand.Rand) *Machine {
	return &Machine{st: st, rng: rng, lm: limit.New(st.Limit)}
}

// Step applies an event at the time now, which never runs backwards. The
// returned actions are valid until the next Step.
func (mc *Machine) Step(_ time.Time, _ Event) []Action { return nil }

// Level returns the level below which work is refused at present, and zero
// when there is no overload.
func (mc *Machine) Level() call.Level { return 0 }

// Running returns the number of attempts that run.
func (mc *Machine) Running() int { return 0 }

// Waiting returns the number of attempts that wait.
func (mc *Machine) Waiting() int { return 0 }

// Slots returns the announced slots, and zero without an upstream.
func (mc *Machine) Slots() int { return 0 }

// Limit returns the number of attempts that may run at once at the time now.
func (mc *Machine) Limit(now time.Time) int { return mc.lm.Current(now) }

// Leaving reports whether all new work is refused because of Leave.
func (mc *Machine) Leaving() bool { return false }

// NextWake returns the time at which Tick is due, and false if it is not.
func (mc *Machine) NextWake(_ time.Time) (time.Time, bool) { return time.Time{}, false }
