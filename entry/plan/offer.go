package plan

import (
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/wire"
)

// offer is a waiting task and the worker that is chosen for it.
type offer struct {
	id         spar.TaskID
	spec       *wire.Spec
	checkpoint string
	progressMS int64
	crashedOn  string
	submitted  int64
	session    string
	worker     string
	domain     string
}

// offerInProgress is an offer whose calls have not ended. Until it expires, its
// size counts against the team's quota and its task is not offered again.
type offerInProgress struct {
	team    string
	size    spar.Size
	expires time.Time
}
