package app

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/berylspar/spar/common"
	"github.com/berylspar/spar/entry/admin"
	"github.com/berylspar/spar/entry/agents"
	"github.com/berylspar/spar/entry/ctrl"
	"github.com/berylspar/spar/entry/front"
	"github.com/berylspar/spar/entry/peers"
	"github.com/berylspar/spar/entry/plan"
	"github.com/berylspar/spar/entry/rules"
	"github.com/berylspar/spar/entry/watch"
	"github.com/berylspar/spar/fold"
	"github.com/berylspar/spar/guard"
	"github.com/berylspar/spar/hops"
	"github.com/berylspar/spar/member"
	"github.com/berylspar/spar/route"
	"github.com/berylspar/spar/tail"
	"github.com/berylspar/spar/wire"
	"github.com/cockroachdb/errors"
	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
	"go.uber.org/dig"
)

// Intervals and time limits of the daemon.
const (
	// routeUpdateInterval bounds the delay with which a change of the agents or of
	// the configuration affects routing. It is also the interval of checks whether
	// this entry was expelled.
	routeUpdateInterval = 100 * time.Millisecond
	// routeSilenceLimit is the time since an agent was last heard of after which no
	// more requests are routed to it.
	routeSilenceLimit = 2500 * time.Millisecond
	// drainTimeout bounds the announcement of the departure and the wait for
	// requests in progress, so that a request that never ends can't block the
	// shutdown. The grace time counts towards it.
	drainTimeout = 10 * time.Second
	// drainPollInterval is the interval of checks whether requests are in progress.
	drainPollInterval = 20 * time.Millisecond
	// headPollInterval is the interval of checks whether the tail has reached the
	// head of the log. The entry can't register before, so each check adds to the
	// start time.
	headPollInterval = 5 * time.Millisecond
)

// dependencies are the components of a daemon, injected by dig.
type dependencies struct {
	dig.In
	Base     *common.Base
	Settings Settings
	Name     sessionName
	Tail     *tail.Tail
	View     *member.View
	Table    *agents.Table
	Rules    *rules.Rules
	Router   *route.Router
	Peers    *peers.Peers
	Planner  *plan.Planner
	Watcher  *watch.Watcher
	Front    *front.Server
	Server   *ctrl.Server
	Admin    *admin.Admin
}

// daemon runs the components of an entry.
type daemon struct {
	common.Common
	deps dependencies
}

func newDaemon(p dependencies) *daemon { return &daemon{Common: p.Base.Common, deps: p} }

// run serves until the context ends, then shuts down gracefully: it withdraws
// readiness, gives the balancer time to notice that, and finishes the requests
// in progress.
func (d *daemon) run(ctx context.Context) error {
	defer d.deps.Base.Close(context.WithoutCancel(ctx))
	workCtx, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	serving, stopServing := context.WithCancel(workCtx)
	defer stopServing()
	serverEnds, err := d.startServers(serving)
	if err != nil {
		return err
	}
	d.updateViewOnRead()
	tailEnd := d.deps.Tail.Run(workCtx)
	watchers, stopWatching := context.WithCancel(workCtx)
	defer stopWatching()
	loops := []<-chan error{d.updateRoutes(workCtx), d.deps.Peers.Run(watchers), d.deps.Watcher.Run(watchers)}
	plannerEnd := d.deps.Planner.Run(workCtx)
	err = d.registerAndWait(ctx, workCtx, tailEnd)
	if ctx.Err() != nil {
		d.drain(workCtx, stopWatching)
	}
	d.Health.SetReady(false)
	stopServing()
	for _, e := range serverEnds {
		err = errors.CombineErrors(err, <-e)
	}
	stopWork()
	<-plannerEnd
	for _, e := range loops {
		<-e
	}
	d.Info("entry ended", "session", d.deps.Name)
	return err
}

// registerAndWait registers the entry on the log and sets it ready. It returns
// when the context ends, the tail ends or another entry has expelled this one.
func (d *daemon) registerAndWait(ctx, work context.Context, tailEnd <-chan error) error {
	registered := make(chan error, 1)
	go func() { registered <- d.register(work) }()
	tick := time.NewTicker(routeUpdateInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-tailEnd:
			return err
		case err := <-registered:
			if err == nil {
				d.Health.SetReady(true)
				d.Info("entry ready", "session", d.deps.Name, "listen", d.deps.Settings.Listen, "control", d.deps.Settings.Control)
			}
		case <-tick.C:
			if d.deps.View.IsExpelled() {
				d.Warn("expelled by another entry", "session", d.deps.Name)
				return errExpelled
			}
		}
	}
}

