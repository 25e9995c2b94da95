package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
)

// watchReload runs check at each SIGHUP until ctx ends, and logs the result. Without it, SIGHUP
// would end the process. Changed settings take effect only at the next start: a running process
// already knows the members of the deployment, and its addresses must not change. The check
// reports invalid settings before that start. SIGHUP stays without effect after ctx has ended: a
// stopping process still has requests in flight, which the default action would cut off.
func watchReload(ctx context.Context, check func() error) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
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
