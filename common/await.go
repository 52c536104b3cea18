package common

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// AwaitStop returns when the context ends. Until then it logs each SIGHUP, which
// would end the process by default.
func (c Common) AwaitStop(ctx context.Context) {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	for {
		select {
		case <-ctx.Done():
			// A SIGHUP during the shutdown must not interrupt it.
			signal.Ignore(syscall.SIGHUP)
			return
		case <-reload:
			c.Info("received SIGHUP: changed settings take effect at the next start")
		}
	}
}

// AwaitShutdown waits until each channel has reported how its component ended, and
// logs the errors.
func (c Common) AwaitShutdown(ends []<-chan error) {
	for _, e := range ends {
		if err := <-e; err != nil {
			c.Warn("component did not shut down cleanly", "err", err)
		}
	}
}
