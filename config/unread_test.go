package config

import (
	"os"
	"path/filepath"
	"slices"
	"testing"
)

func TestUnreadFiles(t *testing.T) {
	folder := t.TempDir()
	inner := filepath.Join(folder, "configuration")
	for _, name := range []string{"configuration/a.json", "configuration/services/b.json", "configuration/notes.txt", "settings/c.json", "upstreams.json"} {
		path := filepath.Join(folder, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte("{}"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	got, err := UnreadFiles(folder, inner, []string{filepath.Join(folder, "settings/c.json")})
	if err != nil {
		t.Fatal(err)
	}
	want := []string{filepath.Join(inner, "notes.txt"), filepath.Join(folder, "upstreams.json")}
	if !slices.Equal(got, want) {
		t.Errorf("UnreadFiles = %v, want %v", got, want)
	}
}
