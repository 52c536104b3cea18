// Package wire holds the records on the log and the messages between the
// system's own processes, as generated from wire.proto, and their conversions
// to the types of package spar.
package wire
