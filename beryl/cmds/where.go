package cmds

import (
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// whereAnswer is what the entries tell of where a job would go.
type whereAnswer struct {
	Queue struct {
		Name     string  `json:"name"`
		Service  string  `json:"service"`
		Priority int     `json:"priority"`
		Stretch  float64 `json:"stretch"`
	} `json:"queue"`
	Request       string        `json:"request"`
	Configuration int64         `json:"configuration"`
	ConfigAge     time.Duration `json:"configuration_age_ns"`
	Owner         whereOwner    `json:"owner"`
}

type whereOwner struct {
	Known     bool   `json:"known"`
	Ended     string `json:"ended"`
	Failure   string `json:"failure"`
	Admission struct {
		Reason string        `json:"reason"`
		Wait   time.Duration `json:"wait_ns"`
		Return time.Duration `json:"return_ns"`
	} `json:"admission"`
	AdmissionOn bool          `json:"admission_on"`
	LoadAge     time.Duration `json:"load_age_ns"`
	OwnerFor    time.Duration `json:"owner_for_ns"`
	Workers     int           `json:"workers"`
	Plan        wherePlan     `json:"plan"`
}

type wherePlan struct {
	State     string        `json:"state"`
	Objective time.Duration `json:"objective_ns"`
	Path      time.Duration `json:"path_ns"`
	Age       time.Duration `json:"age_ns"`
	JobsAhead int           `json:"jobs_ahead"`
	WorkAhead time.Duration `json:"work_ahead_ns"`
	Steps     []whereStep   `json:"steps"`
}

type whereStep struct {
	Occurrence int   `json:"occurrence"`
	Step       int   `json:"step"`
	Done       int   `json:"done"`
	Running    int   `json:"running"`
	Waiting    int   `json:"waiting"`
	After      []int `json:"after"`
	Starts     []struct {
		Worker string `json:"worker"`
		Tasks  int    `json:"tasks"`
		Pace   int    `json:"pace"`
	} `json:"starts"`
	Held     []string       `json:"held"`
	Excluded map[string]int `json:"excluded"`
	Nearest  string         `json:"nearest"`
	Lacks    size           `json:"lacks"`
}

// jobWhere tells where a job would go now, without submitting it, or what keeps the tasks
// of an accepted one waiting.
func (r *Runner) jobWhere(ctx context.Context, args []string) error {
	flags := flag.NewFlagSet("beryl job where", flag.ContinueOnError)
	queue := flags.String("queue", "", "`name` of the queue that the job would be sent to")
	host := flags.String("host", "", "`host` of the request, in place of -queue")
	path := flags.String("path", "", "`path` of the request, with -host")
	requestMethod := flags.String("method", "", "`method` of a request without a job, with -host")
	bytes := flags.Uint("size", 0, "size of the request's body in `bytes`, with -host and without a job")
	asJSON := flags.Bool("json", false, "print the answer as JSON")
	if err := r.parse(flags, args); err != nil {
		return err
	}
	isNew := *queue != "" || *host != ""
	isRequest := *host != "" && flags.NArg() == 0
	if flags.NArg() != 1 && !isRequest || *queue != "" && *host != "" {
		return errors.Mark(errors.New("want the ID of a job, or -queue or -host and -path with the FILE of a job, or -host, -path and -method of a request"), ErrUsage)
	}
	method, target, body := http.MethodGet, "/where/"+url.PathEscape(flags.Arg(0)), []byte(nil)
	if isRequest {
		method, target = http.MethodPost, "/where?"+url.Values{"host": {*host}, "path": {*path}, "method": {*requestMethod}, "size": {strconv.FormatUint(uint64(*bytes), 10)}}.Encode()
	} else if isNew {
		var err error
		if body, err = r.readJob(flags.Arg(0)); err != nil {
			return err
		}
		method, target = http.MethodPost, "/where?"+url.Values{"queue": {*queue}, "host": {*host}, "path": {*path}}.Encode()
	}
	raw, err := anyEntry[json.RawMessage](ctx, r, method, target, body)
	if err != nil {
		return err
	}
	if *asJSON {
		return r.printIndented(raw)
	}
	var a whereAnswer
	if err := json.Unmarshal(raw, &a); err != nil {
		return errors.Wrap(err, "decode the answer")
	}
	r.printWhere(a)
	return nil
}

// readJob reads a job from a file, or from standard input if its name is "-".
func (r *Runner) readJob(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(r.In)
	}
	return os.ReadFile(name)
}

