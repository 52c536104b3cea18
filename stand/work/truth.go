package work

import (
	"sync"
	"time"

	"github.com/berylspar/spar"
)

// Run is one attempt as it really happened.
type Run struct {
	ID     spar.TaskID   `json:"id"`
	Worker string        `json:"worker"`
	Domain string        `json:"domain"`
	Start  time.Duration `json:"start_ns"`
	// End is 0 while it runs.
	End        time.Duration `json:"end_ns"`
	How        string        `json:"how"`
	Checkpoint string        `json:"checkpoint"`
	From       time.Duration `json:"from_ns"`
	Progress   time.Duration `json:"progress_ns"`
	Saved      time.Duration `json:"saved_ns"`
}

// Truth is the record of what ran where and when.
type Truth struct {
	mu    sync.Mutex
	runs  []*Run
	over  []string
	keys  map[string]int
	clock func() time.Duration
}

// NewTruth returns an empty record.
func NewTruth(clock func() time.Duration) *Truth {
	return &Truth{keys: map[string]int{}, clock: clock}
}

// Report is the record in a form for tests.
type Report struct {
	Now  time.Duration `json:"now_ns"`
	Runs []Run         `json:"runs"`
	// Over names the workers that were committed beyond their size.
	Over []string `json:"over"`
	// Keys counts the executions of each keyed request.
	Keys map[string]int `json:"keys"`
}

// Report returns the record since the start.
func (t *Truth) Report() Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := Report{Now: t.clock(), Over: t.over, Keys: map[string]int{}}
	for _, n := range t.runs {
		r.Runs = append(r.Runs, *n)
	}
	for k, n := range t.keys {
		r.Keys[k] = n
	}
	return r
}

// Executed counts an execution of a keyed request.
func (t *Truth) Executed(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.keys[key]++
}

func (t *Truth) start(id spar.TaskID, worker, domain string, at time.Duration, checkpoint string, from time.Duration) *Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := &Run{ID: id, Worker: worker, Domain: domain, Start: at, Checkpoint: checkpoint, From: from}
	t.runs = append(t.runs, r)
	return r
}

func (t *Truth) end(r *Run, at time.Duration, how string, progress, saved time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.End, r.How, r.Progress, r.Saved = at, how, progress, saved
}

func (t *Truth) committed(worker string, used, total spar.Size) {
	if used.Fits(total) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.over = append(t.over, worker)
}
