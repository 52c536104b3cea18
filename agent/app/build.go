package app

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/agent/ctrl"
	"github.com/berylspar/spar/agent/relay"
	"github.com/berylspar/spar/agent/renew"
	"github.com/berylspar/spar/agent/tasks"
	"github.com/berylspar/spar/colo"
	"github.com/berylspar/spar/common"
	"github.com/berylspar/spar/lease"
	"github.com/berylspar/spar/ledger"
	"github.com/berylspar/spar/plat"
	"github.com/berylspar/spar/wire"
	"go.uber.org/dig"
)

// runSession runs one session of the agent until the context ends or the session
// is fenced.
func runSession(ctx context.Context, s Settings, out, errs io.Writer) error {
	c := dig.New()
	for _, p := range []any{
		func() Settings { return s },
		func() lease.Terms { return s.Terms },
		func() (*common.Base, error) { return common.NewBase(ctx, s.Settings, "agent", s.Worker, out, errs) },
		func(b *common.Base) common.Common { return b.Common },
		func() tasks.Identity {
			return tasks.Identity{Worker: s.Worker, Domain: s.Domain, Session: newSessionName(s.Worker)}
		},
		func() spar.Platform { return plat.NewWorker(s.Platform, s.Worker) },
		func() *ledger.Ledger { return ledger.NewLedger(s.Size) },
		func() *lease.Holder { return &lease.Holder{} },
		tasks.NewRunner,
		newRelay,
		func() *colo.Controller { return colo.NewController(colo.DefaultSettings(0)) },
		func() *colo.Window { return &colo.Window{} },
		func(r *tasks.Runner) *ctrl.Server { return ctrl.NewServer(r, s.Worker) },
		common.NewRPCClient,
		newRenewer,
		newDaemon,
	} {
		if err := c.Provide(p); err != nil {
			return err
		}
	}
	return c.Invoke(func(d *daemon) error { return d.run(ctx) })
}

func newRelay(c common.Common, s Settings, r *tasks.Runner, w *colo.Window) *relay.Relay {
	return relay.NewRelay(c, relay.Settings{
		Backend: s.Backend, Service: s.Service, Slots: s.Slots, Connections: s.Connections, Queue: s.Queue,
	}, r.RequestRefusal, func(took time.Duration) { w.Add(time.Now(), took) })
}

func newRenewer(c common.Common, s Settings, r *tasks.Runner, h *lease.Holder, l *ledger.Ledger, rl *relay.Relay, id tasks.Identity, client *http.Client, ctl *colo.Controller) *renew.Renewer {
	newRequest := func() *wire.RenewRequest {
		return &wire.RenewRequest{
			Session: id.Session, Worker: s.Worker, Domain: s.Domain, Rack: s.Rack, Service: s.Service,
			ControlAddress: cmp.Or(s.ReachControl, s.Control), RequestAddress: cmp.Or(s.Reach, s.Listen),
			Total: wire.SizeOf(l.Total()), Free: wire.SizeOf(l.Free(time.Now())), Load: rl.Load(),
			Running: r.ActiveAttempts(), Leaving: r.IsLeaving(), Ready: r.IsReady(),
			KindsAvoided: ctl.Scores().KindsToAvoid(),
		}
	}
	return renew.NewRenewer(c, r, h, s.Worker, time.Duration(s.RenewMS)*time.Millisecond, s.Terms.Start(), s.Entries, newRequest, client)
}
