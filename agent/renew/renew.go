// Package renew keeps the agent's lease: it renews at its home entry, tries the
// others when that one fails, and takes in what the answers bring.
package renew

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/berylspar/spar"
	"github.com/berylspar/spar/agent/tasks"
	"github.com/berylspar/spar/common"
	"github.com/berylspar/spar/fleet"
	"github.com/berylspar/spar/lease"
	"github.com/berylspar/spar/rendez"
	"github.com/berylspar/spar/wire"
	"github.com/cockroachdb/errors"
)

// ErrFenced says that the session was given up; the agent must start again
// under a new one.
var ErrFenced = errors.New("session fenced")

// Times of the loop.
const (
	renewTimeout   = 400 * time.Millisecond
	reportTimeout  = 5 * time.Second
	reportInterval = 50 * time.Millisecond
)

// Renewer renews the lease of one session.
type Renewer struct {
	common.Common
	runner            *tasks.Runner
	lease             *lease.Holder
	worker            string
	interval          time.Duration
	maxFirstConfigAge time.Duration
	newRequest        func() *wire.RenewRequest
	httpClient        *http.Client

	mu       sync.Mutex
	entries  []string
	seeds    []string
	clients  map[string]wire.EntryClient
	renewNow chan struct{}
}

// NewRenewer returns a renewer. fresh is the age of the first configuration
// that is taken in, self tells what to say of the agent, and seeds
// are the control addresses of entries to begin with.
func NewRenewer(c common.Common, r *tasks.Runner, h *lease.Holder, worker string, interval, maxFirstConfigAge time.Duration, seeds []string, newRequest func() *wire.RenewRequest, httpClient *http.Client) *Renewer {
	return &Renewer{
		Common: c, runner: r, lease: h, worker: worker, interval: interval, maxFirstConfigAge: maxFirstConfigAge, newRequest: newRequest,
		entries: seeds, seeds: seeds, clients: map[string]wire.EntryClient{},
		httpClient: httpClient, renewNow: make(chan struct{}, 1),
	}
}

// Kick makes the next renewal come at once.
func (r *Renewer) RenewNow() {
	select {
	case r.renewNow <- struct{}{}:
	default:
	}
}

// Run renews and reports until the context ends. It reports ErrFenced when the
// session was given up.
func (r *Renewer) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	reported := r.runReports(ctx)
	go func() {
		err := r.loop(ctx)
		<-reported
		done <- err
	}()
	return done
}

func (r *Renewer) loop(ctx context.Context) error {
	tick := time.NewTicker(r.interval)
	defer tick.Stop()
	for {
		if err := r.RenewOnce(ctx); errors.Is(err, ErrFenced) {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		case <-r.renewNow:
		}
	}
}

// Once renews at the first entry that grants it.
func (r *Renewer) RenewOnce(ctx context.Context) error {
	var last error
	for _, e := range r.rankedEntries() {
		granted, err := r.renewAt(ctx, e)
		if granted || errors.Is(err, ErrFenced) {
			return err
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		last = err
	}
	r.Warn("lease not renewed", "left", r.lease.Left(time.Now()), "err", last)
	return last
}

// order returns the entries, the home first.
func (r *Renewer) rankedEntries() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return rendez.Rank(r.worker, r.entries)
}

func (r *Renewer) client(entry string) wire.EntryClient {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.clients[entry]
	if c == nil {
		c = wire.NewEntryClient(r.httpClient, "http://"+entry)
		r.clients[entry] = c
	}
	return c
}

func (r *Renewer) renewAt(ctx context.Context, entry string) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	q := r.newRequest()
	q.Revision = r.runner.Config().Number
	sent := time.Now()
	a, err := r.client(entry).Renew(ctx, connect.NewRequest(q))
	if err != nil {
		return false, err
	}
	return r.applyAnswer(ctx, sent, a.Msg)
}

// take takes in an answer. Times count from the sending of the question.
func (r *Renewer) applyAnswer(ctx context.Context, sent time.Time, a *wire.RenewAnswer) (bool, error) {
	if a.GetFenced() {
		r.lease.Revoke()
		return false, errors.Wrapf(ErrFenced, "%s", a.GetReason())
	}
	age := time.Duration(a.GetConfigAgeMs()) * time.Millisecond
	// A process that has just started serves nothing on old knowledge.
	if r.runner.Config().Number == 0 && age >= r.maxFirstConfigAge {
		return false, errors.Newf("configuration is %s old", age)
	}
	if len(a.GetConfig()) > 0 {
		c, err := fleet.Parse(a.GetConfig())
		if err != nil {
			r.Warn("configuration not readable", "revision", a.GetRevision(), "err", err)
			return false, err
		}
		r.runner.UpdateConfig(context.WithoutCancel(ctx), &fleet.Revision{Configuration: c, Number: a.GetRevision()})
	}
	if a.GetRevision() == r.runner.Config().Number {
		r.lease.Learnt(sent, age)
	}
	r.setEntries(a.GetEntries())
	r.runner.EvictJobs(a.GetCancelled(), spar.ReasonCancelled)
	if !a.GetGranted() {
		return false, errors.Newf("not granted: %s", a.GetReason())
	}
	r.lease.Renewed(sent, time.Duration(a.GetLeaseMs())*time.Millisecond)
	return true, nil
}

func (r *Renewer) setEntries(entries []string) {
	if len(entries) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	// The seeds stay in the list: an entry that was replaced may be reached
	// there when all that were learnt are gone.
	r.entries = rendez.Union(entries, r.seeds)
}

// report tells the entries how attempts ended, until it is folded.
func (r *Renewer) runReports(ctx context.Context) <-chan error {
	return common.Every(ctx, reportInterval, func(time.Time) { r.SendReport(ctx) })
}

// Report sends what waits to be folded, to one entry after the other until one
// folds some of it. It tells whether nothing was left.
func (r *Renewer) SendReport(ctx context.Context) bool {
	q := r.runner.PendingReport()
	if len(q.GetEnds())+len(q.GetEvicts()) == 0 {
		return true
	}
	for _, e := range r.rankedEntries() {
		a, err := r.sendReportTo(ctx, e, q)
		if err != nil {
			r.Debug("report not taken", "entry", e, "err", err)
			continue
		}
		r.runner.RemoveReported(ctx, q, a)
		// An entry that was expelled answers and folds nothing.
		if slices.Contains(a.GetFolded(), true) {
			return false
		}
	}
	return false
}

func (r *Renewer) sendReportTo(ctx context.Context, entry string, q *wire.ReportRequest) (*wire.ReportAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	a, err := r.client(entry).Report(ctx, connect.NewRequest(q))
	if err != nil {
		return nil, err
	}
	return a.Msg, nil
}
