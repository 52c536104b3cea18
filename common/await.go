package common

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// AwaitStop returns when the context ends. Until then it notes each reload that
// is asked for with SIGHUP, which would end the process otherwise.
func (c Common) AwaitStop(ctx context.Context) {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	for {
		select {
		case <-ctx.Done():
			// A reload that comes during the stop must not end it.
			signal.Ignore(syscall.SIGHUP)
			return
		case <-reload:
			c.Info("reload asked for: the settings take effect at the next start")
		}
	}
}

// AwaitEnds waits for everything that was started.
func (c Common) AwaitShutdown(ends []<-chan error) {
	for _, e := range ends {
		if err := <-e; err != nil {
			c.Warn("not ended cleanly", "err", err)
		}
	}
}
