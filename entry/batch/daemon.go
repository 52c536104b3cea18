// Package batch builds and runs the entry that serves batch work on a platform
// with a partitioned log.
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
	"github.com/berylspar/spar/guard"
	"github.com/berylspar/spar/link"
	"github.com/berylspar/spar/platform"
	"github.com/berylspar/spar/track"
	"github.com/cockroachdb/errors"
	"github.com/fasthttp/router"
	"go.uber.org/dig"
)

// directoryReadWait bounds how long a read waits for a new address of the owner
// or of an entry.
const directoryReadWait = 3 * time.Second

// Main runs the program and returns its exit code.
func Main(args []string, out, errs io.Writer) int {
	return common.Main(common.Program[Settings]{
		Name: "entry batch", About: "takes jobs from callers and plans them",
		Defaults: DefaultSettings(), Check: check, Run: run,
	}, args, out, errs)
}

// listeners holds the listeners of an entry.
type listeners struct {
	callers, ready, agents net.Listener
}

func listen(s Settings) (*listeners, error) {
	var l listeners
	for _, a := range []struct {
		field, address string
		into           *net.Listener
	}{
		{"listen", s.Listen, &l.callers}, {"ready", s.Ready, &l.ready},
		{"agents", s.Agents, &l.agents},
	} {
		listener, err := net.Listen("tcp4", a.address)
		if err != nil {
			return nil, errors.Wrapf(err, "%s: %q", a.field, a.address)
		}
		*a.into = listener
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
		func(c common.Common, st spar.Store) *config.Watcher {
			return config.NewWatcher(c, st, platform.OperatorTopic, decodeChange)
		},
		func(c common.Common, st spar.Store) *track.Directory {
			return track.NewDirectory(st, directoryReadWait, func(err error) { c.Warn("could not read the addresses of the owner and the entries", "err", err) })
		},
		func(c *platform.Client) spar.Adviser { return newAdviser(c, s.Adviser) },
		func(c common.Common, st spar.Store, ad spar.Adviser, w *config.Watcher, l *listeners, d *track.Directory) *owner.Candidate {
			o := owner.NewCandidate(c, s.owner(), st, ad, w, newMemberName(s.Name), link.EntryRecord{AgentAddress: cmp.Or(s.ReachAgents, s.Agents), PeerAddress: s.Admin}, c.Guard.Listen(l.agents, guard.Agents), clock.Now, owner.NewHTTPPeers())
			o.Follow(d)
			return o
		},
		owner.NewClient,
		func(c *owner.Client) jobapi.Jobs { return c },
		func() jobapi.Format {
			return jobapi.Format{DecodeJob: platform.DecodeJob, EncodeState: platform.EncodeJobState, EncodeQueueLength: platform.EncodeQueueLength, TimeoutHeader: platform.CallerTimeoutHeader, HasAdviser: s.Adviser != ""}
		},
		jobapi.NewServer,
		func(p components) *daemon { return &daemon{Common: p.Base.Common, components: p} },
	)
}

func decodeChange(r spar.Record) (config.Change, error) {
	c, err := platform.DecodeOperatorChange(r)
	return config.Change(c), err
}

// newAdviser returns the adviser, or nil if no address is set.
func newAdviser(c *platform.Client, address string) spar.Adviser {
	if address == "" {
		return nil
	}
	return platform.NewAdviser(c, address)
}

// newMemberName appends random digits to the name of the instance, so that each
// process has a name of its own, also after a restart.
func newMemberName(name string) string {
	var b [6]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "random source"))
	}
	return name + "-" + hex.EncodeToString(b[:])
}

// components holds the components of a daemon, filled in by dependency
// injection.
type components struct {
	dig.In
	Base      *common.Base
	Settings  Settings
	Listeners *listeners
	Config    *config.Watcher
	Directory *track.Directory
	Candidate *owner.Candidate
	Server    *jobapi.Server
}

// daemon is a fully assembled entry.
type daemon struct {
	common.Common
	components components
}

// run serves until the context ends and then shuts down in order: the shard is
// given up at once, the balancer gets time to send callers elsewhere, and
// requests in progress are finished.
func (d *daemon) run(ctx context.Context) error {
	p := d.components
	defer p.Base.Close(context.WithoutCancel(ctx))
	serveCtx, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	d.Info("entry starts", "name", p.Settings.Name, "domain", p.Settings.Domain, "listen", p.Settings.Listen)
	// A process that takes part in the election holds its admin address: when another
	// one listens there, this one is over and grants no more leases.
	metrics, err := common.ServeAdmin(serveCtx, p.Settings.Admin, p.Base, func(r *router.Router) {
		p.Candidate.AddRoutes(r)
		p.Server.AddRoutes(serveCtx, r)
	}, p.Candidate.MaxRequestBytes())
	if err != nil {
		return err
	}
	candidateDone := p.Candidate.Run(ctx)
	ends := []<-chan error{
		p.Config.Run(serveCtx), p.Directory.Run(serveCtx), metrics,
		p.Server.Serve(serveCtx, p.Listeners.callers), p.Server.ServeReady(serveCtx, p.Listeners.ready),
	}
	d.AwaitStop(ctx)
	d.Info("entry stops", "grace", p.Settings.grace())
	p.Server.Drain()
	if err := <-candidateDone; err != nil {
		d.Warn("candidate stopped with an error", "err", err)
	}
	track.Pause(serveCtx, p.Settings.grace())
	stopServing()
	d.AwaitShutdown(ends)
	d.Info("entry has stopped")
	return nil
}
