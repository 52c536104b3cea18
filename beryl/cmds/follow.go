package cmds

import (
	"context"
	"time"

	"github.com/berylspar/spar/fleet"
	"github.com/berylspar/spar/plat"
	"github.com/berylspar/spar/tail"
	"github.com/cockroachdb/errors"
)

// headTimeout bounds the time to read the log up to its head.
const headTimeout = 20 * time.Second

// headPollInterval is the interval between checks whether the tail has reached
// the head of the log.
const headPollInterval = 5 * time.Millisecond

// tailToHead starts a tail of the log and waits until it has reached the head.
// The caller stops the tail with the returned function.
func (r *Runner) tailToHead(ctx context.Context) (*tail.Tail, func(), error) {
	log := plat.NewLog(r.target.Platform)
	state, err := tail.LoadState(ctx, log, fleet.CheckBody)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "log at %s", r.target.Platform)
	}
	if state == nil {
		return nil, nil, errors.Newf("log at %s: holds no snapshot to begin with; is an entry running?", r.target.Platform)
	}
	t := tail.NewTail(tail.DefaultSettings(), log, state)
	tailCtx, cancel := context.WithCancel(ctx)
	done := t.Run(tailCtx)
	stop := func() {
		cancel()
		<-done
	}
	deadline := time.Now().Add(headTimeout)
	for t.FreshAt().IsZero() {
		if time.Now().After(deadline) || ctx.Err() != nil {
			stop()
			return nil, nil, errors.Newf("log at %s: not read up to its head within %s", r.target.Platform, headTimeout)
		}
		time.Sleep(headPollInterval)
	}
	return t, stop, nil
}
