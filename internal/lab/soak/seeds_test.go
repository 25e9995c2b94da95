package soak

import (
	"flag"
	"io"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

var failedSeeds = flag.Bool("failed-seeds", false, "play the runs of testdata/failed-seeds, which takes some 10 minutes")

// TestFailedSeeds plays the runs that broke a rule once. Without the flag, it checks that they can be
// played.
func TestFailedSeeds(t *testing.T) {
	data, err := os.ReadFile("testdata/failed-seeds")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(data)) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		fields := strings.Fields(line)
		name := fields[0]
		seed, err := strconv.ParseUint(fields[1], 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		length, err := time.ParseDuration(fields[2])
		if err != nil {
			t.Fatal(err)
		}
		if _, ok := scenarios[name]; !ok {
			t.Errorf("unknown scenario %s", name)
		}
		if *failedSeeds {
			t.Run(name+" "+fields[1], func(t *testing.T) { playSeed(t, name, Seed(seed), length) })
		}
	}
}

// playSeed plays a scenario with real processes and fails for each finding.
func playSeed(t *testing.T, name string, seed Seed, length time.Duration) {
	t.Helper()
	program, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	re, err := Run(t.Context(), name, length, Options{Seed: seed, Program: program, Folder: t.TempDir()}, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	for _, fi := range re.Findings {
		t.Errorf("%s: %s", fi.Rule, fi.Text)
	}
}
