package common

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

// stuck is an output whose reader has stopped reading.
type stuck struct{ release chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

func TestLinesNeverBlock(t *testing.T) {
	s := stuck{make(chan struct{})}
	l := NewAsyncLogWriter(s, MaxLogLinesPerSecond)
	begun := time.Now()
	for range 2 * logQueueLines {
		l.Write([]byte("line\n"))
	}
	if took := time.Since(begun); took > time.Second {
		t.Fatalf("took %s", took)
	}
	if n := l.Omitted(); n < logQueueLines-1 {
		t.Fatalf("%d lines left out", n)
	}
	close(s.release)
	l.Close()
}

func TestLinesKeepTheirBudgetAndTellWhatIsMissing(t *testing.T) {
	var out bytes.Buffer
	l := NewAsyncLogWriter(&out, 10)
	for range 100 {
		l.Write([]byte("a\n"))
	}
	time.Sleep(1100 * time.Millisecond)
	l.Write([]byte("b\n"))
	l.Close()
	if n := strings.Count(out.String(), "a\n"); n != 10 {
		t.Errorf("%d lines written, want 10", n)
	}
	if !strings.Contains(out.String(), "left out\" count=90") || !strings.HasSuffix(out.String(), "b\n") {
		t.Errorf("written: %q", out.String())
	}
}
