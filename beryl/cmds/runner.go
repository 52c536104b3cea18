// Package cmds holds the commands of beryl.
package cmds

import (
	"context"
	"flag"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrUsage marks errors that are caused by wrong usage of a command.
var ErrUsage = errors.New("wrong use")

// Target holds the addresses of the log and the entries, and the team key that
// is sent with requests.
type Target struct {
	Platform string
	Entries  []string
	TeamKey  string
}

// Streams are the standard streams of a command.
type Streams struct {
	In   io.Reader
	Out  io.Writer
	Errs io.Writer
}

// Runner runs commands.
type Runner struct {
	Streams
	target Target
}

// NewRunner returns a runner whose commands use a target.
func NewRunner(t Target, s Streams) *Runner { return &Runner{Streams: s, target: t} }

// command is one command. Its name may have several words.
type command struct {
	name    string
	args    string
	summary string
	run     func(r *Runner, ctx context.Context, args []string) error
}

func commands() []command {
	return []command{
		{"check", "FILE", "check a configuration and print what is wrong with which field", (*Runner).check},
		{"publish", "[-base N] FILE", "publish a configuration and wait until it is in force", (*Runner).publish},
		{"show", "", "print the revision and the configuration in force, and where", (*Runner).show},
		{"domain close", "NAME", "take a failure domain out; waits until in force", (*Runner).domainClose},
		{"domain open", "NAME", "let a failure domain return; waits until in force", (*Runner).domainOpen},
		{"job submit", "-job NAME -kind KIND [-tasks N] [-run-ms N]", "submit a batch job", (*Runner).jobSubmit},
		{"job show", "NAME", "tell where each task of a job is, and why", (*Runner).jobShow},
		{"job where", "[-json] ID | [-json] -queue NAME FILE | [-json] -host HOST -path PATH [-method METHOD] [-size BYTES] [FILE]", "tell where the tasks of a batch job would go now, and why; sends nothing (- reads standard input)", (*Runner).jobWhere},
		{"job list", "", "list the jobs", (*Runner).jobList},
		{"job cancel", "NAME", "cancel a job", (*Runner).jobCancel},
		{"workers", "", "list the workers that are known", (*Runner).workers},
		{"why", "TASK|WORKER|REQUEST|JOB [LOG ...]", "tell the decisions about it: what the entries remember, or what the logs say (- reads standard input)", (*Runner).why},
	}
}

// Help returns a line for each command.
func Help() string {
	var b strings.Builder
	for _, c := range commands() {
		fmt.Fprintf(&b, "  %-13s %-48s %s\n", c.name, c.args, c.summary)
	}
	return b.String()
}

// Run runs the command that the arguments name.
func (r *Runner) Run(ctx context.Context, args []string) error {
	for _, c := range commands() {
		words := strings.Fields(c.name)
		if len(args) >= len(words) && strings.Join(args[:len(words)], " ") == c.name {
			rest := args[len(words):]
			if slices.Contains(rest, "-h") {
				return r.help(ctx, c, rest)
			}
			return c.run(r, ctx, rest)
		}
	}
	if len(args) == 0 {
		return errors.Mark(errors.New("no command; beryl -h lists them"), ErrUsage)
	}
	return errors.Mark(errors.Newf("%q is not a command; beryl -h lists them", strings.Join(args, " ")), ErrUsage)
}

// help prints the summary of a command, and its flags if it has any.
func (r *Runner) help(ctx context.Context, c command, rest []string) error {
	fmt.Fprintf(r.Out, "beryl %s %s: %s\n", c.name, c.args, c.summary)
	if !strings.Contains(c.args, "-") {
		return nil
	}
	if err := c.run(r, ctx, rest); !errors.Is(err, flag.ErrHelp) {
		return err
	}
	return nil
}

// singleArg returns the only argument of a command. The description names it in
// the error for any other number of arguments.
func singleArg(args []string, description string) (string, error) {
	if len(args) != 1 {
		return "", errors.Mark(errors.Newf("takes one argument, %s, and got %d", description, len(args)), ErrUsage)
	}
	return args[0], nil
}

// parse parses the flags of a command and marks errors with ErrUsage.
func (r *Runner) parse(f *flag.FlagSet, args []string) error {
	f.SetOutput(r.Errs)
	if err := f.Parse(args); err != nil {
		return errors.Mark(err, ErrUsage)
	}
	return nil
}
