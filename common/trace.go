package common

import (
	"context"
	"io"
	"strings"

	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"go.opentelemetry.io/otel/attribute"
)

// Propagator passes the trace context from process to process.
var Propagator = propagation.TraceContext{}

// NewTracer returns a tracer and the function that flushes and stops it. Spans go
// to w if the settings say stdout.
func NewTracer(ctx context.Context, s Settings, w io.Writer, program, name string) (trace.Tracer, func(context.Context) error, error) {
	var exporter sdktrace.SpanExporter
	var err error
	switch s.Trace {
	case "":
		return noop.NewTracerProvider().Tracer(program), func(context.Context) error { return nil }, nil
	case "stdout":
		exporter, err = stdouttrace.New(stdouttrace.WithWriter(w))
	default:
		exporter, err = otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(strings.TrimSuffix(s.Trace, "/")+"/v1/traces"))
	}
	if err != nil {
		return nil, nil, err
	}
	p := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(s.TraceShare))),
		sdktrace.WithResource(resource.NewSchemaless(attribute.String("service.name", program), attribute.String("service.instance.id", name))),
	)
	return p.Tracer(program), p.Shutdown, nil
}
