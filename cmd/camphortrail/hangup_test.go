package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"

	"camphortrail/platform"
)

// hangupStarts is the number of starts that a test of SIGHUP at the start makes.
const hangupStarts = 32

// buildProgram builds the program and returns its path.
func buildProgram(tb testing.TB) string {
	tb.Helper()
	path := filepath.Join(tb.TempDir(), "camphortrail")
	if out, err := exec.Command("go", "build", "-o", path, ".").CombinedOutput(); err != nil {
		tb.Fatalf("%v: %s", err, out)
	}
	return path
}

// readingProcess is a process that reads its first file from a pipe. It can't go on
// until the pipe has been closed.
type readingProcess struct {
	cmd  *exec.Cmd
	pipe string
	done chan struct{}
}

// startReading starts a command of the program with a pipe as its settings file. The command
// gets the path of the pipe as its last argument, or by a variable if it is one of the platform.
func startReading(tb testing.TB, program string, args ...string) *readingProcess {
	tb.Helper()
	rp := &readingProcess{pipe: filepath.Join(tb.TempDir(), "settings"), done: make(chan struct{})}
	if err := syscall.Mkfifo(rp.pipe, 0o600); err != nil {
		tb.Fatal(err)
	}
	if !strings.HasPrefix(args[0], "platform-") {
		args = append(args, rp.pipe)
	}
	rp.cmd = exec.Command(program, args...)
	rp.cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+rp.pipe)
	if err := rp.cmd.Start(); err != nil {
		tb.Fatal(err)
	}
	go func() {
		defer close(rp.done)
		_ = rp.cmd.Wait()
	}()
	tb.Cleanup(func() {
		_ = rp.cmd.Process.Kill()
		<-rp.done
	})
	return rp
}

// open returns the end of the pipe for writing if the process has opened the other, and nil
// otherwise.
func (rp *readingProcess) open(tb testing.TB) *os.File {
	tb.Helper()
	fd, err := syscall.Open(rp.pipe, syscall.O_WRONLY|syscall.O_NONBLOCK, 0)
	if errors.Is(err, syscall.ENXIO) || errors.Is(err, syscall.EINTR) {
		return nil
	}
	if err != nil {
		tb.Fatal(err)
	}
	return os.NewFile(uintptr(fd), rp.pipe)
}

// awaitReading waits until the process reads its file.
func (rp *readingProcess) awaitReading(tb testing.TB) *os.File {
	tb.Helper()
	for {
		if file := rp.open(tb); file != nil {
			return file
		}
		select {
		case <-rp.done:
			tb.Fatalf("%v ended before it read its settings: %v", rp.cmd.Args, rp.cmd.ProcessState)
		case <-time.After(time.Millisecond):
		}
	}
}

// hangUp sends SIGHUP to the process.
func (rp *readingProcess) hangUp() { _ = rp.cmd.Process.Signal(syscall.SIGHUP) }

// hungUp waits for the end of the process and reports whether a signal has ended it. That is
// mostly SIGHUP, and SIGSEGV if the runtime gets SIGHUP before it is ready.
func (rp *readingProcess) hungUp() bool {
	<-rp.done
	status, ok := rp.cmd.ProcessState.Sys().(syscall.WaitStatus)
	return ok && status.Signaled()
}

// Guards against a process that ends at a SIGHUP that comes before it has read its settings.
// Settings that are empty end it by itself, after the signals.
func TestHangupAtStart(t *testing.T) {
	program := buildProgram(t)
	for _, args := range [][]string{{"node", "--settings"}, {"control", "--settings"}, {"platform-node"}, {"platform-control"}} {
		ended := 0
		for range hangupStarts / 4 {
			rp := startReading(t, program, args...)
			settings := rp.awaitReading(t)
			for range 20 {
				rp.hangUp()
			}
			if err := settings.Close(); err != nil {
				t.Fatal(err)
			}
			if rp.hungUp() {
				ended++
			}
		}
		if ended > 0 {
			t.Errorf("SIGHUP ended %d of %d processes of %s at their start", ended, hangupStarts/4, args[0])
		}
	}
}

// Guards against packages that are initialized while SIGHUP still ends the process, though they
// could be later.
func TestHangupIsInitializedFirst(t *testing.T) {
	cmd := exec.Command(buildProgram(t), "--help")
	cmd.Env = append(os.Environ(), "GODEBUG=inittrace=1")
	out, err := cmd.CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	_, rest, _ := strings.Cut(string(out), "\ninit os/signal @")
	_, next, _ := strings.Cut(rest, "\n")
	if !strings.HasPrefix(next, "init camphortrail/internal/ops/hangup @") {
		line, _, _ := strings.Cut(next, "\n")
		t.Errorf("initialized after os/signal: %q", line)
	}
}

// Guards against commands that a closed terminal does not end.
func TestHangupEndsOtherCommands(t *testing.T) {
	rp := startReading(t, buildProgram(t), "account")
	logs := rp.awaitReading(t)
	rp.hangUp()
	if !rp.hungUp() {
		t.Errorf("account: %v after SIGHUP", rp.cmd.ProcessState)
	}
	if err := logs.Close(); err != nil {
		t.Fatal(err)
	}
}

// BenchmarkHangupAtStart sends SIGHUP without a pause to processes of platform-node, from a time
// after their start until they read their settings, and counts those that it ends. A process
// can't survive a signal before its runtime handles it.
func BenchmarkHangupAtStart(b *testing.B) {
	program := buildProgram(b)
	for _, delay := range []time.Duration{0, 500 * time.Microsecond, time.Millisecond, 2 * time.Millisecond, 4 * time.Millisecond} {
		b.Run(delay.String(), func(b *testing.B) {
			ended := 0
			for b.Loop() {
				rp := startReading(b, program, "platform-node")
				time.Sleep(delay)
				if hangUpUntilReading(b, rp) {
					ended++
				}
			}
			b.ReportMetric(float64(ended), "ended")
		})
	}
	b.Run("once handled", func(b *testing.B) {
		ended := 0
		for b.Loop() {
			rp := startReading(b, program, "platform-node")
			for !handles(rp.cmd.Process.Pid, syscall.SIGHUP) {
				time.Sleep(0)
			}
			if hangUpUntilReading(b, rp) {
				ended++
			}
		}
		b.ReportMetric(float64(ended), "ended")
	})
}

// hangUpUntilReading sends SIGHUP to the process until it reads its settings or has ended, and
// reports whether a signal has ended it.
func hangUpUntilReading(tb testing.TB, rp *readingProcess) bool {
	tb.Helper()
	for {
		rp.hangUp()
		if settings := rp.open(tb); settings != nil {
			_ = settings.Close()
			return rp.hungUp()
		}
		select {
		case <-rp.done:
			return rp.hungUp()
		default:
		}
	}
}

// handles reports whether the process has a handler of the signal, or has ended.
func handles(pid int, signal syscall.Signal) bool {
	status, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return true
	}
	_, rest, _ := strings.Cut(string(status), "SigCgt:\t")
	caught, err := strconv.ParseUint(strings.SplitN(rest, "\n", 2)[0], 16, 64)
	return err != nil || caught>>(signal-1)&1 == 1
}
