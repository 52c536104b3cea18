package plan

import (
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/wire"
)

// offer is a waiting task on its way to a worker.
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

// flight is an offer under way. Its size counts against the quota until then.
type offerInProgress struct {
	team    string
	size    spar.Size
	expires time.Time
}
