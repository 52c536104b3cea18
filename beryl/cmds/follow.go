package cmds

import (
	"context"
	"time"

	"github.com/berylspar/spar/fleet"
	"github.com/berylspar/spar/plat"
	"github.com/berylspar/spar/tail"
	"github.com/cockroachdb/errors"
)

// readLimit bounds the reading of the log up to its head.
const readLimit = 20 * time.Second

// freshPoll is how often the tail is asked whether it reached the head.
const freshPoll = 5 * time.Millisecond

// follow folds the log up to its head. The caller ends it with the returned
// function.
func (r *Runner) follow(ctx context.Context) (*tail.Tail, func(), error) {
	log := plat.NewLog(r.target.Platform)
	state, err := tail.Boot(ctx, log, fleet.CheckBody)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "log at %s", r.target.Platform)
	}
	if state == nil {
		return nil, nil, errors.Newf("log at %s: holds no snapshot to begin with; is an entry running?", r.target.Platform)
	}
	t := tail.NewTail(tail.DefaultSettings(), log, state)
	life, cancel := context.WithCancel(ctx)
	done := t.Run(life)
	end := func() {
		cancel()
		<-done
	}
	limit := time.Now().Add(readLimit)
	for t.FreshAt().IsZero() {
		if time.Now().After(limit) || ctx.Err() != nil {
			end()
			return nil, nil, errors.Newf("log at %s: not read up to its head within %s", r.target.Platform, readLimit)
		}
		time.Sleep(freshPoll)
	}
	return t, end, nil
}
