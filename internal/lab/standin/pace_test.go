package standin

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestPacerAsksForLessByTheMeanLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var pc pacer
		for range 200 {
			pc.note(time.Millisecond)
		}
		begun := time.Now()
		if !pc.wait(t.Context(), 10*time.Millisecond) {
			t.Fatal("wait was cut short")
		}
		if took := time.Since(begun); took < 9*time.Millisecond || took > 9100*time.Microsecond {
			t.Errorf("waited %v after lags of 1 ms, want 9 ms", took)
		}
		for range 1000 {
			pc.note(time.Second)
		}
		if pc.lag > maxLag {
			t.Errorf("lag = %v, want at most %v", pc.lag, maxLag)
		}
		begun = time.Now()
		if pc.wait(t.Context(), time.Millisecond); time.Since(begun) != 0 {
			t.Errorf("waited %v for less than the lag", time.Since(begun))
		}
	})
}