// register waits until the tail has reached the head of the log, and registers
// the entry.
func (d *daemon) register(ctx context.Context) error {
	for d.deps.Tail.FreshAt().IsZero() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(headPollInterval):
		}
	}
	return d.deps.Peers.Register(ctx)
}

// updateViewOnRead updates the view after each read that reached the head of the
// log, once its records are folded.
func (d *daemon) updateViewOnRead() {
	d.deps.Tail.OnFresh(func(f *fold.State, sent time.Time) {
		d.deps.View.ApplyState(f, time.Now())
		d.deps.View.RecordRead(sent)
	})
}

func (d *daemon) startServers(ctx context.Context) ([]<-chan error, error) {
	callers, err := net.Listen("tcp", d.deps.Settings.Listen)
	if err != nil {
		return nil, err
	}
	control, err := net.Listen("tcp", d.deps.Settings.Control)
	if err != nil {
		return nil, errors.CombineErrors(err, callers.Close())
	}
	operators, err := net.Listen("tcp", d.deps.Settings.Admin)
	if err != nil {
		return nil, errors.CombineErrors(err, errors.CombineErrors(callers.Close(), control.Close()))
	}
	m := http.NewServeMux()
	m.Handle(wire.NewEntryHandler(d.deps.Server))
	o := router.New()
	common.AddAdminRoutes(o, d.Health, d.deps.Base.Reporter)
	d.deps.Admin.AddOperatorRoutes(o)
	return []<-chan error{
		d.ServeFastHTTP(ctx, callers, guard.Callers, d.callerHandler(), hops.MaxBodyBytes),
		d.ServeRPC(ctx, control, m, hops.MaxBodyBytes),
		d.ServeFastHTTP(ctx, operators, guard.Operators, o.Handler, common.MaxAdminBodyBytes),
	}, nil
}

// callerHandler returns the handler of requests that name a service and of the
// endpoints for jobs of teams.
func (d *daemon) callerHandler() fasthttp.RequestHandler {
	r := router.New()
	d.deps.Admin.AddTeamRoutes(r)
	r.NotFound = d.deps.Front.Handle
	return func(c *fasthttp.RequestCtx) {
		if len(c.Request.Header.Peek(hops.Service)) > 0 {
			d.deps.Front.Handle(c)
			return
		}
		r.Handler(c)
	}
}

// updateRoutes updates the router at an interval of routeUpdateInterval.
func (d *daemon) updateRoutes(ctx context.Context) <-chan error {
	return common.Every(ctx, routeUpdateInterval, func(now time.Time) { d.deps.Router.Update(d.announcements(now), now) })
}

// announcements returns the workers to which requests may be routed: those that
// are ready, not leaving, heard of recently and in an open failure domain.
func (d *daemon) announcements(now time.Time) []route.Announcement {
	c := d.deps.Rules.Load()
	var out []route.Announcement
	for _, a := range d.deps.Table.All(now) {
		s := a.State()
		if !s.GetReady() || s.GetLeaving() || now.Sub(a.LastHeard()) > routeSilenceLimit || !c.IsOpen(s.GetDomain()) {
			continue
		}
		out = append(out, route.Announcement{Worker: s.GetWorker(), Address: s.GetRequestAddress(), Domain: s.GetDomain(), Service: s.GetService(), Load: s.GetLoad()})
	}
	return out
}

// drain withdraws readiness, stops placing tasks, renewing leases and monitoring
// other processes, and announces the departure of the entry. After the grace time
// it waits until the requests in progress have ended and the outcomes of keyed
// requests are on the log, or drainTimeout has passed.
func (d *daemon) drain(ctx context.Context, stopWatching context.CancelFunc) {
	d.Info("shutting down")
	d.Health.SetReady(false)
	d.deps.Planner.StopOffers()
	d.deps.Server.Leave()
	stopWatching()
	drainCtx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	d.deps.Peers.AnnounceDeparture(drainCtx)
	time.Sleep(time.Duration(d.deps.Settings.GraceMS) * time.Millisecond)
	for d.deps.Front.InFlight() > 0 && drainCtx.Err() == nil {
		time.Sleep(drainPollInterval)
	}
	d.deps.Front.AwaitOutcomes(drainCtx)
}
