// Package plat is the client of the platform's HTTP and JSON interfaces: the
// append-only log and the worker API. It does not retry; callers decide that.
package plat
