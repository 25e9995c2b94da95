package soak

import (
	"io"
	"testing"
	"time"
)

// TestStoppingNodeCutsNoLateRequests stops five nodes at once, 3.4 s after the first request, while
// callers go on sending to them, one request in five with long work.
func TestStoppingNodeCutsNoLateRequests(t *testing.T) {
	if testing.Short() {
		t.Skip("starts real processes")
	}
	program, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	re, err := Run(t.Context(), "lost-late", 30*time.Second, Options{
		Seed: 1, Program: program, Folder: t.TempDir(),
	}, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d requests, %d answered, %d cut, %d given up, %d stops", re.Requests, re.Answered, re.Cut, re.GaveUp, re.Stops)
	if re.Stops != 5 || re.Answered == 0 {
		t.Errorf("%d stops, %d answers", re.Stops, re.Answered)
	}
	for _, fi := range re.Findings {
		t.Errorf("%s: %s", fi.Rule, fi.Text)
	}
}
