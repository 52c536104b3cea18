package lab

import (
	"strings"
	"sync"
	"time"
)

// gangWait is gangMs: how long a member waits for the others.
const gangWait = 3 * time.Second

// gangRuns holds the runs of gangs over all workers, by step and run number.
type gangRuns struct {
	mu   sync.Mutex
	runs map[string]*gangRun
}

// gangRun is one run of a gang: its members work together from the moment when all of them
// are present, and end together.
type gangRun struct {
	mu     sync.Mutex
	size   int
	count  int
	begun  time.Time
	broken bool
}

// join adds a member of a gang of a size.
func (g *gangRuns) join(task string, run int64, size int) *gangRun {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.runs == nil {
		g.runs = map[string]*gangRun{}
	}
	key := task[:strings.LastIndexByte(task, '.')] + "/" + time.Duration(run).String()
	r := g.runs[key]
	if r == nil {
		r = &gangRun{size: size}
		g.runs[key] = r
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count++; r.count == r.size && !r.broken {
		r.begun = time.Now()
	}
	return r
}

// end returns how a member ends now that has come at a time and has work to do, or "".
func (r *gangRun) end(came time.Time, work time.Duration) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.broken:
		return "broken"
	case !r.begun.IsZero() && time.Since(r.begun) >= work:
		return "done"
	case r.begun.IsZero() && time.Since(came) >= gangWait:
		return "alone"
	}
	return ""
}

// breakUp records that a member has ended otherwise than done.
func (r *gangRun) breakUp() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = true
}
