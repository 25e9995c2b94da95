package boottime

import (
	"strings"
	"testing"
	"time"
)

// TestNow checks that times contain no monotonic clock reading, which would be used in
// comparisons and stops during a suspension, and that they advance with the boot time.
func TestNow(t *testing.T) {
	before := sinceBoot()
	first := Now()
	time.Sleep(5 * time.Millisecond)
	second := Now()
	after := sinceBoot()
	if strings.Contains(first.String(), "m=") {
		t.Errorf("%v contains a monotonic clock reading", first)
	}
	if d := second.Sub(first); d < 5*time.Millisecond || d > after-before {
		t.Errorf("%v between two times, want 5ms to %v", d, after-before)
	}
}
