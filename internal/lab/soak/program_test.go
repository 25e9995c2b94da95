package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
)

// programFolder holds the program of all tests, once one has built it.
var programFolder string

// buildProgram builds the command camphortrail once and returns its path.
var buildProgram = sync.OnceValues(func() (string, error) {
	var err error
	if programFolder, err = os.MkdirTemp("", "soak-program-"); err != nil {
		return "", err
	}
	program := filepath.Join(programFolder, "camphortrail")
	out, err := exec.Command("go", "build", "-o", program, "camphortrail/cmd/camphortrail").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return program, nil
})

func TestMain(m *testing.M) {
	status := m.Run()
	if programFolder != "" {
		_ = os.RemoveAll(programFolder)
	}
	os.Exit(status)
}
