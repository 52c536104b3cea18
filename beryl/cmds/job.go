package cmds

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"
)

type jobRequest struct {
	Job   string `json:"job"`
	Kind  string `json:"kind"`
	Tasks uint   `json:"tasks,omitempty"`
	RunMS int64  `json:"run_ms,omitempty"`
	Size  *size  `json:"size,omitempty"`
}

type size struct {
	CPUMilli     int64 `json:"cpu_milli"`
	MemoryMB     int64 `json:"memory_mb"`
	Accelerators int64 `json:"accelerators"`
}

type submission struct {
	Job       string `json:"job"`
	Duplicate bool   `json:"duplicate"`
}

type job struct {
	Job       string `json:"job"`
	Kind      string `json:"kind"`
	Team      string `json:"team"`
	Cancelled bool   `json:"cancelled"`
	Ended     bool   `json:"ended"`
	Done      int    `json:"done"`
	Tasks     []task `json:"tasks"`
}

type task struct {
	Index      int    `json:"index"`
	Phase      string `json:"phase"`
	Attempt    uint32 `json:"attempt"`
	Worker     string `json:"worker"`
	Checkpoint string `json:"checkpoint"`
	ProgressMS int64  `json:"progress_ms"`
	Reason     string `json:"reason"`
}

func (r *Runner) jobSubmit(ctx context.Context, args []string) error {
	flags := flag.NewFlagSet("beryl job submit", flag.ContinueOnError)
	var q jobRequest
	var s size
	flags.StringVar(&q.Job, "job", "", "`name` of the job; a second submission of it is the same job")
	flags.StringVar(&q.Kind, "kind", "", "`kind` of job from the configuration")
	flags.UintVar(&q.Tasks, "tasks", 0, "number of `tasks` (0: that of the kind)")
	flags.Int64Var(&q.RunMS, "run-ms", 0, "expected run time of a task in `ms` (0: that of the kind)")
	flags.Int64Var(&s.CPUMilli, "cpu-milli", 0, "processors of a task in thousandths (0: size of the kind)")
	flags.Int64Var(&s.MemoryMB, "memory-mb", 0, "memory of a task in MiB")
	if err := r.parse(flags, args); err != nil {
		return err
	}
	if q.Job == "" || q.Kind == "" {
		return errors.Mark(errors.New("-job and -kind must be given"), ErrUsage)
	}
	if s.CPUMilli > 0 || s.MemoryMB > 0 {
		q.Size = &s
	}
	body, err := json.Marshal(q)
	if err != nil {
		return err
	}
	a, err := anyEntry[submission](ctx, r, http.MethodPost, "/v1/jobs", body)
	if err != nil {
		return errors.Wrap(err, "job not accepted")
	}
	if a.Duplicate {
		fmt.Fprintf(r.Out, "job %s was accepted before; nothing is done twice\n", a.Job)
		return nil
	}
	fmt.Fprintf(r.Out, "job %s accepted\n", a.Job)
	return nil
}

func (r *Runner) jobShow(ctx context.Context, args []string) error {
	name, err := singleArg(args, "a job")
	if err != nil {
		return err
	}
	j, err := anyEntry[job](ctx, r, http.MethodGet, "/v1/jobs/"+url.PathEscape(name), nil)
	if err != nil {
		if answered, batchErr := r.showBatchJob(ctx, name); answered {
			return batchErr
		}
		return err
	}
	r.printJob(j)
	for _, t := range j.Tasks {
		fmt.Fprintf(r.Out, "  %d: %s, attempt %d", t.Index, t.Phase, t.Attempt)
		if t.Worker != "" {
			fmt.Fprintf(r.Out, " on %s", t.Worker)
		}
		if t.ProgressMS > 0 {
			fmt.Fprintf(r.Out, ", %d ms saved", t.ProgressMS)
		}
		if t.Reason != "" {
			fmt.Fprintf(r.Out, ": %s", t.Reason)
		}
		fmt.Fprintln(r.Out)
	}
	return nil
}

func (r *Runner) printJob(j job) {
	state := "open"
	if j.Ended {
		state = "ended"
	}
	if j.Cancelled {
		state += ", cancelled"
	}
	fmt.Fprintf(r.Out, "job %s of team %s, kind %s: %s, %d tasks done\n", j.Job, j.Team, j.Kind, state, j.Done)
}

func (r *Runner) jobList(ctx context.Context, args []string) error {
	if len(args) > 0 {
		return errors.Mark(errors.New("takes no argument"), ErrUsage)
	}
	jobs, err := anyEntry[[]job](ctx, r, http.MethodGet, "/v1/jobs", nil)
	if err != nil {
		return err
	}
	for _, j := range jobs {
		r.printJob(j)
	}
	return nil
}

func (r *Runner) jobCancel(ctx context.Context, args []string) error {
	name, err := singleArg(args, "a job")
	if err != nil {
		return err
	}
	j, err := anyEntry[job](ctx, r, http.MethodPost, "/v1/jobs/"+url.PathEscape(name)+"/cancel", nil)
	if err != nil {
		return err
	}
	r.printJob(j)
	return nil
}
