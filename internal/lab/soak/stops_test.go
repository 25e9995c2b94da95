package soak_test

import (
	"io"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"camphortrail/internal/lab/soak"
)

// buildProgram builds the command camphortrail and returns its path.
func buildProgram(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "camphortrail")
	out, err := exec.CommandContext(t.Context(), "go", "build", "-o", program, "camphortrail/cmd/camphortrail").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return program
}

// TestStoppingNodeCutsNoLateRequests stops five nodes at once, 3.4 s after the first request, while
// callers go on sending to them, one request in five with long work.
func TestStoppingNodeCutsNoLateRequests(t *testing.T) {
	if testing.Short() {
		t.Skip("starts real processes")
	}
	re, err := soak.Run(t.Context(), "lost-late", 30*time.Second, soak.Options{
		Seed: 1, Program: buildProgram(t), Folder: t.TempDir(),
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
