package main

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// TestWatchReload sends SIGHUP to the process, which would end without watchReload. The process
// must check its settings each time and continue to run, whether they are valid or not.
func TestWatchReload(t *testing.T) {
	checked := make(chan bool, 1)
	results := []error{nil, errors.New("settings.json: name: is missing"), nil}
	watchReload(t.Context(), "", func() error {
		err := results[0]
		results = results[1:]
		checked <- true
		return err
	})
	for n := range 3 {
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		select {
		case <-checked:
		case <-time.After(10 * time.Second):
			t.Fatalf("hangup %d: settings not checked", n+1)
		}
	}
}

// Guards against settings that change without a signal and are not read: the settings file is
// replaced, as the platform does it, and its new content must be read.
func TestChangedFileIsRead(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	write := func(text string) {
		if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	write("first")
	contents := make(chan string, 16)
	watchReload(t.Context(), path, func() error {
		data, err := os.ReadFile(path)
		contents <- string(data)
		return err
	})
	for _, text := range []string{"first", "second"} {
		write(text)
		for deadline := time.After(20 * time.Second); ; {
			select {
			case got := <-contents:
				if got != text {
					continue
				}
			case <-deadline:
				t.Fatalf("%q was not read", text)
			}
			break
		}
	}
}

// TestHangupDuringStop sends SIGHUP to the process after its context has ended, as it does while
// it finishes its work in flight. The process must continue to run.
func TestHangupDuringStop(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	watchReload(ctx, "", func() error { return nil })
	stop()
	for range 50 {
		// The signal ends the test process if nothing handles it.
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Millisecond)
	}
}
