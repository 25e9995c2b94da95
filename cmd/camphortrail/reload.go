package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/apex/log"
)

// reloadInterval is the time between two checks whether the settings file has changed.
const reloadInterval = 250 * time.Millisecond

// fileVersion distinguishes the contents of a file at different times.
type fileVersion struct {
	modified time.Time
	size     int64
}

// versionOf returns the version of a file, or the zero version if there is no such file.
func versionOf(path string) fileVersion {
	info, err := os.Stat(path)
	if err != nil {
		return fileVersion{}
	}
	return fileVersion{info.ModTime(), info.Size()}
}

// watchReload runs reload at each SIGHUP and after each change of the file at path, until ctx
// ends, and logs its error. reload reads the file and applies what can change while the process
// runs. SIGHUP stays without effect after ctx has ended: a stopping process still has requests
// in flight, which the default action would cut off.
func watchReload(ctx context.Context, path string, reload func() error) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ticker := time.NewTicker(reloadInterval)
	go func() {
		defer ticker.Stop()
		var seen fileVersion
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangups:
			case <-ticker.C:
				if versionOf(path) == seen {
					continue
				}
			}
			seen = versionOf(path)
			if err := reload(); err != nil {
				log.WithError(err).Error("changed settings can't be used; the process goes on with those that it has")
				continue
			}
			log.Info("settings read again")
		}
	}()
}
