package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
)

// watchReload checks the settings of the process again at each SIGHUP, which
// would end it otherwise, until ctx ends. They are in force from the next start:
// a process that runs has learned the members, and its addresses stay. Problems
// are told now, when they can still be mended.
func watchReload(ctx context.Context, check func() error) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
		defer signal.Stop(hangups)
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangups:
			}
			if err := check(); err != nil {
				log.WithError(err).Error("changed settings can't be used; the process goes on with those that it has")
				continue
			}
			log.Info("settings read again; changes are in force from the next start")
		}
	}()
}
