package common

import (
	"io"
	"testing"
	"time"
)

// A daemon that was fenced or expelled builds itself anew; it panicked over
// metrics that were registered twice.
func TestBaseCanBeBuiltTwice(t *testing.T) {
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
