// Package common holds what every daemon has: logger, metrics, tracer, the
// ring of decisions, and the endpoints that show them.
package common

// Settings are what every daemon can be told.
type Settings struct {
	// LogLevel is the least level that is written.
	LogLevel string `json:"log_level" jsonschema:"enum=debug,enum=info,enum=warn,enum=error,description=least level of the log lines written"`
	// Trace is where spans go.
	Trace string `json:"trace" jsonschema:"description=where spans go: empty for nowhere or stdout or the address of an OTLP/HTTP collector such as http://127.0.0.1:4318"`
	// TraceShare is the share of requests that are traced.
	TraceShare float64 `json:"trace_share" jsonschema:"minimum=0,maximum=1,description=share of requests that are traced"`
	// Admin is the address of the metrics and health endpoints.
	Admin string `json:"admin" jsonschema:"minLength=1,description=address of /metrics and /healthz and /readyz and of the operators' endpoints"`
}

// DefaultSettings write from level info on and trace nothing.
func DefaultSettings() Settings {
	return Settings{LogLevel: "info", TraceShare: 1, Admin: "127.0.0.1:0"}
}
