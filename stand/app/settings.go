package app

import "github.com/berylspar/spar/guard"

// Settings of the stand-in.
type Settings struct {
	// Listen is the address of the log, the worker API and fault injection.
	Listen string `json:"listen" jsonschema:"minLength=1,description=address of the log and the worker API"`
	// AppendsPerSecond is the maximum append rate of the log (0: no limit).
	AppendsPerSecond int64 `json:"appends_per_second" jsonschema:"minimum=0,description=most appends a second (0: any)"`
	// RetainMS is the retention of the log (0: forever).
	RetainMS int64 `json:"retain_ms" jsonschema:"minimum=0,description=time that the log keeps a record in ms (0: for ever)"`
	// ServiceUS is the mean service time of a backend on an idle machine.
	ServiceUS int64 `json:"service_us" jsonschema:"minimum=0,description=mean service time of a backend on an idle machine in µs"`
	// Slots is the number of requests that a backend serves concurrently.
	Slots int `json:"slots" jsonschema:"minimum=1,description=requests that a backend serves at once"`
	// Workers are the simulated machines.
	Workers []WorkerSettings `json:"workers" jsonschema:"description=the machines"`
	// Limits bounds what clients can take of the process.
	Limits guard.Limits `json:"limits" jsonschema:"description=bounds of what clients can take of the process"`
}

// WorkerSettings are the settings of one machine.
type WorkerSettings struct {
	Name     string `json:"name" jsonschema:"required,minLength=1,description=name of the worker"`
	Domain   string `json:"domain" jsonschema:"required,minLength=1,description=its failure domain"`
	Backend  string `json:"backend" jsonschema:"description=address of its backend server (empty: none)"`
	CPUMilli int64  `json:"cpu_milli" jsonschema:"required,minimum=1,description=processors in thousandths"`
	MemoryMB int64  `json:"memory_mb" jsonschema:"required,minimum=1,description=memory in mebibytes"`
}

// DefaultSettings returns settings for a log without machines.
func DefaultSettings() Settings {
	return Settings{Listen: "127.0.0.1:7000", AppendsPerSecond: 400, ServiceUS: 4000, Slots: 8, Workers: []WorkerSettings{}}
}