func (r *Runner) printIndented(raw json.RawMessage) error {
	out, err := json.MarshalIndent(raw, "", "  ")
	if err != nil {
		return errors.Wrap(err, "decode the answer")
	}
	_, err = fmt.Fprintf(r.Out, "%s\n", out)
	return err
}

func (r *Runner) printWhere(a whereAnswer) {
	o := a.Owner
	fmt.Fprintf(r.Out, "queue %s: service %s, priority %d; configuration %d, read %s ago\n", cmp.Or(a.Queue.Name, "not known here"), a.Queue.Service, a.Queue.Priority, a.Configuration, short(a.ConfigAge))
	if a.Request != "" {
		fmt.Fprintf(r.Out, "request: %s\n", a.Request)
		return
	}
	fmt.Fprintf(r.Out, "owner: for %s, %d workers\n", short(o.OwnerFor), o.Workers)
	switch {
	case o.Ended != "":
		fmt.Fprintf(r.Out, "job: %s %s\n", o.Ended, o.Failure)
		return
	case o.Known:
		fmt.Fprintf(r.Out, "job: %s, accepted %s ago; objective %s\n", o.Plan.State, short(o.Plan.Age), short(o.Plan.Objective))
	default:
		r.printAdmission(o)
	}
	fmt.Fprintf(r.Out, "first: %d jobs with %s of work on one processor\n", o.Plan.JobsAhead, short(o.Plan.WorkAhead))
	for _, s := range o.Plan.Steps {
		r.printStep(s)
	}
}

// printAdmission prints the decision about a new job and what it rests on.
func (r *Runner) printAdmission(o whereOwner) {
	verdict := "accepted"
	switch {
	case !o.AdmissionOn:
		verdict = "accepted, as every job is (owner.admission is off)"
	case o.Admission.Return > 0:
		verdict = "refused, to come back in " + short(o.Admission.Return)
	}
	fmt.Fprintf(r.Out, "now: %s; %s, load %s old\n", verdict, o.Admission.Reason, short(o.LoadAge))
	fmt.Fprintf(r.Out, "expected: waits at least %s, takes at least %s after that; objective %s\n", short(o.Admission.Wait), short(o.Plan.Path), short(o.Plan.Objective))
}

func (r *Runner) printStep(s whereStep) {
	fmt.Fprintf(r.Out, "step %d", s.Step)
	if s.Occurrence > 0 {
		fmt.Fprintf(r.Out, " of occurrence %d", s.Occurrence)
	}
	fmt.Fprintf(r.Out, ": %d waiting, %d running, %d done\n", s.Waiting, s.Running, s.Done)
	if len(s.After) > 0 {
		fmt.Fprintf(r.Out, "  after step %s\n", strings.Trim(fmt.Sprint(s.After), "[]"))
		return
	}
	starting := 0
	for _, w := range s.Starts {
		starting += w.Tasks
		fmt.Fprintf(r.Out, "  %d start on %s at %d %% pace\n", w.Tasks, w.Worker, w.Pace)
	}
	for _, h := range s.Held {
		fmt.Fprintf(r.Out, "  held: %s\n", h)
	}
	if s.Excluded == nil {
		return
	}
	fmt.Fprintf(r.Out, "  %d stay waiting; workers: %s\n", s.Waiting-starting, countsOf(s.Excluded))
	if s.Nearest != "" {
		fmt.Fprintf(r.Out, "  next: room on %s, which lacks %d m cpu, %d MiB, %d accelerators\n", s.Nearest, s.Lacks.CPUMilli, s.Lacks.MemoryMB, s.Lacks.Accelerators)
	}
}

// countsOf formats counts by reason, the highest first.
func countsOf(counts map[string]int) string {
	reasons := make([]string, 0, len(counts))
	for reason := range counts {
		reasons = append(reasons, reason)
	}
	slices.SortFunc(reasons, func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), strings.Compare(a, b))
	})
	for i, reason := range reasons {
		reasons[i] = fmt.Sprintf("%d %s", counts[reason], reason)
	}
	return strings.Join(reasons, ", ")
}

// short formats a duration with one decimal of a second.
func short(d time.Duration) string { return d.Round(100 * time.Millisecond).String() }
