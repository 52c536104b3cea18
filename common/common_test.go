package common

import (
	"io"
	"testing"
	"time"
)

// Guards against a panic over metrics registered twice when a fenced or expelled
// daemon rebuilds itself in the same process.
func TestBaseCanBeRebuiltInOneProcess(t *testing.T) {
	for range 2 {
		b, err := NewBase(t.Context(), DefaultSettings(), "program", "name", io.Discard, io.Discard)
		if err != nil {
			t.Fatal(err)
		}
		b.Common.Counter("requests_done").Inc(1)
		b.Common.Gauge("size").Update(1)
		time.Sleep(2 * metricsInterval)
		if err := b.Close(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
}
