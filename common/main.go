package common

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/berylspar/spar/conf"
	"github.com/cockroachdb/errors"
)

// Exit codes of all programs.
const (
	ExitDone   = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// Program is a daemon with settings of type S.
type Program[S any] struct {
	Name     string
	About    string
	Defaults S
	// Check validates constraints across settings; nil means that there are none.
	Check func(S) error
	// Run runs until the context ends.
	Run func(ctx context.Context, s S, out, errs io.Writer) error
}

// Main parses the flags, loads the settings and runs the program. It returns the
// exit code: ExitUsage for an invalid flag or setting, ExitFailed if the run fails.
func Main[S any](p Program[S], args []string, out, errs io.Writer) int {
	flags := flag.NewFlagSet(p.Name, flag.ContinueOnError)
	flags.SetOutput(errs)
	settings := flags.String("settings", "", "JSON `file` with settings; what it leaves out keeps its default")
	var overrides []conf.Override
	flags.Func("set", "`PATH=VALUE` replaces one setting of the file, such as log_level=debug; may be repeated, an empty VALUE replaces nothing", func(v string) error {
		o, err := conf.ParseOverride(v)
		overrides = append(overrides, o)
		return err
	})
	printDefaults := flags.Bool("print-default-config", false, "print the default settings and end")
	schema := flags.Bool("print-schema", false, "print the JSON schema of the settings and end")
	flags.Usage = func() {
		fmt.Fprintf(errs, "%s %s.\n\nUsage: %s [flags]\n\n", p.Name, p.About, p.Name)
		flags.PrintDefaults()
	}
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return ExitDone
		}
		return ExitUsage
	}
	switch {
	case flags.NArg() > 0:
		fmt.Fprintf(errs, "%s: %q: takes no argument\n", p.Name, flags.Arg(0))
		return ExitUsage
	case *printDefaults:
		out.Write(conf.Format(p.Defaults))
		return ExitDone
	case *schema:
		out.Write(conf.Schema[S](p.Name + " settings"))
		return ExitDone
	}
	s, err := conf.Load(*settings, p.Defaults, overrides...)
	if err == nil && p.Check != nil {
		err = p.Check(s)
	}
	if err != nil {
		fmt.Fprintf(errs, "%s: settings: %v\n", p.Name, err)
		return ExitUsage
	}
	if err := p.Run(context.Background(), s, out, errs); err != nil {
		fmt.Fprintf(errs, "%s: %v\n", p.Name, err)
		return ExitFailed
	}
	return ExitDone
}
