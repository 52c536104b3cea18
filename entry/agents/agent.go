package agents

import (
	"time"

	"github.com/berylspar/spar/wire"
)

// Agent is an agent as an entry knows it.
type Agent struct {
	state *wire.RenewRequest
	heard time.Time
	// home is the entry that it renews at, empty for this one.
	home    string
	version int64
	// suspectUntil keeps batch work away after tasks failed there.
	suspectUntil time.Time
	failures     int
}

// State is what the agent said last. It must not be changed.
func (a Agent) State() *wire.RenewRequest { return a.state }

// Heard is when it is known to have lived.
func (a Agent) Heard() time.Time { return a.heard }

// IsSuspect tells whether tasks failed there lately, one after the other.
func (a Agent) IsSuspect(now time.Time) bool { return now.Before(a.suspectUntil) }
