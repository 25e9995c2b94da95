package throttle

import (
	"math/rand/v2"
	"testing"
	"time"
)

// load replays the arrivals of an entry before a tree that carries a number of
// requests a second, and returns what came through and what was wasted.
type load struct {
	th      Throttle
	now     time.Time
	rng     *rand.Rand
	through int
	wasted  int
	refused int
}

func (ld *load) run(arrivals, capacity float64, length time.Duration) {
	ld.through, ld.wasted, ld.refused = 0, 0, 0
	room := 0.0
	interval := time.Duration(float64(time.Second) / arrivals)
	for range int(length / interval) {
		ld.now = ld.now.Add(interval)
		room = min(room+capacity*interval.Seconds(), 1+capacity/20)
		if !ld.th.Admit(ld.now, ld.rng.Float64()) {
			ld.refused++
			continue
		}
		through := room >= 1
		if through {
			room--
			ld.through++
		} else {
			ld.wasted++
		}
		ld.th.Finish(ld.now, through)
	}
}

func newLoad() *load {
	return &load{now: time.Unix(0, 0), rng: rand.New(rand.NewPCG(1, 1))}
}

func TestCalmLoadIsAdmitted(t *testing.T) {
	ld := newLoad()
	if ld.run(50, 60, 20*time.Second); ld.refused > 0 {
		t.Errorf("%d requests refused below the capacity", ld.refused)
	}
}

// A tree that carries half of the load gets little more than it carries.
func TestOverloadIsRefusedAtTheEntry(t *testing.T) {
	ld := newLoad()
	ld.run(100, 50, 5*time.Second)
	ld.run(100, 50, 20*time.Second)
	if ld.through < 850 {
		t.Errorf("%d of 1000 requests came through that there was room for", ld.through)
	}
	if share := float64(ld.wasted) / float64(ld.through+ld.wasted); share > 1-1/excess+0.05 {
		t.Errorf("a share of %.2f of the admitted requests was wasted", share)
	}
}

func TestRoomThatReturnsIsUsed(t *testing.T) {
	ld := newLoad()
	ld.run(100, 10, 10*time.Second)
	ld.run(100, 200, 10*time.Second)
	if ld.run(100, 200, 2*time.Second); ld.refused > 4 {
		t.Errorf("%d of 200 requests are refused 10 s after the overload", ld.refused)
	}
}
