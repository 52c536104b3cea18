// Package fuzz has what the fuzz targets of decoders share. It is for tests only.
package fuzz

import (
	"runtime"
	"testing"
)

const (
	// freeBytes is what a decoder may allocate for any input, and bytesPerByte what it
	// may allocate for each byte of it, garbage included.
	freeBytes    = 1 << 20
	bytesPerByte = 512
)

// Bounded runs a decoder and fails the test if it allocates more memory than an input
// of n bytes should take: a small record with large lengths in it must not take much.
func Bounded(t *testing.T, n int, decode func()) {
	t.Helper()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	decode()
	runtime.ReadMemStats(&after)
	if took, most := after.TotalAlloc-before.TotalAlloc, uint64(freeBytes+n*bytesPerByte); took > most {
		t.Errorf("decoding %d bytes allocated %d bytes, want at most %d", n, took, most)
	}
}
