// Package common holds what all daemons share: the logger, metrics, tracer and
// recent decisions, the servers and admin endpoints, and the parsing of flags.
package common

import "github.com/berylspar/spar/guard"

// Settings are the settings that all daemons share.
type Settings struct {
	// LogLevel is the minimum level of log lines.
	LogLevel string `json:"log_level" jsonschema:"enum=debug,enum=info,enum=warn,enum=error,description=least level of the log lines written"`
	// Trace is the destination of spans.
	Trace string `json:"trace" jsonschema:"description=where spans go: empty for nowhere or stdout or the address of an OTLP/HTTP collector such as http://127.0.0.1:4318"`
	// TraceShare is the share of requests that are traced.
	TraceShare float64 `json:"trace_share" jsonschema:"minimum=0,maximum=1,description=share of requests that are traced"`
	// Admin is the address of the metrics and health endpoints.
	Admin string `json:"admin" jsonschema:"minLength=1,description=address of /metrics and /healthz and /readyz and of the operators' endpoints"`
	// Limits bounds what clients can take of the instance.
	Limits guard.Limits `json:"limits" jsonschema:"description=bounds of what clients can take of the instance"`
}

// DefaultSettings returns settings that log from level info on and do not trace.
func DefaultSettings() Settings {
	return Settings{LogLevel: "info", TraceShare: 1, Admin: "127.0.0.1:0"}
}
