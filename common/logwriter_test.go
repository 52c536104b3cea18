package common

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

// blockedWriter is an output whose reader has stopped reading.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

// Guards against a daemon that hangs because nobody reads its log output.
func TestLogWriterNeverBlocksCallers(t *testing.T) {
	out := blockedWriter{make(chan struct{})}
	w := NewAsyncLogWriter(out, MaxLogLinesPerSecond)
	start := time.Now()
	for range 2 * logQueueLines {
		w.Write([]byte("line\n"))
	}
	if took := time.Since(start); took > time.Second {
		t.Fatalf("writing to a blocked output took %s", took)
	}
	if n := w.Omitted(); n < logQueueLines-1 {
		t.Fatalf("only %d lines counted as dropped", n)
	}
	close(out.release)
	w.Close()
}

// Guards against a flood of log lines, and against dropping lines unnoticed.
func TestLogWriterKeepsItsRateAndReportsDroppedLines(t *testing.T) {
	var out bytes.Buffer
	w := NewAsyncLogWriter(&out, 10)
	for range 100 {
		w.Write([]byte("a\n"))
	}
	time.Sleep(1100 * time.Millisecond)
	w.Write([]byte("b\n"))
	w.Close()
	if n := strings.Count(out.String(), "a\n"); n != 10 {
		t.Errorf("%d lines written, want 10", n)
	}
	if !strings.Contains(out.String(), "left out\" count=90") || !strings.HasSuffix(out.String(), "b\n") {
		t.Errorf("written: %q", out.String())
	}
}
