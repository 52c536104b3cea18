// Package app parses the command line and runs one command.
package app

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/berylspar/spar/beryl/cmds"
	"github.com/berylspar/spar/common"
	"github.com/berylspar/spar/conf"
	"github.com/cockroachdb/errors"
	"go.uber.org/dig"
)

// Settings are the settings of the command line.
type Settings struct {
	// Platform is the base address of the log.
	Platform string `json:"platform" jsonschema:"minLength=1,description=base address of the log"`
	// Entries are the operators' addresses of the entries.
	Entries []string `json:"entries" jsonschema:"description=operators' addresses of the entries"`
	// TeamKey is the secret that authenticates the team to the entries.
	TeamKey string `json:"team_key" jsonschema:"description=secret of the team that submits and cancels jobs"`
}

// DefaultSettings returns the settings for a local trial deployment.
func DefaultSettings() Settings {
	return Settings{Platform: "http://127.0.0.1:7000", Entries: []string{"127.0.0.1:9300"}}
}

// Main parses the command line, runs a command and returns the exit code.
func Main(args []string, out, errs io.Writer) int {
	flags := flag.NewFlagSet("beryl", flag.ContinueOnError)
	flags.SetOutput(errs)
	path := flags.String("settings", "", "JSON `file` with settings; what it leaves out keeps its default")
	platform := flags.String("platform", "", "base `address` of the log")
	entries := flags.String("entries", "", "operators' `addresses` of the entries, parted by commas")
	printDefaults := flags.Bool("print-default-config", false, "print the default settings and end")
	flags.Usage = func() { usage(flags, errs) }
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return common.ExitDone
		}
		return common.ExitUsage
	}
	if *printDefaults {
		out.Write(conf.Format(DefaultSettings()))
		return common.ExitDone
	}
	s, err := conf.Load(*path, DefaultSettings())
	if err != nil {
		fmt.Fprintf(errs, "beryl: settings: %v\n", err)
		return common.ExitUsage
	}
	if *platform != "" {
		s.Platform = *platform
	}
	if *entries != "" {
		s.Entries = strings.Split(*entries, ",")
	}
	return run(flags, s, out, errs)
}

func run(flags *flag.FlagSet, s Settings, out, errs io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	c := dig.New()
	err := errors.CombineErrors(
		c.Provide(func() cmds.Target { return cmds.Target{Platform: s.Platform, Entries: s.Entries, TeamKey: s.TeamKey} }),
		errors.CombineErrors(
			c.Provide(func() cmds.Streams { return cmds.Streams{In: os.Stdin, Out: out, Errs: errs} }),
			c.Provide(cmds.NewRunner)))
	if err == nil {
		err = c.Invoke(func(r *cmds.Runner) error { return r.Run(ctx, flags.Args()) })
	}
	err = dig.RootCause(err)
	switch {
	case err == nil:
		return common.ExitDone
	case errors.Is(err, cmds.ErrUsage):
		fmt.Fprintf(errs, "beryl: %v\n", err)
		return common.ExitUsage
	case errors.Is(err, conf.ErrInvalid):
		fmt.Fprintf(errs, "beryl: %v\n", err)
		return common.ExitUsage
	}
	fmt.Fprintf(errs, "beryl: %v\n", err)
	return common.ExitFailed
}

func usage(flags *flag.FlagSet, errs io.Writer) {
	fmt.Fprint(errs, "beryl checks and publishes the configuration, watches, and explains.\n\nUsage: beryl [flags] COMMAND\n\nCommands:\n")
	fmt.Fprint(errs, cmds.Help())
	fmt.Fprint(errs, "\nExit codes: 0 done, 1 failed or refused, 2 wrong use or a bad setting.\n\nFlags:\n")
	flags.PrintDefaults()
}
