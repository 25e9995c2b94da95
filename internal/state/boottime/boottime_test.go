package boottime

import (
	"strings"
	"testing"
	"time"
)

// TestNow checks that times are told apart by the boot clock alone: a reading of
// the steady clock in them would be compared instead, and that stands still in
// a suspension.
func TestNow(t *testing.T) {
	before := sinceBoot()
	first := Now()
	time.Sleep(5 * time.Millisecond)
	second := Now()
	after := sinceBoot()
	if strings.Contains(first.String(), "m=") {
		t.Errorf("%v holds a reading of the steady clock", first)
	}
	if d := second.Sub(first); d < 5*time.Millisecond || d > after-before {
		t.Errorf("%v between two times, want 5ms to %v", d, after-before)
	}
}
