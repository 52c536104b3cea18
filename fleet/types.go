// Package fleet defines the configuration that operators declare: failure domains,
// services, teams and kinds of batch jobs. Operators' programs use it to build and
// print the configuration.
package fleet

import "github.com/berylspar/spar"

// Configuration is the declaration of a deployment by its operators.
type Configuration struct {
	// Domains are the failure domains of the deployment.
	Domains []Domain `json:"domains" jsonschema:"required"`
	// Services are the latency-critical services.
	Services []Service `json:"services" jsonschema:"required"`
	// Teams own batch jobs and have quotas.
	Teams []Team `json:"teams" jsonschema:"required"`
	// Kinds are the kinds of batch jobs that teams submit.
	Kinds []Kind `json:"kinds" jsonschema:"required"`
}

// Domain is a failure domain.
type Domain struct {
	Name   string `json:"name" jsonschema:"required,minLength=1,maxLength=64,description=name of the failure domain"`
	Region string `json:"region" jsonschema:"required,minLength=1,maxLength=64,description=region that holds it"`
	Closed bool   `json:"closed" jsonschema:"description=no task starts in a closed domain"`
}

// Service is a latency-critical service.
type Service struct {
	Name     string   `json:"name" jsonschema:"required,minLength=1,maxLength=64,description=name in the Beryl-Service header"`
	TargetMS int64    `json:"target_ms" jsonschema:"required,minimum=1,maximum=60000,description=answer time in ms that batch work must leave room for"`
	Domains  []string `json:"domains" jsonschema:"description=failure domains it may use (none: all)"`
}

// Team owns batch jobs.
type Team struct {
	Name  string    `json:"name" jsonschema:"required,minLength=1,maxLength=64,description=name of the team"`
	Quota spar.Size `json:"quota" jsonschema:"required,description=most that its running tasks may need together"`
}

// Kind is a kind of batch job.
type Kind struct {
	Name       string    `json:"name" jsonschema:"required,minLength=1,maxLength=64,description=name of the kind"`
	Team       string    `json:"team" jsonschema:"required,minLength=1,maxLength=64,description=team that owns it"`
	Tasks      uint32    `json:"tasks" jsonschema:"required,minimum=1,maximum=1000,description=tasks of a job"`
	Size       spar.Size `json:"size" jsonschema:"required,description=size of each task"`
	RunMS      int64     `json:"run_ms" jsonschema:"required,minimum=0,maximum=604800000,description=expected run time of a task in ms"`
	Urgent     bool      `json:"urgent" jsonschema:"description=starts first and may evict work that is not urgent"`
	Repeatable bool      `json:"repeatable" jsonschema:"description=a task may run again when its outcome is not known"`
	Domains    []string  `json:"domains" jsonschema:"description=failure domains it may use (none: all)"`
}
