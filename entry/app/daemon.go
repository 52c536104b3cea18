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

// Times of the daemon.
const (
	routeEvery = 100 * time.Millisecond
	// routeSilence is the silence after which an agent gets no request.
	routeSilence = 2500 * time.Millisecond
	drainTime    = 10 * time.Second
	drainPoll    = 20 * time.Millisecond
	freshPoll    = 5 * time.Millisecond
)

// parts are what a daemon is made of.
type parts struct {
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
	Watch    *watch.Watch
	Front    *front.Server
	Server   *ctrl.Server
	Admin    *admin.Admin
}

// daemon is a whole entry.
type daemon struct {
	common.Common
	parts parts
}

func newDaemon(p parts) *daemon { return &daemon{Common: p.Base.Common, parts: p} }

// run serves until the context ends, then stops by plan: readiness goes off,
// the balancer gets time to see it, and requests in progress are finished.
func (d *daemon) run(ctx context.Context) error {
	defer d.parts.Base.Close(context.WithoutCancel(ctx))
	work, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	serving, stopServing := context.WithCancel(work)
	defer stopServing()
	ends, err := d.serve(serving)
	if err != nil {
		return err
	}
	d.listenFresh()
	followed := d.parts.Tail.Run(work)
	watchers, stopWatching := context.WithCancel(work)
	defer stopWatching()
	loops := []<-chan error{d.routes(work), d.parts.Peers.Run(watchers), d.parts.Watch.Run(watchers)}
	planned := d.parts.Planner.Run(work)
	err = d.live(ctx, work, followed)
	if ctx.Err() != nil {
		d.drain(work, stopWatching)
	}
	d.Health.SetReady(false)
	stopServing()
	for _, e := range ends {
		err = errors.CombineErrors(err, <-e)
	}
	end()
	<-planned
	for _, e := range loops {
		<-e
	}
	d.Info("entry ended", "session", d.parts.Name)
	return err
}

// live registers, becomes ready, and waits for an end.
func (d *daemon) live(ctx, work context.Context, followed <-chan error) error {
	registered := make(chan error, 1)
	go func() { registered <- d.register(work) }()
	tick := time.NewTicker(routeEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-followed:
			return err
		case err := <-registered:
			if err == nil {
				d.Health.SetReady(true)
				d.Info("entry ready", "session", d.parts.Name, "listen", d.parts.Settings.Listen, "control", d.parts.Settings.Control)
			}
		case <-tick.C:
			if d.parts.View.IsExpelled() {
				d.Warn("expelled by another entry", "session", d.parts.Name)
				return errExpelled
			}
		}
	}
}

func (d *daemon) register(ctx context.Context) error {
	for d.parts.Tail.FreshAt().IsZero() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(freshPoll):
		}
	}
	return d.parts.Peers.Register(ctx)
}

// listenFresh feeds the view with each read that reached the head of the log,
// after what it brought was folded.
func (d *daemon) listenFresh() {
	d.parts.Tail.OnFresh(func(f *fold.State, sent time.Time) {
		d.parts.View.Folded(f, time.Now())
		d.parts.View.Read(sent)
	})
}

func (d *daemon) serve(ctx context.Context) ([]<-chan error, error) {
	callers, err := net.Listen("tcp", d.parts.Settings.Listen)
	if err != nil {
		return nil, err
	}
	control, err := net.Listen("tcp", d.parts.Settings.Control)
	if err != nil {
		return nil, errors.CombineErrors(err, callers.Close())
	}
	operators, err := net.Listen("tcp", d.parts.Settings.Admin)
	if err != nil {
		return nil, errors.CombineErrors(err, errors.CombineErrors(callers.Close(), control.Close()))
	}
	m := http.NewServeMux()
	m.Handle(wire.NewEntryHandler(d.parts.Server))
	o := router.New()
	common.AddAdminRoutes(o, d.Health, d.parts.Base.Reporter)
	d.parts.Admin.AddOperatorRoutes(o)
	return []<-chan error{
		common.ServeFastHTTP(ctx, callers, d.callers(), hops.MaxBodyBytes),
		common.ServeRPC(ctx, control, m),
		common.ServeFastHTTP(ctx, operators, o.Handler, common.MaxAdminBodyBytes),
	}, nil
}

// callers serves requests that name a service, and the jobs of teams.
func (d *daemon) callers() fasthttp.RequestHandler {
	r := router.New()
	d.parts.Admin.AddTeamRoutes(r)
	r.NotFound = d.parts.Front.Handle
	return func(c *fasthttp.RequestCtx) {
		if len(c.Request.Header.Peek(hops.Service)) > 0 {
			d.parts.Front.Handle(c)
			return
		}
		r.Handler(c)
	}
}

// routes rebuilds the routing table.
func (d *daemon) routes(ctx context.Context) <-chan error {
	return common.Every(ctx, routeEvery, func(now time.Time) { d.parts.Router.Update(d.seen(now), now) })
}

func (d *daemon) seen(now time.Time) []route.Announcement {
	c := d.parts.Rules.Load()
	var out []route.Announcement
	for _, a := range d.parts.Table.All(now) {
		s := a.State()
		if !s.GetReady() || s.GetLeaving() || now.Sub(a.Heard()) > routeSilence || !c.IsOpen(s.GetDomain()) {
			continue
		}
		out = append(out, route.Announcement{Worker: s.GetWorker(), Address: s.GetRequestAddress(), Domain: s.GetDomain(), Service: s.GetService(), Load: s.GetLoad()})
	}
	return out
}

// drain stops by plan.
func (d *daemon) drain(ctx context.Context, stopWatching context.CancelFunc) {
	d.Info("stopping by plan")
	d.Health.SetReady(false)
	d.parts.Planner.Leave()
	d.parts.Server.Leave()
	stopWatching()
	limit, cancel := context.WithTimeout(ctx, drainTime)
	defer cancel()
	d.parts.Peers.Goodbye(limit)
	time.Sleep(time.Duration(d.parts.Settings.GraceMS) * time.Millisecond)
	for d.parts.Front.InFlight() > 0 && limit.Err() == nil {
		time.Sleep(drainPoll)
	}
	d.parts.Front.AwaitOutcomes(limit)
}
