package fold

import "github.com/berylspar/spar/wire"

// Task is the agreed state of one task.
type Task struct {
	phase      wire.Phase
	attempt    uint32
	worker     string
	session    string
	checkpoint string
	progressMS int64
	failures   uint32
	crashedOn  string
	// lapsed is set while the newest attempt is closed by nothing but a lapse.
	// A report about the attempt still counts then.
	lapsed bool
	reason string
}

// Phase returns the phase of the task.
func (t *Task) Phase() wire.Phase { return t.phase }

// Attempt returns the number of the newest claim, or 0 before the first.
func (t *Task) Attempt() uint32 { return t.attempt }

// Worker returns the worker that the newest attempt was claimed for.
func (t *Task) Worker() string { return t.worker }

// Session returns the agent's session that the newest attempt was claimed for.
func (t *Task) Session() string { return t.session }

// Checkpoint returns the name of the checkpoint that the next attempt resumes
// from, or "" when it starts from the beginning.
func (t *Task) Checkpoint() string { return t.checkpoint }

// ProgressMS returns the work that the checkpoint holds, in milliseconds.
func (t *Task) ProgressMS() int64 { return t.progressMS }

// Failures returns the number of attempts that crashed.
func (t *Task) Failures() uint32 { return t.failures }

// CrashedOn returns the worker of the newest crash.
func (t *Task) CrashedOn() string { return t.crashedOn }

// Reason returns why the newest attempt was closed, or "" if it was not or no
// reason was given.
func (t *Task) Reason() string { return t.reason }

// IsEnded reports whether the task will never run again.
func (t *Task) IsEnded() bool {
	return t.phase != wire.Phase_PHASE_WAITING && t.phase != wire.Phase_PHASE_RUNNING
}

func (t *Task) fact() *wire.TaskFact {
	return &wire.TaskFact{
		Phase: t.phase, Attempt: t.attempt, Worker: t.worker, Session: t.session,
		Checkpoint: t.checkpoint, ProgressMs: t.progressMS, Failures: t.failures, Reason: t.reason, CrashedOn: t.crashedOn, Lapsed: t.lapsed,
	}
}

func taskOf(f *wire.TaskFact) Task {
	return Task{
		phase: f.GetPhase(), attempt: f.GetAttempt(), worker: f.GetWorker(), session: f.GetSession(),
		checkpoint: f.GetCheckpoint(), progressMS: f.GetProgressMs(), failures: f.GetFailures(), reason: f.GetReason(), crashedOn: f.GetCrashedOn(), lapsed: f.GetLapsed(),
	}
}
