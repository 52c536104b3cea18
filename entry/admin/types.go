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

// JobResponse describes a job.
type JobResponse struct {
	Job       string         `json:"job"`
	Kind      string         `json:"kind"`
	Team      string         `json:"team"`
	Cancelled bool           `json:"cancelled"`
	Ended     bool           `json:"ended"`
	Done      int            `json:"done"`
	Tasks     []TaskResponse `json:"tasks"`
}

// TaskResponse describes a task.
type TaskResponse struct {
	Index      int    `json:"index"`
	Phase      string `json:"phase"`
	Attempt    uint32 `json:"attempt"`
	Worker     string `json:"worker,omitempty"`
	Checkpoint string `json:"checkpoint,omitempty"`
	ProgressMS int64  `json:"progress_ms"`
	Reason     string `json:"reason,omitempty"`
}

// SubmitResponse is the response to a submission.
type SubmitResponse struct {
	Job string `json:"job"`
	// Duplicate is set when the job had been submitted before.
	Duplicate bool `json:"duplicate"`
}

// ErrorResponse is the response to a request that failed or was refused.
type ErrorResponse struct {
	// Field names the invalid field, if there is one.
	Field string `json:"field,omitempty"`
	Error string `json:"error"`
}

// ForceResponse reports the revision in force at an entry and its agents.
type ForceResponse struct {
	Entry    string `json:"entry"`
	Revision int64  `json:"revision"`
	AgeMS    int64  `json:"age_ms"`
	// Agents counts the known agents that were heard of within silenceLimit.
	// Behind names those that hold a lower revision than this entry.
	Agents int      `json:"agents"`
	Behind []string `json:"behind"`
}

// WhyResponse is the response to GET /v1/why.
type WhyResponse struct {
	Subject string             `json:"subject"`
	Events  []DecisionResponse `json:"events"`
	// Missed names the entries and agents that did not answer.
	Missed []string `json:"missed"`
}

// DecisionResponse describes one decision.
type DecisionResponse struct {
	UnixUS   int64  `json:"unix_us"`
	Source   string `json:"source"`
	Subject  string `json:"subject"`
	Decision string `json:"decision"`
	Reason   string `json:"reason,omitempty"`
	Detail   string `json:"detail,omitempty"`
}

// WorkerResponse describes a worker.
type WorkerResponse struct {
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
