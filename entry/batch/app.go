// Package batch builds the entry that serves batch work on a platform with a
// partitioned log, and runs it.
package batch

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net"
	"os/signal"
	"syscall"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/clock"
	"github.com/berylspar/spar/common"
	"github.com/berylspar/spar/entry/config"
	"github.com/berylspar/spar/entry/jobapi"
	"github.com/berylspar/spar/entry/owner"
	"github.com/berylspar/spar/link"
	"github.com/berylspar/spar/platform"
	"github.com/berylspar/spar/track"
	"github.com/cockroachdb/errors"
	"go.uber.org/dig"
)

// placeWait bounds how long a read for a new owner waits.
const placeWait = 3 * time.Second

// Main runs the program and returns its exit code.
func Main(args []string, out, errs io.Writer) int {
	return common.Main(common.Program[Settings]{
		Name: "entry batch", About: "takes jobs from callers and plans them",
		Defaults: DefaultSettings(), Check: check, Run: run,
	}, args, out, errs)
}

// listeners are the addresses of an entry.
type listeners struct {
	front, ready, agents net.Listener
}

func listen(s Settings) (*listeners, error) {
	var l listeners
	for _, a := range []struct {
		field, address string
		into           *net.Listener
	}{
		{"listen", s.Listen, &l.front}, {"ready", s.Ready, &l.ready},
		{"agents", s.Agents, &l.agents},
	} {
		n, err := net.Listen("tcp4", a.address)
		if err != nil {
			return nil, errors.Wrapf(err, "%s: %q", a.field, a.address)
		}
		*a.into = n
	}
	return &l, nil
}

func run(ctx context.Context, s Settings, out, _ io.Writer) error {
	lines := common.NewAsyncLogWriter(out, common.MaxLogLinesPerSecond)
	defer lines.Close()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return common.Build(func(d *daemon) error { return d.run(ctx) },
		func() Settings { return s },
		func() (*common.Base, error) { return common.NewBase(ctx, s.Settings, "entry", s.Name, lines, lines) },
		func(b *common.Base) common.Common { return b.Common },
		platform.NewClient,
		func(c *platform.Client) spar.Store { return platform.NewStore(c, s.Store) },
		func() (*listeners, error) { return listen(s) },
		func(c common.Common, st spar.Store) *config.Watch {
			return config.NewWatch(c, st, platform.OperatorTopic, decodeChange)
		},
		func(c common.Common, st spar.Store) *track.Owner {
			return track.NewOwner(st, placeWait, func(err error) { c.Warn("owner's place not readable", "err", err) })
		},
		func(c *platform.Client) spar.Adviser { return newAdviser(c, s.Adviser) },
		func(c common.Common, st spar.Store, ad spar.Adviser, w *config.Watch, l *listeners) *owner.Owner {
			return owner.NewOwner(c, s.Owner, st, ad, w, newMember(s.Name), link.Record{Agents: cmp.Or(s.ReachAgents, s.Agents), Peers: s.Admin}, l.agents, clock.Now)
		},
		owner.NewAsker,
		func(a *owner.Asker) jobapi.Jobs { return a },
		func() jobapi.Format {
			return jobapi.Format{Job: platform.DecodeJob, State: platform.State, Waiting: platform.Waiting, PatienceHeader: platform.PatienceHeader, Advised: s.Adviser != ""}
		},
		jobapi.NewServer,
		func(p parts) *daemon { return &daemon{Common: p.Base.Common, parts: p} },
	)
}

func decodeChange(r spar.Record) (config.Change, error) {
	c, err := platform.DecodeChange(r)
	return config.Change(c), err
}

// newAdviser returns the adviser, or nil where none is set.
func newAdviser(c *platform.Client, address string) spar.Adviser {
	if address == "" {
		return nil
	}
	return platform.NewAdviser(c, address)
}

// newMember returns a name that no other process has, nor a later life of this
// one.
func newMember(name string) string {
	var b [6]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "random source"))
	}
	return name + "-" + hex.EncodeToString(b[:])
}

// parts are what a daemon is made of.
type parts struct {
	dig.In
	Base      *common.Base
	Settings  Settings
	Listeners *listeners
	Config    *config.Watch
	Place     *track.Owner
	Owner     *owner.Owner
	Server    *jobapi.Server
}

// daemon is a whole entry.
type daemon struct {
	common.Common
	parts parts
}

// run serves until the context ends, then stops by plan: the shard is given up
// at once, the balancer gets time to send callers elsewhere, and requests in
// progress are finished.
func (d *daemon) run(ctx context.Context) error {
	p := d.parts
	defer p.Base.Close(context.WithoutCancel(ctx))
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	d.Info("entry starts", "name", p.Settings.Name, "domain", p.Settings.Domain, "listen", p.Settings.Listen)
	owning := p.Owner.Run(ctx)
	metrics, err := common.ServeAdmin(serving, p.Settings.Admin, p.Base, p.Owner.Routes)
	if err != nil {
		return err
	}
	ends := []<-chan error{
		p.Config.Run(serving), p.Place.Run(serving), metrics,
		p.Server.Serve(serving, p.Listeners.front), p.Server.ServeReady(serving, p.Listeners.ready),
	}
	d.AwaitStop(ctx)
	d.Info("entry stops", "grace", p.Settings.grace())
	p.Server.Stop()
	if err := <-owning; err != nil {
		d.Warn("shard not given up", "err", err)
	}
	track.Pause(serving, p.Settings.grace())
	stopServing()
	d.AwaitShutdown(ends)
	d.Info("entry has stopped")
	return nil
}
