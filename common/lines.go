package common

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// linesQueue is how many log lines may wait to be written.
	logQueueLines = 2048
	// LinesPerSecond bounds the log lines that a daemon writes: the four lines of
	// a task at 100 starts a second, and some room.
	MaxLogLinesPerSecond = 500
)

// Lines writes log lines in the background. It never blocks its callers: lines
// beyond the budget, and those that a slow reader leaves no room for, are left
// out and counted.
type AsyncLogWriter struct {
	out     io.Writer
	budget  int
	queue   chan []byte
	omitted atomic.Int64
	done    chan struct{}
	close   sync.Once
}

// NewLines returns a writer of up to budget lines a second.
func NewAsyncLogWriter(out io.Writer, budget int) *AsyncLogWriter {
	l := &AsyncLogWriter{out: out, budget: budget, queue: make(chan []byte, logQueueLines), done: make(chan struct{})}
	go l.run()
	return l
}

// Write queues one line.
func (l *AsyncLogWriter) Write(p []byte) (int, error) {
	select {
	case l.queue <- append([]byte(nil), p...):
	default:
		l.omitted.Add(1)
	}
	return len(p), nil
}

// Omitted counts the lines that were left out.
func (l *AsyncLogWriter) Omitted() int64 { return l.omitted.Load() }

// Close writes what is queued. Lines that come later are left out.
func (l *AsyncLogWriter) Close() error {
	l.close.Do(func() { l.queue <- nil })
	<-l.done
	return nil
}

func (l *AsyncLogWriter) run() {
	defer close(l.done)
	window, written, told := time.Now(), 0, int64(0)
	for line := range l.queue {
		if line == nil {
			return
		}
		if now := time.Now(); now.Sub(window) >= time.Second {
			window, written = now, 0
			if n := l.omitted.Load(); n > told {
				// Nobody can be told of a log that can't be written.
				_, _ = fmt.Fprintf(l.out, "level=warn msg=\"log lines left out\" count=%d\n", n-told)
				told = n
			}
		}
		if written >= l.budget {
			l.omitted.Add(1)
			continue
		}
		written++
		_, _ = l.out.Write(line)
	}
}
