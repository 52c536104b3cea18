package common

import (
	"net"
	"net/http"
	"time"
)

// Times of calls between the system's processes.
const (
	rpcDialTimeout = 300 * time.Millisecond
	rpcIdleTimeout = 30 * time.Second
)

// NewRPCClient returns the HTTP client for calls between the system's own
// processes. It uses HTTP/1 with pooled connections, so that one slow answer
// holds up no other.
func NewRPCClient() *http.Client {
	d := net.Dialer{Timeout: rpcDialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext: d.DialContext, IdleConnTimeout: rpcIdleTimeout,
		MaxIdleConns: 0, MaxIdleConnsPerHost: 8, DisableCompression: true,
	}}
}
