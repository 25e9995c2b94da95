package standin

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestSleeperSubtractsMeanLag guards against an upstream whose capacity is lower than its
// slots divided by its service time, because timers fire late,
// and against a long stall that shortens many later sleeps.
func TestSleeperSubtractsMeanLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var sl sleeper
		for range 200 {
			sl.recordLag(time.Millisecond)
		}
		begun := time.Now()
		if !sl.sleep(t.Context(), 10*time.Millisecond) {
			t.Fatal("sleep returned false")
		}
		if took := time.Since(begun); took < 9*time.Millisecond || took > 9100*time.Microsecond {
			t.Errorf("waited %v after lags of 1 ms, want 9 ms", took)
		}
		for range 1000 {
			sl.recordLag(time.Second)
		}
		if sl.meanLag > maxLag {
			t.Errorf("lag = %v, want at most %v", sl.meanLag, maxLag)
		}
		begun = time.Now()
		if sl.sleep(t.Context(), time.Millisecond); time.Since(begun) != 0 {
			t.Errorf("waited %v for less than the lag", time.Since(begun))
		}
	})
}
