// Package hops defines the HTTP headers of a request from the caller through entry
// and agent to the backend, and checks the answers.
package hops
