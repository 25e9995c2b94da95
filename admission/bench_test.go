package admission

import (
	"testing"
	"time"

	"camphortrail/call"
)

// BenchmarkDecision measures an arrival and the end of a running attempt, with all slots
// busy and a number of attempts waiting.
func BenchmarkDecision(b *testing.B) {
	for _, bm := range []struct {
		name  string
		slots int
		wait  int
	}{{"idle", 300, 0}, {"queue-30", 300, 330}, {"queue-300", 300, 600}, {"queue-3000", 300, 3300}} {
		b.Run(bm.name, func(b *testing.B) {
			rng := testRand()
			ct := New(Settings{TargetWait: time.Minute, MaxWait: time.Hour}, rng)
			ct.Step(epoch, Announce{Slots: bm.slots})
			now := epoch
			running := make([]call.AttemptID, 0, 2*bm.slots)
			arrive := func() {
				now = now.Add(time.Microsecond)
				ev := Arrive{
					ID: call.NewAttemptID(rng), Importance: call.Importance(rng.Uint32()%7 + 1),
					Cohort: call.Cohort(rng.Uint32()), Deadline: now.Add(time.Minute),
				}
				for _, ac := range ct.Step(now, ev) {
					if st, ok := ac.(*Start); ok {
						running = append(running, st.ID)
					}
				}
			}
			finish := func() {
				now = now.Add(time.Microsecond)
				ev := Finish{ID: running[0], OK: true}
				running[0] = running[len(running)-1]
				running = running[:len(running)-1]
				for _, ac := range ct.Step(now, ev) {
					if st, ok := ac.(*Start); ok {
						running = append(running, st.ID)
					}
				}
			}
			arrive()
			finish()
			for range bm.wait {
				arrive()
			}
			for range 5000 {
				arrive()
				finish()
			}
			if want := max(bm.wait-bm.slots, 0); ct.Waiting() < want {
				b.Fatalf("%d wait, want at least %d", ct.Waiting(), want)
			}
			b.ReportAllocs()
			for b.Loop() {
				arrive()
				finish()
			}
		})
	}
}
