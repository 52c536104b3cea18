// Package batch assembles and runs the agent that executes batch work on a
// worker of the platform.
package batch

import (
	"context"
	"io"
	"net"
	"os/signal"
	"syscall"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/agent/exec"
	"github.com/berylspar/spar/clock"
	"github.com/berylspar/spar/common"
	"github.com/berylspar/spar/guard"
	"github.com/berylspar/spar/platform"
	"github.com/cockroachdb/errors"
	"github.com/fasthttp/router"
	"go.uber.org/dig"
)

// maxHeartbeatBytes limits the size of a heartbeat's body.
const maxHeartbeatBytes = 4 << 20

// maxAdminBytes limits the size of an operator's request, which has no body.
const maxAdminBytes = 16 << 10

// Settings holds the settings of an agent for batch work.
type Settings struct {
	common.Settings
	// Name is the name of the instance.
	Name string `json:"name" jsonschema:"minLength=1,maxLength=64,description=name of the instance"`
	// Domain is the failure domain of the instance.
	Domain string `json:"domain" jsonschema:"minLength=1,maxLength=64,description=failure domain of the instance"`
	// Control is the listen address for the worker's heartbeats.
	Control string `json:"control" jsonschema:"minLength=1,description=address that the worker sends heartbeats to"`
	// Store is the address of the platform's store.
	Store string `json:"store" jsonschema:"minLength=1,description=address of the platform's store"`
}

// DefaultSettings returns settings for one instance on a developer's machine.
func DefaultSettings() Settings {
	return Settings{Settings: common.DefaultSettings(), Name: "worker-1", Domain: "domain-1", Control: "127.0.0.1:9100", Store: "127.0.0.1:7000"}
}

// Main runs the program and returns its exit code.
func Main(args []string, out, errs io.Writer) int {
	return common.Main(common.Program[Settings]{
		Name: "agent batch", About: "runs batch work on the worker of its machine",
		Defaults: DefaultSettings(), Run: run,
	}, args, out, errs)
}

func run(ctx context.Context, s Settings, out, _ io.Writer) error {
	lines := common.NewAsyncLogWriter(out, common.MaxLogLinesPerSecond)
	defer lines.Close()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return common.Build(func(d *daemon) error { return d.run(ctx) },
		func() Settings { return s },
		func() (*common.Base, error) { return common.NewBase(ctx, s.Settings, "agent", s.Name, lines, lines) },
		func(b *common.Base) common.Common { return b.Common },
		platform.NewClient,
		func(c *platform.Client) spar.Store { return platform.NewStore(c, s.Store) },
		func(c *platform.Client) spar.Worker { return platform.NewWorker(c) },
		func() exec.HeartbeatFormat {
			return exec.HeartbeatFormat{Path: platform.HeartbeatPath, Decode: decodeHeartbeat}
		},
		exec.NewHeartbeats,
		func(c common.Common, b *exec.Heartbeats, w spar.Worker, st spar.Store) *exec.Executor {
			return exec.NewExecutor(c, s.Name, b, w, st, exec.DialTCP, clock.Now)
		},
		func(p components) *daemon { return &daemon{Common: p.Base.Common, components: p} },
	)
}

func decodeHeartbeat(id string, body []byte) (exec.Heartbeat, error) {
	h, err := platform.DecodeHeartbeat(id, body)
	return exec.Heartbeat{Info: h.Info, Address: h.Address, Seq: h.Seq}, err
}

// components holds the components of a daemon, filled in by dependency
// injection.
type components struct {
	dig.In
	Base       *common.Base
	Settings   Settings
	Heartbeats *exec.Heartbeats
	Executor   *exec.Executor
}

// daemon is a fully assembled agent.
type daemon struct {
	common.Common
	components components
}

// run serves until the context ends. Runs on the worker continue: the next agent
// process takes them over before their lease ends.
func (d *daemon) run(ctx context.Context) error {
	p := d.components
	defer p.Base.Close(context.WithoutCancel(ctx))
	l, err := net.Listen("tcp4", p.Settings.Control)
	if err != nil {
		return errors.Wrapf(err, "listen on control address %q", p.Settings.Control)
	}
	metrics, err := common.ServeAdmin(ctx, p.Settings.Admin, p.Base, nil, maxAdminBytes)
	if err != nil {
		return err
	}
	d.Info("agent starts", "name", p.Settings.Name, "domain", p.Settings.Domain, "control", p.Settings.Control)
	r := router.New()
	p.Heartbeats.Routes(r)
	ends := []<-chan error{p.Executor.Run(ctx), metrics, d.ServeFastHTTP(ctx, l, guard.Checks, d.Recovering(r.Handler), maxHeartbeatBytes)}
	d.AwaitStop(ctx)
	d.Info("agent stops")
	d.AwaitShutdown(ends)
	return nil
}
