// Package app builds the stand-in for the platform and the backend servers, and
// runs it.
package app

import (
	"context"
	"io"
	"net"
	"os/signal"
	"syscall"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/common"
	"github.com/berylspar/spar/guard"
	"github.com/berylspar/spar/stand/back"
	"github.com/berylspar/spar/stand/logs"
	"github.com/berylspar/spar/stand/work"
	"github.com/uber-go/tally/v4"
	"go.uber.org/dig"
)

// Main runs the program and returns its exit code.
func Main(args []string, out, errs io.Writer) int {
	return common.Main(common.Program[Settings]{
		Name: "stand", About: "stands in for the platform and the backend servers in tests and the try-out",
		Defaults: DefaultSettings(), Run: run,
	}, args, out, errs)
}

const maxBodyBytes = 4 << 20

func run(ctx context.Context, s Settings, _, _ io.Writer) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	c := dig.New()
	started := time.Now()
	clock := func() time.Duration { return time.Since(started) }
	for _, p := range []any{
		func() Settings { return s },
		func() *logs.Log {
			return logs.NewLog(time.Duration(s.RetainMS)*time.Millisecond, s.AppendsPerSecond)
		},
		func() *work.Recorder { return work.NewRecorder(clock) },
		func() *work.CheckpointStore { return &work.CheckpointStore{} },
		func(rc *work.Recorder, cs *work.CheckpointStore) Machines { return newMachines(s, clock, rc, cs) },
		newPlatform,
	} {
		if err := c.Provide(p); err != nil {
			return err
		}
	}
	return c.Invoke(func(p *platform, m Machines) error { return serve(ctx, s, p, m) })
}

func newMachines(s Settings, clock func() time.Duration, rc *work.Recorder, cs *work.CheckpointStore) Machines {
	m := Machines{}
	for _, w := range s.Workers {
		size := spar.Size{CPUMilli: w.CPUMilli, MemoryMB: w.MemoryMB}
		machine := &Machine{settings: w, worker: work.NewWorker(w.Name, w.Domain, size, clock, rc, cs)}
		machine.server = back.NewServer(machine.worker, rc, s.Slots, time.Duration(s.ServiceUS)*time.Microsecond)
		m[w.Name] = machine
	}
	return m
}

func serve(ctx context.Context, s Settings, p *platform, m Machines) error {
	l, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return err
	}
	c := common.Common{Guard: guard.NewGuard(s.Limits, tally.NoopScope, func(string, ...any) {})}
	ends := []<-chan error{c.ServeFastHTTP(ctx, l, guard.Callers, p.handler(), maxBodyBytes)}
	for _, w := range m {
		if w.settings.Backend == "" {
			continue
		}
		l, err := net.Listen("tcp", w.settings.Backend)
		if err != nil {
			return err
		}
		ends = append(ends, c.ServeFastHTTP(ctx, l, guard.Callers, w.server.Handle, maxBodyBytes))
	}
	for _, e := range ends {
		if err := <-e; err != nil {
			return err
		}
	}
	return nil
}
