package app

import (
	"github.com/berylspar/spar/stand/back"
	"github.com/berylspar/spar/stand/work"
)

// Machine is a worker with its backend server.
type Machine struct {
	settings WorkerSettings
	worker   *work.Worker
	server   *back.Server
}

// Machines holds the machines by name.
type Machines map[string]*Machine
