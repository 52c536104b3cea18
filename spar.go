// Package spar holds the vocabulary and the interfaces of berylspar, a
// scheduler for colocated latency-critical and batch work. The packages below
// it implement them; none of those depends on a daemon.
package spar

import (
	"context"
	"fmt"
	"time"
)

// Clock reads a monotonic time. Its zero point has no meaning.
type Clock func() time.Time

// Log is the platform's append-only log.
type Log interface {
	// Append adds one record and returns its offset. An error does not tell
	// that the record was not appended: the answer may have been lost.
	Append(ctx context.Context, data []byte) (int64, error)
	// Read returns the records from an offset on. It waits up to wait for the
	// first one. It fails with ErrGone when retention has passed over from.
	Read(ctx context.Context, from int64, wait time.Duration) (Page, error)
}

// Page is an answer of the log.
type Page struct {
	// Oldest is the offset of the oldest record kept.
	Oldest int64
	// Head is the offset that the next append gets.
	Head int64
	// Entries are the records in offset order.
	Entries []Entry
}

// Entry is one record on the log.
type Entry struct {
	Offset int64
	Data   []byte
}

// Platform is the platform's worker API for one worker.
type Platform interface {
	// Start runs a task. A start that arrives after its deadline, or with an
	// attempt that is not above the newest seen for the task, is refused.
	Start(ctx context.Context, s Start) (TaskStatus, error)
	// Renew extends the leases of tasks to a time of the platform's clock.
	Renew(ctx context.Context, until time.Duration, tasks []TaskID) error
	// Throttle caps the processors of a task, in thousandths.
	Throttle(ctx context.Context, id TaskID, cpuMilli int64) error
	// Checkpoint saves the progress of a task.
	Checkpoint(ctx context.Context, id TaskID) (TaskStatus, error)
	// Stop ends a task, after a checkpoint where save is set.
	Stop(ctx context.Context, id TaskID, save bool) (TaskStatus, error)
	// List returns all tasks of the worker that were not cleared.
	List(ctx context.Context) (Listing, error)
	// Clear forgets a task that has ended.
	Clear(ctx context.Context, id TaskID) error
}

// TaskID names one attempt at a task.
type TaskID struct {
	Job     string `json:"job"`
	Index   uint32 `json:"index"`
	Attempt uint32 `json:"attempt"`
}

// Start asks the platform to run a task.
type Start struct {
	ID         TaskID        `json:"id"`
	Kind       string        `json:"kind"`
	Size       Size          `json:"size"`
	Run        time.Duration `json:"run_ns"`
	Checkpoint string        `json:"checkpoint"`
	// Until ends the task's first lease, on the platform's clock.
	Until time.Duration `json:"until_ns"`
	// StartBy is the last moment to start, on the platform's clock.
	StartBy time.Duration `json:"start_by_ns"`
}

// TaskState tells how far a task of the platform is.
type TaskState string

// The states of a task of the platform.
const (
	TaskRunning TaskState = "running"
	TaskDone    TaskState = "done"
	TaskFailed  TaskState = "failed"
	TaskStopped TaskState = "stopped"
	TaskLapsed  TaskState = "lapsed"
	TaskRefused TaskState = "refused"
)

// TaskStatus is what the platform tells of a task.
type TaskStatus struct {
	ID    TaskID    `json:"id"`
	Kind  string    `json:"kind"`
	State TaskState `json:"state"`
	Size  Size      `json:"size"`
	// Progress is the work done, and Saved the part in the checkpoint.
	Progress   time.Duration `json:"progress_ns"`
	Saved      time.Duration `json:"saved_ns"`
	Checkpoint string        `json:"checkpoint"`
	Reason     string        `json:"reason"`
	// Used is the measured use of processors in thousandths; it lags.
	Used int64 `json:"used_cpu_milli"`
}

// Listing is what runs on a worker.
type Listing struct {
	// Now is the platform's clock.
	Now   time.Duration `json:"now_ns"`
	Tasks []TaskStatus  `json:"tasks"`
}

// String prints job/index/attempt.
func (t TaskID) String() string {
	return fmt.Sprintf("%s/%d/%d", t.Job, t.Index, t.Attempt)
}

// Task returns the task without the attempt, as job/index.
func (t TaskID) Task() string {
	return fmt.Sprintf("%s/%d", t.Job, t.Index)
}
