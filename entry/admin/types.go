package admin

import "github.com/berylspar/spar"

// JobRequest is the body of POST /v1/jobs. Fields that are left out take the
// value of the kind.
type JobRequest struct {
	Job   string `json:"job" jsonschema:"required,minLength=1,maxLength=100,description=name of the job; a second submission of it is the same job"`
	Kind  string `json:"kind" jsonschema:"required,minLength=1,maxLength=64,description=kind of job from the configuration"`
	Tasks uint32 `json:"tasks,omitempty" jsonschema:"maximum=1000,description=number of tasks"`
	RunMS int64  `json:"run_ms,omitempty" jsonschema:"minimum=0,maximum=604800000,description=expected run time of a task in ms"`
	// Size replaces the kind's size of a task.
	Size *spar.Size `json:"size,omitempty" jsonschema:"description=size of each task"`
}

// JobAnswer tells of a job.
type JobAnswer struct {
	Job       string       `json:"job"`
	Kind      string       `json:"kind"`
	Team      string       `json:"team"`
	Cancelled bool         `json:"cancelled"`
	Ended     bool         `json:"ended"`
	Done      int          `json:"done"`
	Tasks     []TaskAnswer `json:"tasks"`
}

// TaskAnswer tells of a task.
type TaskAnswer struct {
	Index      int    `json:"index"`
	Phase      string `json:"phase"`
	Attempt    uint32 `json:"attempt"`
	Worker     string `json:"worker,omitempty"`
	Checkpoint string `json:"checkpoint,omitempty"`
	ProgressMS int64  `json:"progress_ms"`
	Reason     string `json:"reason,omitempty"`
}

// Accepted is the answer to a submission.
type Accepted struct {
	Job string `json:"job"`
	// Duplicate is set when the job had been submitted before.
	Duplicate bool `json:"duplicate"`
}

// Failure is the answer to what was refused.
type Failure struct {
	// Field names what is wrong, where one field is.
	Field string `json:"field,omitempty"`
	Error string `json:"error"`
}

// Force tells where a revision is in force.
type Force struct {
	Entry    string `json:"entry"`
	Revision int64  `json:"revision"`
	AgeMS    int64  `json:"age_ms"`
	// Agents counts those known and not silent; Behind names those that hold a
	// lower revision than this entry.
	Agents int      `json:"agents"`
	Behind []string `json:"behind"`
}

// Story is the answer of GET /v1/why.
type Story struct {
	Subject string `json:"subject"`
	Events  []Line `json:"events"`
	// Missed names who could not be asked.
	Missed []string `json:"missed"`
}

// Line is one decision.
type Line struct {
	UnixUS   int64  `json:"unix_us"`
	Source   string `json:"source"`
	Subject  string `json:"subject"`
	Decision string `json:"decision"`
	Reason   string `json:"reason,omitempty"`
	Detail   string `json:"detail,omitempty"`
}

// WorkerAnswer tells of a worker.
type WorkerAnswer struct {
	Worker   string    `json:"worker"`
	Domain   string    `json:"domain"`
	Session  string    `json:"session"`
	Revision int64     `json:"revision"`
	Free     spar.Size `json:"free"`
	Total    spar.Size `json:"total"`
	SilentMS int64     `json:"silent_ms"`
	Leaving  bool      `json:"leaving"`
	Suspect  bool      `json:"suspect"`
}
