package common

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/berylspar/spar/event"
	"github.com/berylspar/spar/guard"
	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"go.opentelemetry.io/otel/trace"
)

// Common is embedded by types that need the logger, metrics, tracer or recent
// decisions of their daemon.
type Common struct {
	log.Logger
	tally.Scope
	trace.Tracer
	*event.Ring
	Health *Health
	// Guard bounds the clients of the daemon's listeners; nil has the default limits.
	Guard *guard.Guard
}

// Health is the state that the health endpoints report. The zero value is alive
// and not ready.
type Health struct {
	ready atomic.Bool
}

// SetReady turns readiness on or off.
func (h *Health) SetReady(ready bool) { h.ready.Store(ready) }

// IsReady reports whether the daemon accepts work.
func (h *Health) IsReady() bool { return h.ready.Load() }

const metricsInterval = time.Second

// NewLogger returns a logger that writes logfmt lines of at least the level in the
// settings.
func NewLogger(w io.Writer, s Settings, program, name string) log.Logger {
	l := log.NewLogfmtLogger(log.NewSyncWriter(w))
	l = level.NewFilter(l, level.Allow(level.ParseDefault(s.LogLevel, level.InfoValue())))
	return log.With(l, "ts", log.DefaultTimestampUTC, "program", program, "name", name)
}

// NewScope returns a metrics scope, the reporter that serves it to Prometheus, and
// the closer that stops it.
func NewScope(program string) (tally.Scope, prometheus.Reporter, io.Closer) {
	// The global registry panics on metrics registered twice, which happens when a
	// daemon is rebuilt in the same process.
	registry := client.NewRegistry()
	r := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: program, CachedReporter: r, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, metricsInterval)
	return scope, r, closer
}

// Info logs an event that operators need to see in normal operation.
func (c Common) Info(msg string, pairs ...any) { c.write(level.Info(c.Logger), msg, pairs) }

// Warn logs a failure that the daemon recovered from or tolerated.
func (c Common) Warn(msg string, pairs ...any) { c.write(level.Warn(c.Logger), msg, pairs) }

// Debug logs a detail for diagnosis.
func (c Common) Debug(msg string, pairs ...any) { c.write(level.Debug(c.Logger), msg, pairs) }

func (c Common) write(l log.Logger, msg string, pairs []any) {
	if err := l.Log(append([]any{"msg", msg}, pairs...)...); err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "write log line %q", msg))
	}
}
