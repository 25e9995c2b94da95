package hangup

import (
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"
)

// helperVariable makes the test program the process whose signals a test observes. It names
// what the process does.
const helperVariable = "CAMPHORTRAIL_HANGUP_HELPER"

// TestMain runs the process that helperVariable names in place of the tests.
func TestMain(m *testing.M) {
	hangUp := func() { _ = syscall.Kill(os.Getpid(), syscall.SIGHUP) }
	switch os.Getenv(helperVariable) {
	case "":
		os.Exit(m.Run())
	case "without effect":
		hangUp()
		for len(received) == 0 {
			time.Sleep(time.Millisecond)
		}
		os.Exit(0)
	case "before Restore":
		hangUp()
		Restore()
	case "after Restore":
		Restore()
		hangUp()
	}
	time.Sleep(time.Minute)
}

// TestRestore sends SIGHUP to processes before and after Restore.
func TestRestore(t *testing.T) {
	for _, tc := range []struct {
		action string
		ended  bool
	}{{"without effect", false}, {"before Restore", true}, {"after Restore", true}} {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), helperVariable+"="+tc.action)
		err := cmd.Run()
		status, ok := cmd.ProcessState.Sys().(syscall.WaitStatus)
		if ended := ok && status.Signaled() && status.Signal() == syscall.SIGHUP; ended != tc.ended || !ended && err != nil {
			t.Errorf("%s: %v", tc.action, cmd.ProcessState)
		}
	}
}
