// Package hops names the HTTP headers of a request on its way from the caller
// through entry and agent to the backend, and checks what comes back.
package hops
