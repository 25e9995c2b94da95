package call

import (
	"errors"
	"math/rand/v2"
	"testing"
)

func TestIDRoundTrip(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	id := NewAttemptID(rng)
	got, err := ParseAttemptID(id.String())
	if err != nil || got != id {
		t.Fatalf("ParseAttemptID(%q) = %v, %v", id, got, err)
	}
	for _, bad := range []string{"", "00", id.String() + "0", "zz" + id.String()[2:]} {
		if _, err := ParseAttemptID(bad); !errors.Is(err, ErrBadID) {
			t.Errorf("ParseAttemptID(%q) error = %v, want ErrBadID", bad, err)
		}
	}
}

func TestLevelOrder(t *testing.T) {
	if LevelOf(2, 0) <= LevelOf(1, 255) {
		t.Error("importance does not outrank cohort")
	}
	if lv := LevelOf(5, 17); lv.Importance() != 5 || lv.Cohort() != 17 {
		t.Errorf("LevelOf(5, 17) = %v, %v", lv.Importance(), lv.Cohort())
	}
}

func TestOutcomeText(t *testing.T) {
	for _, oc := range []Outcome{Done, NotRun, Unknown} {
		if got := ParseOutcome(oc.String()); got != oc {
			t.Errorf("ParseOutcome(%q) = %v", oc, got)
		}
	}
}
