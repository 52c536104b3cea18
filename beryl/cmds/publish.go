package cmds

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/user"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/fleet"
	"github.com/berylspar/spar/tail"
	"github.com/berylspar/spar/wire"
	"github.com/cockroachdb/errors"
)

// Timeouts and poll interval of a publication.
const (
	// appendTimeout bounds the time until an appended configuration is read back
	// from the log.
	appendTimeout = 30 * time.Second
	// forceTimeout bounds the time after that until it is in force everywhere. An
	// entry or agent that is down must not block the command.
	forceTimeout      = 15 * time.Second
	forcePollInterval = 100 * time.Millisecond
)

// baseInForce is the value of -base that stands for the revision in force.
const baseInForce = -1

func (r *Runner) check(_ context.Context, args []string) error {
	path, err := singleArg(args, "a file")
	if err != nil {
		return err
	}
	c, err := loadConfiguration(path)
	if err != nil {
		return err
	}
	fmt.Fprintf(r.Out, "%s: good: %d domains, %d services, %d teams, %d kinds\n", path, len(c.Domains), len(c.Services), len(c.Teams), len(c.Kinds))
	return nil
}

func loadConfiguration(path string) (fleet.Configuration, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return fleet.Configuration{}, errors.Mark(err, ErrUsage)
	}
	c, err := fleet.Parse(data)
	return c, errors.Wrapf(err, "%s", path)
}

func (r *Runner) publish(ctx context.Context, args []string) error {
	flags := flag.NewFlagSet("beryl publish", flag.ContinueOnError)
	base := flags.Int64("base", baseInForce, "`revision` that the configuration was made from (-1: the one in force)")
	if err := r.parse(flags, args); err != nil {
		return err
	}
	path, err := singleArg(flags.Args(), "a file")
	if err != nil {
		return err
	}
	c, err := loadConfiguration(path)
	if err != nil {
		return err
	}
	t, stopTail, err := r.tailToHead(ctx)
	if err != nil {
		return err
	}
	defer stopTail()
	if *base == baseInForce {
		*base = t.Config().Revision()
	}
	return r.appendConfiguration(ctx, t, *base, c)
}

// appendConfiguration appends a configuration that was made from the revision
// base to the log, and waits until it is in force. The log refuses it if another
// revision is in force by then.
func (r *Runner) appendConfiguration(ctx context.Context, t *tail.Tail, base int64, c fleet.Configuration) error {
	body, err := c.Print()
	if err != nil {
		return err
	}
	appendCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	out, err := t.Append(appendCtx, &wire.Record{Body: &wire.Record_Configure{Configure: &wire.Configure{Base: base, Body: body, Author: author()}}})
	if err != nil {
		return errors.Wrapf(err, "the log did not confirm revision %d; it may have been taken: see beryl show", base+1)
	}
	switch out.Outcome.Reason() {
	case spar.ReasonNone:
		fmt.Fprintf(r.Out, "revision %d accepted\n", base+1)
		return r.awaitInForce(ctx, base+1)
	case spar.ReasonStaleBase:
		w := t.Config()
		return errors.Newf("not accepted: made from revision %d, but revision %d by %s is in force; make the change again from that one", base, w.Revision(), w.Author())
	default:
		return errors.Newf("not accepted: %s", out.Outcome.Reason())
	}
}

func author() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

func (r *Runner) domainClose(ctx context.Context, args []string) error {
	return r.setDomainClosed(ctx, args, true)
}

func (r *Runner) domainOpen(ctx context.Context, args []string) error {
	return r.setDomainClosed(ctx, args, false)
}

func (r *Runner) setDomainClosed(ctx context.Context, args []string, closed bool) error {
	name, err := singleArg(args, "a failure domain")
	if err != nil {
		return err
	}
	t, stopTail, err := r.tailToHead(ctx)
	if err != nil {
		return err
	}
	defer stopTail()
	f := t.Config()
	if f.Revision() == 0 {
		return errors.New("no configuration was published yet")
	}
	c, err := fleet.Parse(f.Body())
	if err != nil {
		return err
	}
	c, found := c.WithClosed(name, closed)
	if !found {
		return errors.Mark(errors.Newf("%q is not one of the domains of revision %d", name, f.Revision()), ErrUsage)
	}
	return r.appendConfiguration(ctx, t, f.Revision(), c)
}
