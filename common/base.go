package common

import (
	"context"
	"io"
	"os"
	"runtime/debug"

	"github.com/berylspar/spar/event"
	"github.com/berylspar/spar/guard"
	"github.com/uber-go/tally/v4/prometheus"
)

// Base owns the resources behind Common and closes them.
type Base struct {
	Common   Common
	Reporter prometheus.Reporter
	flush    func(context.Context) error
	closer   io.Closer
}

// NewBase creates the logger, metrics and tracer of a daemon. Log lines go to errs
// and, if tracing to stdout is set, spans to out.
func NewBase(ctx context.Context, s Settings, program, name string, out, errs io.Writer) (*Base, error) {
	tracer, flush, err := NewTracer(ctx, s, out, program, name)
	if err != nil {
		return nil, err
	}
	scope, reporter, closer := NewScope(program)
	c := Common{
		Logger: NewLogger(errs, s, program, name), Scope: scope, Tracer: tracer,
		Ring: &event.Ring{}, Health: &Health{},
	}
	c.Guard = guard.NewGuard(s.Limits, scope, c.Warn)
	limitHeap(s.Limits)
	return &Base{Common: c, Reporter: reporter, flush: flush, closer: closer}, nil
}

// limitHeap sets the soft memory limit of the runtime, unless the environment does or
// the memory is unknown.
func limitHeap(l guard.Limits) {
	if l.MemoryMB > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(l.MemoryLimit())
	}
}

// Close flushes spans and metrics.
func (b *Base) Close(ctx context.Context) error {
	err := b.flush(ctx)
	if e := b.closer.Close(); err == nil {
		err = e
	}
	return err
}
