// Package logs is a stand-in for the platform's append-only log, with offsets,
// long polls, a limit on the append rate, limited retention, and injected faults.
package logs

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Log is an append-only log in memory.
type Log struct {
	mu      sync.Mutex
	oldest  int64
	entries []entry
	// appended is closed and replaced at each append.
	appended            chan struct{}
	faults              Faults
	windowStart         time.Time
	windowAppends       int64
	counts              Counts
	retention           time.Duration
	maxAppendsPerSecond int64
}

type entry struct {
	appendedAt time.Time
	data       []byte
}

// Faults are the injected faults of a log. The zero value is a healthy log.
type Faults struct {
	// Down makes the log refuse all calls.
	Down bool `json:"down"`
	// Hang delays refused and lost calls, so that callers reach their time limit
	// instead of getting a refusal.
	Hang bool `json:"hang"`
	// SlowMS delays each call.
	SlowMS int64 `json:"slow_ms"`
	// LostShare is the share of appends that take effect but are answered with
	// an error.
	LostShare float64 `json:"lost_share"`
	// ApplyWhileDown makes appends take effect while Down is set, although they
	// are answered with an error.
	ApplyWhileDown bool `json:"land_while_down"`
}

// Counts are totals since the start.
type Counts struct {
	Appends     int64 `json:"appends"`
	Refused     int64 `json:"refused"`
	Lost        int64 `json:"lost"`
	Reads       int64 `json:"reads"`
	AppendBytes int64 `json:"bytes"`
	ReadBytes   int64 `json:"read_bytes"`
}

const (
	// appendLatency is the latency of an append to a healthy log.
	appendLatency = 2 * time.Millisecond
	maxPageBytes  = 1 << 20
	// maxWait bounds a long poll.
	maxWait = 5 * time.Second
	// hangDuration is how long a call hangs before it fails.
	hangDuration = 3 * time.Second
)

// NewLog returns an empty log. A retention of 0 keeps records forever, and a
// maxAppendsPerSecond of 0 sets no limit.
func NewLog(retention time.Duration, maxAppendsPerSecond int64) *Log {
	return &Log{appended: make(chan struct{}), retention: retention, maxAppendsPerSecond: maxAppendsPerSecond}
}

// SetFaults replaces the injected faults.
func (l *Log) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Counts returns the totals.
func (l *Log) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

// Append appends a record and returns its offset. It returns false if the caller
// must get an error; the record may have been appended nevertheless.
func (l *Log) Append(ctx context.Context, data []byte) (int64, bool) {
	sleep(ctx, appendLatency+l.addedLatency())
	l.mu.Lock()
	f := l.faults
	if f.Down && !f.ApplyWhileDown || !l.admit() {
		l.counts.Refused++
		l.mu.Unlock()
		l.waitIfHanging(ctx, f)
		return 0, false
	}
	offset := l.oldest + int64(len(l.entries))
	l.entries = append(l.entries, entry{appendedAt: time.Now(), data: data})
	l.counts.Appends++
	l.counts.AppendBytes += int64(len(data))
	close(l.appended)
	l.appended = make(chan struct{})
	lost := f.Down || rand.Float64() < f.LostShare
	if lost {
		l.counts.Lost++
	}
	l.mu.Unlock()
	if lost {
		l.waitIfHanging(ctx, f)
	}
	return offset, !lost
}

// admit reports whether the limit on appends per second allows another one.
// l.mu must be held.
func (l *Log) admit() bool {
	if l.maxAppendsPerSecond == 0 {
		return true
	}
	if now := time.Now(); now.Sub(l.windowStart) >= time.Second {
		l.windowStart = now
		l.windowAppends = 0
	}
	l.windowAppends++
	return l.windowAppends <= l.maxAppendsPerSecond
}

func (l *Log) addedLatency() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.faults.SlowMS) * time.Millisecond
}

func (l *Log) waitIfHanging(ctx context.Context, f Faults) {
	if f.Hang {
		sleep(ctx, hangDuration)
	}
}

// Read returns the records from an offset on and the bounds of the log. It waits
// up to the given time for the first record. expired is true if the record at
// from has passed its retention. ok is false if the caller must get an error.
func (l *Log) Read(ctx context.Context, from int64, wait time.Duration) (oldest, head int64, data [][]byte, expired, ok bool) {
	sleep(ctx, l.addedLatency())
	until := time.NewTimer(min(wait, maxWait))
	defer until.Stop()
	for {
		l.mu.Lock()
		l.expire()
		f, appended := l.faults, l.appended
		oldest, head = l.oldest, l.oldest+int64(len(l.entries))
		if !f.Down && from < oldest {
			l.mu.Unlock()
			return oldest, head, nil, true, true
		}
		if !f.Down && from < head {
			data = l.page(from)
			l.mu.Unlock()
			return oldest, head, data, false, true
		}
		l.counts.Reads++
		l.mu.Unlock()
		if f.Down {
			l.waitIfHanging(ctx, f)
			return 0, 0, nil, false, false
		}
		select {
		case <-appended:
		case <-until.C:
			return oldest, head, nil, false, true
		case <-ctx.Done():
			return 0, 0, nil, false, false
		}
	}
}

// page returns records from an offset on, and stops after the one that exceeds
// maxPageBytes. l.mu must be held.
func (l *Log) page(from int64) [][]byte {
	var out [][]byte
	size := 0
	for _, e := range l.entries[from-l.oldest:] {
		out = append(out, e.data)
		size += len(e.data)
		if size > maxPageBytes {
			break
		}
	}
	l.counts.Reads++
	l.counts.ReadBytes += int64(size)
	return out
}

// Oldest returns the offset of the oldest retained record.
func (l *Log) Oldest() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire()
	return l.oldest
}

// expire removes the records that have passed their retention. l.mu must be held.
func (l *Log) expire() {
	if l.retention == 0 {
		return
	}
	limit := time.Now().Add(-l.retention)
	n := 0
	for n < len(l.entries) && l.entries[n].appendedAt.Before(limit) {
		n++
	}
	l.entries = l.entries[n:]
	l.oldest += int64(n)
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
