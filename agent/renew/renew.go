// Package renew renews the agent's lease. It asks the agent's home entry first and
// the other entries if that one fails, and applies the configuration, the list of
// entries and the cancelled jobs that come with an answer.
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

// ErrFenced is returned when the session was fenced. The agent must continue under
// a new session.
var ErrFenced = errors.New("session fenced")

// Time limits of calls, and the interval between reports.
const (
	// renewTimeout bounds the call of one entry, so that others can be tried
	// before the lease ends.
	renewTimeout = 400 * time.Millisecond
	// reportTimeout is longer because an entry answers a report only after its
	// records were read back from the log.
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

// NewRenewer returns a renewer. The first configuration is accepted only if it is
// younger than maxFirstConfigAge. newRequest returns a request with the current
// state of the agent. seeds are the control addresses of the first entries to
// contact.
func NewRenewer(c common.Common, r *tasks.Runner, h *lease.Holder, worker string, interval, maxFirstConfigAge time.Duration, seeds []string, newRequest func() *wire.RenewRequest, httpClient *http.Client) *Renewer {
	return &Renewer{
		Common: c, runner: r, lease: h, worker: worker, interval: interval, maxFirstConfigAge: maxFirstConfigAge, newRequest: newRequest,
		entries: seeds, seeds: seeds, clients: map[string]wire.EntryClient{},
		httpClient: httpClient, renewNow: make(chan struct{}, 1),
	}
}

// RenewNow triggers a renewal without waiting for the interval.
func (r *Renewer) RenewNow() {
	select {
	case r.renewNow <- struct{}{}:
	default:
	}
}

// Run renews the lease and sends reports until the context ends. The channel
// receives ErrFenced if the session was fenced.
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

// RenewOnce asks the entries in order until one grants a renewal.
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
	r.Warn("no entry renewed the lease", "left", r.lease.Left(time.Now()), "err", last)
	return last
}

// rankedEntries returns the entries in the order in which to try them. The first
// one is the home entry.
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

// applyAnswer applies an answer to a renewal. The lease and the age of the
// configuration count from the time the request was sent, so that a slow answer
// cannot extend the lease.
func (r *Renewer) applyAnswer(ctx context.Context, sent time.Time, a *wire.RenewAnswer) (bool, error) {
	if a.GetFenced() {
		r.lease.Revoke()
		return false, errors.Wrapf(ErrFenced, "%s", a.GetReason())
	}
	age := time.Duration(a.GetConfigAgeMs()) * time.Millisecond
	// A process that has just started must not serve with an outdated
	// configuration.
	if r.runner.Config().Number == 0 && age >= r.maxFirstConfigAge {
		return false, errors.Newf("first configuration is %s old, which exceeds the limit", age)
	}
	if len(a.GetConfig()) > 0 {
		c, err := fleet.Parse(a.GetConfig())
		if err != nil {
			r.Warn("could not parse the configuration", "revision", a.GetRevision(), "err", err)
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
		return false, errors.Newf("entry did not grant the lease: %s", a.GetReason())
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
	// The seeds stay in the list: if all reported entries are gone, their
	// replacements may be reachable at a seed address.
	r.entries = rendez.Union(entries, r.seeds)
}

// runReports sends reports of ended attempts at each interval until the context
// ends.
func (r *Renewer) runReports(ctx context.Context) <-chan error {
	return common.Every(ctx, reportInterval, func(time.Time) { r.SendReport(ctx) })
}

// SendReport sends the pending ends and evictions to the entries in order, until
// one folds some of them. It reports whether none were pending.
func (r *Renewer) SendReport(ctx context.Context) bool {
	q := r.runner.PendingReport()
	if len(q.GetEnds())+len(q.GetEvicts()) == 0 {
		return true
	}
	for _, e := range r.rankedEntries() {
		a, err := r.sendReportTo(ctx, e, q)
		if err != nil {
			r.Debug("could not send a report", "entry", e, "err", err)
			continue
		}
		r.runner.RemoveReported(ctx, q, a)
		// An expelled entry answers but folds nothing, so the next one is tried.
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
