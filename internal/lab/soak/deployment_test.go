package soak

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"
)

// exampleDeployment is the path of a description whose services, time-outs, trees and customers differ
// from those of the default.
const exampleDeployment = "../../../examples/soak/three-domains.json"

func loadExample(t *testing.T, scale float64) *Deployment {
	t.Helper()
	return loadDeployment(t, "three-domains", scale)
}

// loadDeployment returns an example by its name, with its upstreams multiplied.
func loadDeployment(t *testing.T, name string, scale float64) *Deployment {
	t.Helper()
	dep, err := LoadDeployment("../../../examples/soak/" + name + ".json")
	if err != nil {
		t.Fatal(err)
	}
	dep.Scale(scale)
	return dep
}

func TestLoadDeploymentRefuses(t *testing.T) {
	data, err := os.ReadFile(exampleDeployment)
	if err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct{ name, pattern, replacement string }{
		{"unknown field", `"controls"`, `"contrls"`},
		{"no failure domains", `\["kr-central-a".*\]`, `[]`},
		{"no callers", `"callers-per-node": 8`, `"callers-per-node": 0`},
		{"no slots", `"slots": 16`, `"slots": 0`},
		{"unknown service", `"service": "survey"`, `"service": "surveys"`},
		{"no time-out", `"timeout-ms": 700`, `"timeout-ms": 0`},
		{"call of an earlier route", `"route": "tile-index"`, `"route": "archive-lookup"`},
		{"no weight", `"weight": [0-9.]+`, `"weight": 0`},
		{"cut short", `"ahead-share": 0.25`, `"ahead-share":`},
	} {
		t.Run(tt.name, func(t *testing.T) {
			changed := regexp.MustCompile(tt.pattern).ReplaceAll(data, []byte(tt.replacement))
			if bytes.Equal(changed, data) {
				t.Fatalf("%s is not in the description", tt.pattern)
			}
			path := filepath.Join(t.TempDir(), "deployment.json")
			if err := os.WriteFile(path, changed, 0o600); err != nil {
				t.Fatal(err)
			}
			if _, err := LoadDeployment(path); !errors.Is(err, ErrDeployment) {
				t.Errorf("error %v, want %v", err, ErrDeployment)
			}
		})
	}
	if _, err := Run(t.Context(), "config-calm", time.Second, Options{Deployment: loadExample(t, 1)}, io.Discard); !errors.Is(err, ErrDeployment) {
		t.Errorf("scenario without keys: error %v, want %v", err, ErrDeployment)
	}
	if _, err := LoadDeployment(filepath.Join(t.TempDir(), "missing")); !errors.Is(err, ErrDeployment) {
		t.Errorf("missing file: error %v, want %v", err, ErrDeployment)
	}
}

// Each route of callers is chosen by its weight, with the deadline, time-out, key and tree that its
// description states.
func TestDeploymentChoosesRequests(t *testing.T) {
	dep := loadExample(t, 1)
	rnd := Seed(1).Rand("requests")
	const number = 4000
	counts := make(map[string]int)
	for range number {
		rq := dep.chooseRequest(rnd, Mix{}, false)
		name, _, _ := strings.Cut(strings.TrimPrefix(rq.path, "/"), "/")
		ro := dep.route(name)
		counts[name]++
		if rq.timeout != ro.timeout() || rq.deadline != 0 && rq.deadline != ro.deadline() || rq.key == "" || rq.kind != ro.Kind {
			t.Fatalf("request %+v of route %+v", rq, ro)
		}
		if got, want := strings.Count(rq.path, "tile-index"), map[string]int{"archive-lookup": 8, "boundary-filing": 8}[name]; got != want {
			t.Fatalf("%s makes %d calls of the last service, want %d", name, got, want)
		}
	}
	weights := 0.0
	for _, ro := range dep.Routes {
		weights += ro.Weight
	}
	for _, ro := range dep.Routes {
		got, want := float64(counts[ro.Name])/number, ro.Weight/weights
		if got < want-0.03 || got > want+0.03 {
			t.Errorf("route %s: %.3f of the requests, want %.3f", ro.Name, got, want)
		}
	}
}

// A seed gives the same requests, and another seed others.
func TestSeedGivesRequests(t *testing.T) {
	dep := loadExample(t, 0.2)
	plan := func(seed Seed) (text string) {
		rnd := seed.Rand("requests")
		for range 50 {
			text += fmt.Sprintf(" %+v", *dep.chooseRequest(rnd, Mix{Long: 0.2, SlowBodies: 0.5, Parts: 1}, false))
		}
		return text
	}
	if plan(7) != plan(7) {
		t.Error("a seed gives two plans")
	}
	if plan(7) == plan(8) {
		t.Error("two seeds give the same plan")
	}
}

// TestStopsOfServiceLoseNothing stops all nodes of one service after the other, in a deployment whose
// routes time out before their callers, while some requests work until about then.
func TestStopsOfServiceLoseNothing(t *testing.T) {
	re := playScenario(t, "lost-service", 15*time.Second, Options{Seed: 1, Deployment: loadExample(t, 0.1)})
	t.Logf("%d requests, answers %v, %d cut, %d stops, %v", re.Requests, re.Statuses, re.Cut, re.Stops, re.Losses)
	if re.Stops == 0 || re.Statuses[200] == 0 {
		t.Errorf("%d stops, answers %v", re.Stops, re.Statuses)
	}
}
