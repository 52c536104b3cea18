package work

import (
	"sync"
	"time"

	"github.com/berylspar/spar"
)

// Run is the actual execution of one attempt.
type Run struct {
	ID     spar.TaskID   `json:"id"`
	Worker string        `json:"worker"`
	Domain string        `json:"domain"`
	Start  time.Duration `json:"start_ns"`
	// End is 0 while the attempt runs.
	End           time.Duration `json:"end_ns"`
	EndState      string        `json:"how"`
	Checkpoint    string        `json:"checkpoint"`
	StartProgress time.Duration `json:"from_ns"`
	Progress      time.Duration `json:"progress_ns"`
	Saved         time.Duration `json:"saved_ns"`
}

// Recorder records what ran where and when.
type Recorder struct {
	mu            sync.Mutex
	runs          []*Run
	overcommitted []string
	keyExecutions map[string]int
	clock         func() time.Duration
}

// NewRecorder returns an empty recorder.
func NewRecorder(clock func() time.Duration) *Recorder {
	return &Recorder{keyExecutions: map[string]int{}, clock: clock}
}

// Report is a copy of the recorded executions, for tests.
type Report struct {
	Now  time.Duration `json:"now_ns"`
	Runs []Run         `json:"runs"`
	// Overcommitted names a worker each time a task started and the sum of its
	// running tasks was above its size.
	Overcommitted []string `json:"over"`
	// KeyExecutions counts the executions of each keyed request.
	KeyExecutions map[string]int `json:"keys"`
}

// Report returns everything recorded since the start.
func (rc *Recorder) Report() Report {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	r := Report{Now: rc.clock(), Overcommitted: rc.overcommitted, KeyExecutions: map[string]int{}}
	for _, n := range rc.runs {
		r.Runs = append(r.Runs, *n)
	}
	for k, n := range rc.keyExecutions {
		r.KeyExecutions[k] = n
	}
	return r
}

// CountExecution counts an execution of a keyed request.
func (rc *Recorder) CountExecution(key string) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.keyExecutions[key]++
}

func (rc *Recorder) recordStart(id spar.TaskID, worker, domain string, at time.Duration, checkpoint string, from time.Duration) *Run {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	r := &Run{ID: id, Worker: worker, Domain: domain, Start: at, Checkpoint: checkpoint, StartProgress: from}
	rc.runs = append(rc.runs, r)
	return r
}

func (rc *Recorder) recordEnd(r *Run, at time.Duration, state string, progress, saved time.Duration) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	r.End, r.EndState, r.Progress, r.Saved = at, state, progress, saved
}

func (rc *Recorder) recordOvercommit(worker string, used, total spar.Size) {
	if used.Fits(total) {
		return
	}
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.overcommitted = append(rc.overcommitted, worker)
}
