package hops

import (
	"github.com/valyala/fasthttp"
	"go.opentelemetry.io/otel/propagation"
)

// RequestCarrier carries a trace in a request's headers.
type RequestCarrier struct{ *fasthttp.RequestHeader }

var _ propagation.TextMapCarrier = RequestCarrier{}

// Get returns a header.
func (c RequestCarrier) Get(key string) string { return string(c.Peek(key)) }

// Set sets a header.
func (c RequestCarrier) Set(key, value string) { c.RequestHeader.Set(key, value) }

// Keys returns no names; the propagator asks for those it knows.
func (c RequestCarrier) Keys() []string { return nil }
