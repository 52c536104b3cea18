// Package app runs the commands of prove.
package app

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/berylspar/spar/common"
	"github.com/cockroachdb/errors"
)

// Options are the options that all commands share.
type Options struct {
	// Bin is the folder of the built programs.
	Bin string
	// Out is the folder for plots and tables.
	Out string
	// Quick shortens the run of a long command.
	Quick bool
}

type command struct {
	name        string
	description string
	run         func(ctx context.Context, opts Options, out io.Writer) error
}

func commands() []command {
	return []command{
		{"outage", "measure the batch work done while the log is away", outage},
		{"recover", "measure the time until work goes on after a death", measureRecoveries},
		{"slopes", "measure what the parts cost, by size", slopes},
		{"bench", "measure the policy under load against plain baselines", bench},
		{"try", "bring up a small deployment, use it, close a domain and open it again, and report", try},
	}
}

// Main runs the command that the arguments name and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	flags := flag.NewFlagSet("prove", flag.ContinueOnError)
	flags.SetOutput(errOut)
	var opts Options
	flags.StringVar(&opts.Bin, "bin", "bin", "`folder` of the built programs")
	flags.StringVar(&opts.Out, "out", "out", "`folder` for pictures and tables")
	flags.BoolVar(&opts.Quick, "quick", false, "make a short run")
	flags.Usage = func() {
		fmt.Fprint(errOut, "prove brings up a deployment of real processes on this machine and reports.\n\nUsage: prove [flags] COMMAND\n\n")
		for _, c := range commands() {
			fmt.Fprintf(errOut, "  %-8s %s\n", c.name, c.description)
		}
		flags.PrintDefaults()
	}
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return common.ExitDone
		}
		return common.ExitUsage
	}
	for _, c := range commands() {
		if flags.NArg() == 1 && flags.Arg(0) == c.name {
			return run(c, opts, out, errOut)
		}
	}
	flags.Usage()
	return common.ExitUsage
}

func run(c command, opts Options, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := c.run(ctx, opts, out); err != nil {
		fmt.Fprintf(errOut, "prove %s: %v\n", c.name, err)
		return common.ExitFailed
	}
	return common.ExitDone
}
