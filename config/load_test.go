package config_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"camphortrail/config"

	"github.com/cockroachdb/datadriven"
	"github.com/pkg/errors"
)

// TestLoadFolders writes the files of each case to a folder and loads it. A line "== NAME"
// begins a file.
func TestLoadFolders(t *testing.T) {
	datadriven.RunTest(t, "testdata/folders", func(t *testing.T, td *datadriven.TestData) string {
		dir := t.TempDir()
		writeFiles(t, dir, td.Input)
		var err error
		switch td.Cmd {
		case "load":
			_, err = config.Load(dir)
		case "settings":
			_, err = config.LoadSettings(filepath.Join(dir, "settings.json"))
		case "fleet":
			_, err = config.LoadFleet(filepath.Join(dir, "upstreams.json"))
		default:
			t.Fatalf("unknown command %q", td.Cmd)
		}
		if err == nil {
			return "accepted\n"
		}
		if !errors.Is(err, config.ErrInvalid) {
			t.Errorf("%v does not match ErrInvalid", err)
		}
		return strings.ReplaceAll(err.Error(), dir, "DIR") + "\n"
	})
}

// writeFiles writes the files that input describes below dir.
func writeFiles(t *testing.T, dir, input string) {
	t.Helper()
	for _, part := range strings.Split("\n"+input, "\n== ")[1:] {
		name, body, _ := strings.Cut(part, "\n")
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(body), 0o644); err != nil {
			t.Fatal(err)
		}
	}
}

// TestProblemFields checks that a problem can be read field by field with errors.As.
func TestProblemFields(t *testing.T) {
	dir := t.TempDir()
	writeFiles(t, dir, "== a.json\n{\"version\": \"7\"}")
	_, err := config.Load(dir)
	var pr *config.Problem
	if !errors.As(err, &pr) {
		t.Fatalf("Load = %v, want a Problem", err)
	}
	want := config.Problem{File: filepath.Join(dir, "a.json"), Field: "version", Value: `"7"`, Reason: "is not a number"}
	if pr.File != want.File || pr.Field != want.Field || pr.Value != want.Value || pr.Reason != want.Reason {
		t.Errorf("problem = %+v, want %+v", *pr, want)
	}
}

// TestMissingFolder checks that a missing folder is an I/O error and not a Problem.
func TestMissingFolder(t *testing.T) {
	_, err := config.Load(filepath.Join(t.TempDir(), "none"))
	if !errors.Is(err, os.ErrNotExist) || errors.Is(err, config.ErrInvalid) {
		t.Errorf("Load = %v, want only os.ErrNotExist", err)
	}
}
