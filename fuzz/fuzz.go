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
	expectAllocated(t, freeBytes+n*bytesPerByte, decode)
}

// growth is how much a slice that grows by half allocates for a byte that it holds in the
// end, garbage included, and looseBytes what the decoder itself takes.
const (
	growth     = 4
	looseBytes = 64 << 10
)

// Within runs a decoder and fails the test if it allocates more than values of a bound in
// bytes can.
func Within(t *testing.T, bound int, decode func()) {
	t.Helper()
	expectAllocated(t, looseBytes+growth*bound, decode)
}

func expectAllocated(t *testing.T, most int, decode func()) {
	t.Helper()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	decode()
	runtime.ReadMemStats(&after)
	if took := after.TotalAlloc - before.TotalAlloc; took > uint64(most) {
		t.Errorf("decoding allocated %d bytes, want at most %d", took, most)
	}
}
