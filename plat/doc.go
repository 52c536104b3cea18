// Package plat speaks to the platform over HTTP and JSON: the append-only log
// and the worker API. It holds no decisions; retries are the caller's.
package plat
