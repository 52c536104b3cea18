package cmds

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

type explanation struct {
	Subject string     `json:"subject"`
	Events  []decision `json:"events"`
	Missed  []string   `json:"missed"`
}

type decision struct {
	UnixUS   int64  `json:"unix_us"`
	Source   string `json:"source"`
	Subject  string `json:"subject"`
	Decision string `json:"decision"`
	Reason   string `json:"reason"`
	Detail   string `json:"detail"`
}

func (r *Runner) why(ctx context.Context, args []string) error {
	if len(args) > 1 {
		return r.whyFromLogs(args[0], args[1:])
	}
	subject, err := singleArg(args, "a task, a worker or a request")
	if err != nil {
		return err
	}
	s, err := anyEntry[explanation](ctx, r, http.MethodGet, "/v1/why/"+subject, nil)
	if err != nil {
		return err
	}
	for _, l := range s.Events {
		at := time.UnixMicro(l.UnixUS).UTC().Format("15:04:05.000")
		fmt.Fprintf(r.Out, "%s %-28s %s: %s", at, l.Source, l.Subject, l.Decision)
		if l.Reason != "" {
			fmt.Fprintf(r.Out, " (%s)", l.Reason)
		}
		if l.Detail != "" {
			fmt.Fprintf(r.Out, " %s", l.Detail)
		}
		fmt.Fprintln(r.Out)
	}
	if len(s.Events) == 0 {
		fmt.Fprintf(r.Out, "nobody remembers a decision about %s\n", subject)
	}
	if len(s.Missed) > 0 {
		fmt.Fprintf(r.Out, "not reached: %s\n", strings.Join(s.Missed, ", "))
	}
	return nil
}

type worker struct {
	Worker   string `json:"worker"`
	Domain   string `json:"domain"`
	Revision int64  `json:"revision"`
	Free     size   `json:"free"`
	Total    size   `json:"total"`
	SilentMS int64  `json:"silent_ms"`
	Leaving  bool   `json:"leaving"`
	Suspect  bool   `json:"suspect"`
}

func (r *Runner) workers(ctx context.Context, args []string) error {
	if len(args) > 0 {
		return errors.Mark(errors.New("takes no argument"), ErrUsage)
	}
	known, err := anyEntry[[]worker](ctx, r, http.MethodGet, "/v1/workers", nil)
	if err != nil {
		return err
	}
	for _, w := range known {
		marks := ""
		if w.Leaving {
			marks += " leaving"
		}
		if w.Suspect {
			marks += " fails-tasks"
		}
		fmt.Fprintf(r.Out, "%-20s %-14s revision %-4d free %d of %dm cpu, %d of %d MiB, heard %d ms ago%s\n",
			w.Worker, w.Domain, w.Revision, w.Free.CPUMilli, w.Total.CPUMilli, w.Free.MemoryMB, w.Total.MemoryMB, w.SilentMS, marks)
	}
	return nil
}
