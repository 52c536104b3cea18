package common

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/berylspar/spar/event"
	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"go.opentelemetry.io/otel/trace"
)

// Common is embedded by what needs a logger, metrics, a tracer or the ring of
// decisions.
type Common struct {
	log.Logger
	tally.Scope
	trace.Tracer
	*event.Ring
	Health *Health
}

// Health is what the health endpoints tell. The zero value is alive and not
// ready.
type Health struct {
	ready atomic.Bool
}

// SetReady turns readiness on or off.
func (h *Health) SetReady(ready bool) { h.ready.Store(ready) }

// IsReady tells whether work may be sent here.
func (h *Health) IsReady() bool { return h.ready.Load() }

const metricsInterval = time.Second

// NewLogger returns a logger of structured lines.
func NewLogger(w io.Writer, s Settings, program, name string) log.Logger {
	l := log.NewLogfmtLogger(log.NewSyncWriter(w))
	l = level.NewFilter(l, level.Allow(level.ParseDefault(s.LogLevel, level.InfoValue())))
	return log.With(l, "ts", log.DefaultTimestampUTC, "program", program, "name", name)
}

// NewScope returns a scope of metrics, what serves them, and what ends it.
func NewScope(program string) (tally.Scope, prometheus.Reporter, io.Closer) {
	// A registry of its own lets a daemon build itself anew in one process.
	registry := client.NewRegistry()
	r := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: program, CachedReporter: r, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, metricsInterval)
	return scope, r, closer
}

// Info writes a line that people in charge want to see.
func (c Common) Info(msg string, pairs ...any) { c.write(level.Info(c.Logger), msg, pairs) }

// Warn writes a line about what went wrong and was borne.
func (c Common) Warn(msg string, pairs ...any) { c.write(level.Warn(c.Logger), msg, pairs) }

// Debug writes a line for those who look for a cause.
func (c Common) Debug(msg string, pairs ...any) { c.write(level.Debug(c.Logger), msg, pairs) }

func (c Common) write(l log.Logger, msg string, pairs []any) {
	if err := l.Log(append([]any{"msg", msg}, pairs...)...); err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "log line %q", msg))
	}
}
