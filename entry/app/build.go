package app

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/berylspar/spar"
	"github.com/berylspar/spar/common"
	"github.com/berylspar/spar/entry/admin"
	"github.com/berylspar/spar/entry/agents"
	"github.com/berylspar/spar/entry/ctrl"
	"github.com/berylspar/spar/entry/front"
	"github.com/berylspar/spar/entry/peers"
	"github.com/berylspar/spar/entry/plan"
	"github.com/berylspar/spar/entry/rules"
	"github.com/berylspar/spar/entry/watch"
	"github.com/berylspar/spar/fleet"
	"github.com/berylspar/spar/fold"
	"github.com/berylspar/spar/lease"
	"github.com/berylspar/spar/member"
	"github.com/berylspar/spar/plat"
	"github.com/berylspar/spar/route"
	"github.com/berylspar/spar/tail"
	"github.com/berylspar/spar/wire"
	"github.com/cockroachdb/errors"
)

// sessionName is the name of one session of an entry. Each start uses a new one.
type sessionName string

// Limits for loading the state at the start.
const (
	// startCallTimeout bounds a query of the log's bounds and the transfer of a
	// snapshot from a peer. A peer that does not answer must not block the start.
	startCallTimeout = 2 * time.Second
	// startRetryInterval is the pause between attempts, so that an entry does not
	// query a log or peers that are still starting without a break.
	startRetryInterval = 200 * time.Millisecond
	// maxBootAttempts is the number of attempts to find a snapshot, at a peer or
	// on the log, after which the state counts as lost. Peers that start at the
	// same time get about 10 s to answer.
	maxBootAttempts = 50
)

// runSession builds an entry with a new session name and runs it until it ends.
func runSession(ctx context.Context, s Settings, out, errs io.Writer) error {
	return common.Build(func(d *daemon) error { return d.run(ctx) },
		func() Settings { return s },
		func() lease.Terms { return s.Terms },
		func() sessionName { return newSessionName(s.Name) },
		func() (*common.Base, error) { return common.NewBase(ctx, s.Settings, "entry", s.Name, out, errs) },
		func(b *common.Base) common.Common { return b.Common },
		func() spar.Log { return plat.NewLog(s.Platform) },
		func(c common.Common, l spar.Log) (*fold.State, error) { return loadInitialState(ctx, c, s, l) },
		func(l spar.Log, f *fold.State) *tail.Tail { return tail.NewTail(s.Log, l, f) },
		func(n sessionName, t lease.Terms) *member.View { return member.NewView(string(n), t) },
		agents.NewTable,
		common.NewRPCClient,
		rules.NewRules,
		newRouter,
		newPeers,
		newPlanner,
		newWatcher,
		newFront,
		newServer,
		newAdmin,
		newDaemon,
	)
}

func newRouter(s Settings) *route.Router {
	return route.NewRouter(s.Domain, time.Duration(s.Front.FarUS)*time.Microsecond, s.Front.Policy, front.NewBackendClient)
}

func newPeers(c common.Common, s Settings, n sessionName, l *tail.Tail, v *member.View, a *agents.Table, h *http.Client) *peers.Peers {
	return peers.NewPeers(c, string(n), cmp.Or(s.ReachControl, s.Control), s.Terms, l, v, a, h)
}

func newPlanner(c common.Common, s Settings, n sessionName, l *tail.Tail, a *agents.Table, p *peers.Peers, r *rules.Rules, h *http.Client) *plan.Planner {
	return plan.NewPlanner(c, string(n), s.Terms, l, a, p, r, h)
}

func newWatcher(c common.Common, s Settings, n sessionName, l *tail.Tail, v *member.View, a *agents.Table, p *peers.Peers) *watch.Watcher {
	return watch.NewWatcher(c, s.Watch, string(n), s.Terms, l, v, a, p)
}

func newFront(c common.Common, s Settings, n sessionName, l *tail.Tail, r *rules.Rules, o *route.Router) *front.Server {
	return front.NewServer(c, s.Front, string(n), l, r, o, func() bool { return r.Load().Number > 0 && !l.FreshAt().IsZero() })
}

func newServer(c common.Common, s Settings, n sessionName, l *tail.Tail, v *member.View, a *agents.Table, r *rules.Rules, p *plan.Planner) *ctrl.Server {
	resendMissing := func(session string, missing []spar.TaskID) { p.ResendMissing(context.Background(), session, missing) }
	return ctrl.NewServer(c, string(n), s.Terms, l, v, a, r, resendMissing)
}

func newAdmin(c common.Common, s Settings, n sessionName, l *tail.Tail, a *agents.Table, p *peers.Peers, r *rules.Rules, planner *plan.Planner, h *http.Client) *admin.Admin {
	return admin.NewAdmin(c, string(n), s.Terms, s.TeamKeys, l, a, p, r, planner, h)
}

// loadInitialState restores the state from the snapshot of a peer, if that is not
// older than the oldest record of the log, otherwise from the log.
func loadInitialState(ctx context.Context, c common.Common, s Settings, l spar.Log) (*fold.State, error) {
	client := common.NewRPCClient()
	for attempts := 0; ctx.Err() == nil; attempts++ {
		oldest, _, err := logBounds(ctx, l)
		if err != nil {
			c.Warn("log not available", "err", err)
			waitForRetry(ctx)
			continue
		}
		for _, p := range s.Peers {
			if f := fetchSnapshot(ctx, client, p); f != nil && f.Next() >= oldest {
				c.Info("state restored from the snapshot of a peer", "peer", p, "offset", f.Next())
				return f, nil
			}
		}
		f, err := tail.LoadState(ctx, l, fleet.CheckBody)
		switch {
		case err != nil:
			c.Warn("log not readable", "err", err)
		case f != nil:
			c.Info("state restored from the log", "offset", f.Next())
			return f, nil
		case attempts >= maxBootAttempts:
			// No entry has run for longer than the log's retention period, so all
			// leases have expired.
			c.Warn("state lost: the log holds no snapshot and its first records are gone", "oldest", oldest)
			return fold.NewState(oldest, fleet.CheckBody), nil
		}
		waitForRetry(ctx)
	}
	return nil, errors.Wrap(ctx.Err(), "stopped before the log was read")
}

func logBounds(ctx context.Context, l spar.Log) (oldest, head int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, startCallTimeout)
	defer cancel()
	return tail.Bounds(ctx, l)
}

func fetchSnapshot(ctx context.Context, client *http.Client, peer string) *fold.State {
	ctx, cancel := context.WithTimeout(ctx, startCallTimeout)
	defer cancel()
	a, err := wire.NewEntryClient(client, "http://"+peer).Snap(ctx, connect.NewRequest(&wire.SnapshotRequest{}))
	if err != nil {
		return nil
	}
	return fold.Restore(a.Msg, fleet.CheckBody)
}

func waitForRetry(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(startRetryInterval):
	}
}
