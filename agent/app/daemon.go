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
	"github.com/berylspar/spar/guard"
	"github.com/berylspar/spar/hops"
	"github.com/berylspar/spar/wire"
	"github.com/cockroachdb/errors"
	"github.com/fasthttp/router"
)

// Time limits of a graceful shutdown.
const (
	// announceTime is how long entries may take to learn that the agent is
	// leaving. Until then it refuses their requests instead of closing its
	// listener.
	announceTime = 1500 * time.Millisecond
	// drainTimeout bounds how long the agent waits for its requests to finish
	// and its reports to be folded.
	drainTimeout      = 10 * time.Second
	drainPollInterval = 20 * time.Millisecond
)

// daemon holds the components of an agent.
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

func newDaemon(b *common.Base, s Settings, r *tasks.Runner, rl *relay.Relay, c *ctrl.Server, n *renew.Renewer, ctl *colo.Controller, w *colo.Window) *daemon {
	r.SetAvoidsKind(func(kind string) bool { return slices.Contains(ctl.Scores().KindsToAvoid(), kind) })
	if s.Throttle {
		r.SetInitialCap(ctl.InitialCap)
	}
	return &daemon{Common: b.Common, base: b, settings: s, runner: r, relay: rl, ctrl: c, renewer: n, control: ctl, window: w}
}

// run serves until the context ends and then shuts down gracefully: it accepts no
// new work, checkpoints its tasks, and finishes the requests in flight. If the
// session is fenced, it evicts all tasks and returns the error.
func (d *daemon) run(ctx context.Context) error {
	defer d.base.Close(context.WithoutCancel(ctx))
	sessionCtx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	defer cancel(nil)
	done, err := d.serve(sessionCtx)
	if err != nil {
		return err
	}
	watched := d.runner.WatchTasks(sessionCtx)
	renewed := d.renewer.Run(sessionCtx)
	if d.settings.Throttle {
		done = append(done, d.runner.ControlColocation(sessionCtx, d.control, d.window, d.settings.Service))
	}
	d.Info("agent started", "session", d.runner.Session(), "requests", d.settings.Listen, "control", d.settings.Control)
	select {
	case <-ctx.Done():
		d.drain(sessionCtx)
	case err = <-renewed:
		d.Warn("session ended", "err", err)
		d.runner.EvictAll(sessionCtx, spar.ReasonFenced)
	}
	cancel(nil)
	if ctx.Err() != nil {
		<-renewed
	}
	<-watched
	for _, e := range done {
		err = errors.CombineErrors(err, <-e)
	}
	d.Info("agent stopped", "session", d.runner.Session())
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
		d.ServeFastHTTP(ctx, requests, guard.Callers, d.relay.Handle, hops.MaxBodyBytes),
		d.ServeRPC(ctx, control, m, hops.MaxBodyBytes),
		d.ServeFastHTTP(ctx, admin, guard.Operators, r.Handler, common.MaxAdminBodyBytes),
	}, nil
}

// drain announces that the agent is leaving, evicts its tasks, and waits until no
// request is in flight and no report is pending, or until drainTimeout.
func (d *daemon) drain(ctx context.Context) {
	d.Info("shutting down")
	d.Health.SetReady(false)
	d.runner.SetLeaving()
	d.renewer.RenewNow()
	announced := time.Now()
	d.runner.EvictAll(ctx, spar.ReasonLeaving)
	limit := announced.Add(drainTimeout)
	for time.Now().Before(limit) {
		reported := d.renewer.SendReport(ctx)
		if reported && d.relay.Pending() == 0 && time.Since(announced) > announceTime {
			return
		}
		time.Sleep(drainPollInterval)
	}
	d.Warn("shutdown timed out", "requests", d.relay.Pending())
}
