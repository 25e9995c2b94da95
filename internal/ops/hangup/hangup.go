// Package hangup keeps SIGHUP from ending the process. It takes effect when the package is
// initialized, which is before all packages that need more than it does.
//
// What has to be done at a SIGHUP is registered with package os/signal as usual.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// received holds a signal that came before Restore. Further signals are dropped.
var received = make(chan os.Signal, 1)

// A later registration would leave the default action to a signal that comes before it.
func init() { signal.Notify(received, syscall.SIGHUP) }

// Restore gives SIGHUP the action that it had when the process was started, and repeats a signal
// that has come since. It is for commands that users run in a terminal.
func Restore() {
	signal.Stop(received)
	select {
	case <-received:
		// The process can always signal itself.
		_ = syscall.Kill(os.Getpid(), syscall.SIGHUP)
	default:
	}
}
