package common

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// logQueueLines is the number of log lines that may wait to be written.
	logQueueLines = 2048
	// MaxLogLinesPerSecond bounds the log lines that a daemon writes. It suffices
	// for the four lines of a task at 100 starts a second, with some headroom.
	MaxLogLinesPerSecond = 500
)

// AsyncLogWriter writes log lines in the background. It never blocks its callers:
// it drops and counts lines above the rate limit, and lines that find the queue
// full because the output is slow.
type AsyncLogWriter struct {
	out          io.Writer
	maxPerSecond int
	queue        chan []byte
	omitted      atomic.Int64
	done         chan struct{}
	closeOnce    sync.Once
}

// NewAsyncLogWriter returns a writer of up to maxPerSecond lines a second to out.
func NewAsyncLogWriter(out io.Writer, maxPerSecond int) *AsyncLogWriter {
	w := &AsyncLogWriter{out: out, maxPerSecond: maxPerSecond, queue: make(chan []byte, logQueueLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a copy of one line, or drops it if the queue is full.
func (w *AsyncLogWriter) Write(p []byte) (int, error) {
	select {
	case w.queue <- append([]byte(nil), p...):
	default:
		w.omitted.Add(1)
	}
	return len(p), nil
}

// Omitted returns the number of dropped lines.
func (w *AsyncLogWriter) Omitted() int64 { return w.omitted.Load() }

// Close writes the queued lines and stops the writer. Later lines are dropped.
func (w *AsyncLogWriter) Close() error {
	w.closeOnce.Do(func() { w.queue <- nil })
	<-w.done
	return nil
}

// run writes the queued lines until it reads a nil line, which Close sends.
func (w *AsyncLogWriter) run() {
	defer close(w.done)
	windowStart, written, reported := time.Now(), 0, int64(0)
	for line := range w.queue {
		if line == nil {
			return
		}
		if now := time.Now(); now.Sub(windowStart) >= time.Second {
			windowStart, written = now, 0
			if n := w.omitted.Load(); n > reported {
				// A failed write of the log can't be reported in the log.
				_, _ = fmt.Fprintf(w.out, "level=warn msg=\"log lines left out\" count=%d\n", n-reported)
				reported = n
			}
		}
		if written >= w.maxPerSecond {
			w.omitted.Add(1)
			continue
		}
		written++
		_, _ = w.out.Write(line)
	}
}
