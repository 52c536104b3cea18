// Package spar defines the types and interfaces shared by the packages of
// berylspar, a scheduler for colocated latency-critical and batch work. The
// packages that implement the interfaces do not depend on a daemon.
package spar

import (
	"context"
	"fmt"
	"time"
)

// Clock returns a monotonic time with an arbitrary zero point.
type Clock func() time.Time

// Log is the platform's append-only log.
type Log interface {
	// Append adds one record and returns its offset. After an error the record
	// may still have been appended, since the response may have been lost.
	Append(ctx context.Context, data []byte) (int64, error)
	// Read returns the records starting at offset from. It waits up to wait for
	// the first one. It fails with ErrGone when from is older than the retained
	// log.
	Read(ctx context.Context, from int64, wait time.Duration) (Page, error)
}

// Page is the result of a read from the log.
type Page struct {
	// Oldest is the offset of the oldest retained record.
	Oldest int64
	// Head is the offset that the next appended record will get.
	Head int64
	// Entries are the records in offset order.
	Entries []Entry
}

// Entry is one record of the log.
type Entry struct {
	Offset int64
	Data   []byte
}

// Platform is the platform's worker API for one worker.
type Platform interface {
	// Start runs a task. It is refused when it arrives after its deadline, or
	// when its attempt is not higher than the newest one seen for the task.
	Start(ctx context.Context, s Start) (TaskStatus, error)
	// Renew extends the leases of tasks to a time on the platform's clock.
	Renew(ctx context.Context, until time.Duration, tasks []TaskID) error
	// Throttle limits the CPU share of a task, in thousandths of a processor.
	Throttle(ctx context.Context, id TaskID, cpuMilli int64) error
	// Checkpoint saves the progress of a task.
	Checkpoint(ctx context.Context, id TaskID) (TaskStatus, error)
	// Stop ends a task. If save is set, it takes a checkpoint first.
	Stop(ctx context.Context, id TaskID, save bool) (TaskStatus, error)
	// List returns all tasks of the worker that have not been cleared.
	List(ctx context.Context) (Listing, error)
	// Clear removes an ended task from the list.
	Clear(ctx context.Context, id TaskID) error
}

// TaskID identifies one attempt at a task.
type TaskID struct {
	Job     string `json:"job"`
	Index   uint32 `json:"index"`
	Attempt uint32 `json:"attempt"`
}

// Start is a request to the platform to run a task.
type Start struct {
	ID         TaskID        `json:"id"`
	Kind       string        `json:"kind"`
	Size       Size          `json:"size"`
	Run        time.Duration `json:"run_ns"`
	Checkpoint string        `json:"checkpoint"`
	// Until is the end of the task's first lease, on the platform's clock.
	Until time.Duration `json:"until_ns"`
	// StartBy is the start deadline, on the platform's clock.
	StartBy time.Duration `json:"start_by_ns"`
}

// TaskState is the state of a task on the platform.
type TaskState string

// Values of TaskState.
const (
	TaskRunning TaskState = "running"
	TaskDone    TaskState = "done"
	TaskFailed  TaskState = "failed"
	TaskStopped TaskState = "stopped"
	TaskLapsed  TaskState = "lapsed"
	TaskRefused TaskState = "refused"
)

// TaskStatus is what the platform reports about a task.
type TaskStatus struct {
	ID    TaskID    `json:"id"`
	Kind  string    `json:"kind"`
	State TaskState `json:"state"`
	Size  Size      `json:"size"`
	// Progress is the completed work, and Saved the part of it that the
	// checkpoint covers.
	Progress   time.Duration `json:"progress_ns"`
	Saved      time.Duration `json:"saved_ns"`
	Checkpoint string        `json:"checkpoint"`
	Reason     string        `json:"reason"`
	// Used is the measured CPU usage in thousandths of a processor. It lags
	// behind the real usage.
	Used int64 `json:"used_cpu_milli"`
}

// Listing is the list of a worker's tasks.
type Listing struct {
	// Now is the time on the platform's clock.
	Now   time.Duration `json:"now_ns"`
	Tasks []TaskStatus  `json:"tasks"`
}

// String formats the ID as job/index/attempt.
func (t TaskID) String() string {
	return fmt.Sprintf("%s/%d/%d", t.Job, t.Index, t.Attempt)
}

// Task formats the ID without the attempt, as job/index.
func (t TaskID) Task() string {
	return fmt.Sprintf("%s/%d", t.Job, t.Index)
}
