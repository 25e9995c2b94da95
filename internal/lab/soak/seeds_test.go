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
		opt := Options{Seed: Seed(seed)}
		if file, factor, ok := strings.Cut(fields[3], "@"); ok {
			scale, err := strconv.ParseFloat(factor, 64)
			if err != nil {
				t.Fatal(err)
			}
			opt.Deployment = loadDeployment(t, file, scale)
		}
		if *failedSeeds {
			t.Run(name+" "+fields[1], func(t *testing.T) {
				if re := playScenario(t, name, length, opt); strings.HasPrefix(name, "lost") && re.OwnAnswerCount > 0 {
					t.Errorf("%d own answers while an upstream worked: %s", re.OwnAnswerCount, re.OwnAnswers)
				}
			})
		}
	}
}

// playScenario plays a scenario with real processes, fails for each finding, and returns the report. It
// skips short tests.
func playScenario(t *testing.T, name string, length time.Duration, opt Options) *Report {
	t.Helper()
	if testing.Short() {
		t.Skip("starts real processes")
	}
	program, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	opt.Program, opt.Folder = program, t.TempDir()
	re, err := Run(t.Context(), name, length, opt, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	for _, fi := range re.Findings {
		t.Errorf("%s: %s", fi.Rule, fi.Text)
	}
	return re
}
