package agents

import (
	"time"

	"github.com/berylspar/spar/wire"
)

// Agent is what an entry knows of an agent.
type Agent struct {
	state     *wire.RenewRequest
	lastHeard time.Time
	// home is the entry at which the agent renews, empty for this entry.
	home    string
	version int64
	// suspectUntil is the time until which the agent gets no batch work because
	// attempts failed on it.
	suspectUntil time.Time
	failures     int
}

// State returns the last renewal of the agent. The caller must not modify it.
func (a Agent) State() *wire.RenewRequest { return a.state }

// LastHeard returns the last time at which the agent is known to have been alive.
func (a Agent) LastHeard() time.Time { return a.lastHeard }

// IsSuspect reports whether consecutive attempts failed on the worker recently.
func (a Agent) IsSuspect(now time.Time) bool { return now.Before(a.suspectUntil) }
