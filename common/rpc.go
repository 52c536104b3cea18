package common

import (
	"net"
	"net/http"
	"time"
)

// Timeouts of calls between the system's own processes.
const (
	rpcDialTimeout = 300 * time.Millisecond
	rpcIdleTimeout = 30 * time.Second
)

// NewRPCClient returns the HTTP client for calls between the system's own
// processes. It uses HTTP/1 with pooled connections, so that a slow answer does
// not delay others on the same connection.
func NewRPCClient() *http.Client {
	d := net.Dialer{Timeout: rpcDialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext: d.DialContext, IdleConnTimeout: rpcIdleTimeout,
		MaxIdleConns: 0, MaxIdleConnsPerHost: 8, DisableCompression: true,
	}}
}
