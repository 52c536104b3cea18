package app

import (
	"context"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/agent/ctrl"
	"github.com/berylspar/spar/agent/relay"
	"github.com/berylspar/spar/agent/renew"
	"github.com/berylspar/spar/agent/tasks"
	"github.com/berylspar/spar/colo"
	"github.com/berylspar/spar/common"
	"github.com/berylspar/spar/hops"
	"github.com/berylspar/spar/wire"
	"github.com/cockroachdb/errors"
	"github.com/fasthttp/router"
)

// Times of a planned stop.
const (
	// learnTime is how long entries need to learn that the agent leaves.
	learnTime = 1500 * time.Millisecond
	drainTime = 10 * time.Second
	drainPoll = 20 * time.Millisecond
)

// daemon is a whole agent.
type daemon struct {
	common.Common
	base     *common.Base
	settings Settings
	runner   *tasks.Runner
	relay    *relay.Relay
	ctrl     *ctrl.Server
	renewer  *renew.Renewer
	control  *colo.Controller
	window   *colo.Window
}

func newDaemon(b *common.Base, s Settings, r *tasks.Runner, y *relay.Relay, c *ctrl.Server, n *renew.Renewer, k *colo.Controller, w *colo.Window) *daemon {
	r.SetAvoid(func(kind string) bool { return slices.Contains(k.Scores().KindsToAvoid(), kind) })
	if s.Throttle {
		r.SetCap(k.InitialCap)
	}
	return &daemon{Common: b.Common, base: b, settings: s, runner: r, relay: y, ctrl: c, renewer: n, control: k, window: w}
}

// run serves until the context ends, then stops by plan: it takes nothing new,
// checkpoints its tasks, and finishes the requests it holds.
func (d *daemon) run(ctx context.Context) error {
	defer d.base.Close(context.WithoutCancel(ctx))
	work, end := context.WithCancelCause(context.WithoutCancel(ctx))
	defer end(nil)
	ends, err := d.serve(work)
	if err != nil {
		return err
	}
	watched := d.runner.Watch(work)
	renewed := d.renewer.Run(work)
	if d.settings.Throttle {
		ends = append(ends, d.runner.Control(work, d.control, d.window, d.settings.Service))
	}
	d.Info("agent started", "session", d.runner.Session(), "requests", d.settings.Listen, "control", d.settings.Control)
	select {
	case <-ctx.Done():
		d.drain(work)
	case err = <-renewed:
		d.Warn("session over", "err", err)
		d.runner.EvictAll(work, spar.ReasonFenced)
	}
	end(nil)
	if ctx.Err() != nil {
		<-renewed
	}
	<-watched
	for _, e := range ends {
		err = errors.CombineErrors(err, <-e)
	}
	d.Info("agent ended", "session", d.runner.Session())
	return err
}

func (d *daemon) serve(ctx context.Context) ([]<-chan error, error) {
	requests, err := net.Listen("tcp", d.settings.Listen)
	if err != nil {
		return nil, err
	}
	control, err := net.Listen("tcp", d.settings.Control)
	if err != nil {
		return nil, errors.CombineErrors(err, requests.Close())
	}
	admin, err := net.Listen("tcp", d.settings.Admin)
	if err != nil {
		return nil, errors.CombineErrors(err, errors.CombineErrors(requests.Close(), control.Close()))
	}
	m := http.NewServeMux()
	m.Handle(wire.NewAgentHandler(d.ctrl))
	r := router.New()
	common.AddAdminRoutes(r, d.Health, d.base.Reporter)
	return []<-chan error{
		common.ServeFastHTTP(ctx, requests, d.relay.Handle, hops.MaxBodyBytes),
		common.ServeRPC(ctx, control, m),
		common.ServeFastHTTP(ctx, admin, r.Handler, common.MaxAdminBodyBytes),
	}, nil
}

// drain announces that the agent leaves, evicts its tasks, and waits until it
// holds nothing.
func (d *daemon) drain(ctx context.Context) {
	d.Info("stopping by plan")
	d.Health.SetReady(false)
	d.runner.Leave()
	d.renewer.Kick()
	announced := time.Now()
	d.runner.EvictAll(ctx, spar.ReasonLeaving)
	limit := announced.Add(drainTime)
	for time.Now().Before(limit) {
		reported := d.renewer.Report(ctx)
		if reported && d.relay.InFlight() == 0 && time.Since(announced) > learnTime {
			return
		}
		time.Sleep(drainPoll)
	}
	d.Warn("stop took too long", "requests", d.relay.InFlight())
}
