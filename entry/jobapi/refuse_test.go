package jobapi

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/admit"
	"github.com/berylspar/spar/entry/owner"
	"github.com/berylspar/spar/platform"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// fakeJobs answers writes in order, the last one again and again.
type fakeJobs struct {
	Jobs
	tried   owner.TryOutcome
	verdict admit.Verdict
	results []error
	writes  int
}

func (f *fakeJobs) Tried(string) owner.TryOutcome { return f.tried }

func (f *fakeJobs) Admit(context.Context, *spar.Job, time.Duration) admit.Verdict { return f.verdict }

func (f *fakeJobs) ReturnIn(string, spar.Queue, time.Duration) time.Duration { return 2 * time.Second }

func (f *fakeJobs) Submit(context.Context, spar.Job) error {
	f.writes++
	return f.results[min(f.writes, len(f.results))-1]
}

var (
	errRefused = errors.Mark(errors.New("busy"), spar.ErrRefused)
	errUnknown = errors.Mark(errors.New("time-out"), spar.ErrUnknown)
	// errNoMemory is the result if no try can have been stored, and errNoMemoryInDoubt if
	// one may have been.
	errNoMemory        = errors.Mark(errors.Mark(errors.New("full"), owner.ErrNoRoom), spar.ErrRefused)
	errNoMemoryInDoubt = errors.Mark(errors.Mark(errors.New("full"), owner.ErrNoRoom), spar.ErrUnknown)
)

// A caller is refused, after a time that tells it when to come back, only if no try of
// its job can have been stored; it gets its answer before its time is over.
func TestAnswerToASubmission(t *testing.T) {
	hopeless := admit.Verdict{Reason: admit.Hopeless, Return: 5 * time.Second}
	for name, c := range map[string]struct {
		jobs     fakeJobs
		patience string
		code     int
		// writes is how many were made, or -1 for as many as the time allows.
		writes     int
		retryAfter string
		within     time.Duration
	}{
		"stored":                                  {fakeJobs{results: []error{nil}}, "3000", 200, 1, "", time.Millisecond},
		"store refuses":                           {fakeJobs{results: []error{errRefused}}, "3000", 503, 1, "2", time.Millisecond},
		"no room in time":                         {fakeJobs{verdict: hopeless, results: []error{nil}}, "3000", 503, 0, "5", time.Millisecond},
		"no memory":                               {fakeJobs{results: []error{errNoMemory}}, "3000", 503, 1, "2", time.Millisecond},
		"no memory, a try elsewhere":              {fakeJobs{results: []error{errNoMemoryInDoubt}}, "3000", 504, 1, "", time.Millisecond},
		"no answer, then no memory":               {fakeJobs{results: []error{errUnknown, errNoMemory}}, "3000", 504, 2, "", time.Second},
		"repeat of a stored job, store away":      {fakeJobs{tried: owner.Stored, results: []error{errRefused}}, "3000", 200, 0, "", time.Millisecond},
		"repeat of a stored job, no room":         {fakeJobs{tried: owner.Stored, verdict: hopeless}, "3000", 200, 0, "", time.Millisecond},
		"repeat of one in doubt, no room":         {fakeJobs{tried: owner.InDoubt, verdict: hopeless, results: []error{nil}}, "3000", 200, 1, "", time.Millisecond},
		"repeat of one in doubt, store away":      {fakeJobs{tried: owner.InDoubt, results: []error{errRefused}}, "500", 504, -1, "", 450 * time.Millisecond},
		"no answer, then refused":                 {fakeJobs{results: []error{errUnknown, errRefused}}, "500", 504, -1, "", 450 * time.Millisecond},
		"no answer, then stored":                  {fakeJobs{results: []error{errUnknown, nil}}, "3000", 200, 2, "", time.Second},
		"no answer for a caller with little time": {fakeJobs{results: []error{errUnknown}}, "100", 504, 3, "", 90 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				jobs := c.jobs
				s, _ := newTestServer(t)
				s.jobs = &jobs
				var rc fasthttp.RequestCtx
				rc.Request.Header.SetMethod(fasthttp.MethodPost)
				rc.Request.Header.Set(platform.CallerTimeoutHeader, c.patience)
				rc.Request.SetRequestURI("http://desk.example/q/5c0e7a21d94b36f8")
				rc.Request.SetBodyString(`{"steps":[{"count":1}]}`)
				begun := time.Now()
				s.handle(context.Background(), &rc)
				if took := time.Since(begun); took > c.within {
					t.Errorf("answered after %s", took)
				}
				if code := rc.Response.StatusCode(); code != c.code || c.writes >= 0 && jobs.writes != c.writes {
					t.Errorf("status %d after %d writes, want %d after %d", code, jobs.writes, c.code, c.writes)
				}
				if got := string(rc.Response.Header.Peek(fasthttp.HeaderRetryAfter)); got != c.retryAfter {
					t.Errorf("return after %q s, want %q", got, c.retryAfter)
				}
			})
		})
	}
}
