package process

import (
	"runtime/debug"
	"strings"
	"testing"
)

func TestRevisionOfBuild(t *testing.T) {
	setting := func(key, value string) debug.BuildSetting { return debug.BuildSetting{Key: key, Value: value} }
	revision := setting("vcs.revision", strings.Repeat("0123456789", 4))
	for _, tt := range []struct {
		name     string
		settings []debug.BuildSetting
		want     string
	}{
		{"no revision", []debug.BuildSetting{setting("vcs.modified", "true")}, ""},
		{"sources of a revision", []debug.BuildSetting{revision, setting("vcs.modified", "false")}, "012345678901"},
		{"changed sources", []debug.BuildSetting{setting("vcs.modified", "true"), revision}, "012345678901+"},
	} {
		if got := revisionOf(tt.settings); got != tt.want {
			t.Errorf("%s: %q, want %q", tt.name, got, tt.want)
		}
	}
}

// A build from a copy of the sources has no revision, but two builds can still be told apart.
func TestBuildIsNamed(t *testing.T) {
	if got := Build(); got == "" || got == "unknown" {
		t.Errorf("build %q", got)
	}
	if got := buildIDOf("build_test.go"); got != "unknown" {
		t.Errorf("build id %q of a file that is no program", got)
	}
}
