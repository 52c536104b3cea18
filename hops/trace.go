package hops

import (
	"github.com/valyala/fasthttp"
	"go.opentelemetry.io/otel/propagation"
)

// RequestCarrier carries a trace context in the headers of a request.
type RequestCarrier struct{ *fasthttp.RequestHeader }

var _ propagation.TextMapCarrier = RequestCarrier{}

// Get returns the value of a header.
func (c RequestCarrier) Get(key string) string { return string(c.Peek(key)) }

// Set sets the value of a header.
func (c RequestCarrier) Set(key, value string) { c.RequestHeader.Set(key, value) }

// Keys returns no names: the propagator reads the headers that it knows with Get.
func (c RequestCarrier) Keys() []string { return nil }
