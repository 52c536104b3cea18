// Package ctrl serves the control calls of agents and of other entries: lease
// renewals, reports of ended attempts, digests and snapshots.
package ctrl

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/berylspar/spar"
	"github.com/berylspar/spar/common"
	"github.com/berylspar/spar/entry/agents"
	"github.com/berylspar/spar/entry/rules"
	"github.com/berylspar/spar/fold"
	"github.com/berylspar/spar/lease"
	"github.com/berylspar/spar/member"
	"github.com/berylspar/spar/tail"
	"github.com/berylspar/spar/wire"
	"github.com/cockroachdb/errors"
)

// reportLimit bounds how long a report waits for its records to be appended and
// read back.
const reportLimit = 4 * time.Second

// Server serves wire.Entry.
type Server struct {
	common.Common
	name    string
	terms   lease.Terms
	tail    *tail.Tail
	view    *member.View
	table   *agents.Table
	rules   *rules.Rules
	lost    func(session string, missing []spar.TaskID)
	leaving atomic.Bool
}

var _ wire.EntryHandler = (*Server)(nil)

// NewServer returns a server for the entry with the given session name. lost is
// called with the tasks that are claimed for a session and that its agent does
// not run.
func NewServer(c common.Common, name string, t lease.Terms, l *tail.Tail, v *member.View, a *agents.Table, r *rules.Rules, lost func(string, []spar.TaskID)) *Server {
	return &Server{Common: c, name: name, terms: t, tail: l, view: v, table: a, rules: r, lost: lost}
}

// Leave stops renewals permanently; the agents then renew at other entries.
func (s *Server) Leave() { s.leaving.Store(true) }

// Renew grants a lease if this entry may renew the session. Its answer also
// carries the changes that the agent does not know yet.
func (s *Server) Renew(_ context.Context, q *connect.Request[wire.RenewRequest]) (*connect.Response[wire.RenewAnswer], error) {
	if s.leaving.Load() {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("entry stops by plan"))
	}
	now := time.Now()
	fresh := s.tail.FreshAt()
	if fresh.IsZero() {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("entry has not read the log yet"))
	}
	m := q.Msg
	a := &wire.RenewAnswer{ConfigAgeMs: ceilMS(now.Sub(fresh))}
	reason := s.view.MayRenew(now, m.GetSession())
	a.Granted = reason == spar.ReasonNone
	a.Fenced = reason == spar.ReasonFenced
	a.Reason = string(reason)
	if a.Granted {
		a.LeaseMs = s.terms.LeaseMS
	}
	if !a.Fenced {
		s.table.RecordRenewal(m, now)
	}
	s.addUpdates(a, m)
	return connect.NewResponse(a), nil
}

func ceilMS(d time.Duration) int64 { return (d + time.Millisecond - 1).Milliseconds() }

// addUpdates adds to an answer the configuration if it is newer than the agent's,
// the live entries and the cancelled jobs, and reports missing tasks to lost.
func (s *Server) addUpdates(a *wire.RenewAnswer, m *wire.RenewRequest) {
	var missing []spar.TaskID
	s.tail.View(func(f *fold.State) {
		c := f.Config()
		a.Revision = c.Revision()
		if m.GetRevision() < c.Revision() {
			a.Config = c.Body()
		}
		for _, e := range f.Members() {
			if e.IsLive() {
				a.Entries = append(a.Entries, e.Address())
			}
		}
		a.Cancelled = cancelled(f, m)
		missing = missingTasks(f, m)
	})
	if len(missing) > 0 {
		s.lost(m.GetSession(), missing)
	}
}

// cancelled returns the cancelled jobs among those of the agent's running tasks.
func cancelled(f *fold.State, m *wire.RenewRequest) []string {
	var out []string
	for _, r := range m.GetRunning() {
		if j := f.Job(r.GetJob()); j != nil && j.IsCancelled() {
			out = append(out, r.GetJob())
		}
	}
	return out
}

// missingTasks returns the attempts that are claimed for the agent's session but
// not among the running tasks that the agent lists.
func missingTasks(f *fold.State, m *wire.RenewRequest) []spar.TaskID {
	named := map[spar.TaskID]bool{}
	for _, r := range m.GetRunning() {
		named[r.ID()] = true
	}
	var out []spar.TaskID
	for _, id := range f.Running(m.GetSession()) {
		if !named[id] {
			out = append(out, id)
		}
	}
	return out
}

// Report appends how attempts ended to the log and answers once the records are
// read back.
func (s *Server) Report(ctx context.Context, q *connect.Request[wire.ReportRequest]) (*connect.Response[wire.ReportAnswer], error) {
	ctx, cancel := context.WithTimeout(ctx, reportLimit)
	defer cancel()
	var records []*wire.Record
	for _, e := range q.Msg.GetEnds() {
		records = append(records, &wire.Record{By: s.name, Body: &wire.Record_End{End: e}})
	}
	for _, e := range q.Msg.GetEvicts() {
		records = append(records, &wire.Record{By: s.name, Body: &wire.Record_Evict{Evict: e}})
	}
	return connect.NewResponse(&wire.ReportAnswer{Folded: s.appendAll(ctx, records)}), nil
}

func (s *Server) appendAll(ctx context.Context, records []*wire.Record) []bool {
	folded := make([]bool, len(records))
	var appends sync.WaitGroup
	for i, r := range records {
		appends.Go(func() {
			a, err := s.tail.Append(ctx, r)
			// A record by an expelled entry is void for that reason alone, so
			// another entry must append the report.
			folded[i] = err == nil && a.Outcome.Reason() != spar.ReasonMemberFenced
		})
	}
	appends.Wait()
	return folded
}

// Sync answers another entry with the fences and expulsions that this one knows
// and a digest of its agents.
func (s *Server) Sync(_ context.Context, q *connect.Request[wire.SyncRequest]) (*connect.Response[wire.SyncAnswer], error) {
	k := s.view.Answer()
	version, digests := s.table.Digest(q.Msg.GetSince(), time.Now())
	return connect.NewResponse(&wire.SyncAnswer{
		Entry: s.name, Fences: k.Fences, Expels: k.Expels, Acked: k.Acked,
		Version: version, Agents: digests, Revision: s.rules.Load().Number,
	}), nil
}

// Snap returns a snapshot of the whole folded state, for an entry that starts.
func (s *Server) Snap(context.Context, *connect.Request[wire.SnapshotRequest]) (*connect.Response[wire.Snapshot], error) {
	if time.Since(s.tail.FreshAt()) > s.terms.Fresh() {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("entry is not fresh"))
	}
	var out *wire.Snapshot
	s.tail.View(func(f *fold.State) { out = f.Snapshot() })
	return connect.NewResponse(out), nil
}

// Story returns the recorded decisions about a subject.
func (s *Server) Story(_ context.Context, q *connect.Request[wire.StoryRequest]) (*connect.Response[wire.StoryAnswer], error) {
	return connect.NewResponse(&wire.StoryAnswer{Source: "entry " + s.name, Events: s.DecisionsAbout(q.Msg.GetSubject())}), nil
}

// Goodbye removes an entry that stops by plan from the entries whose answers are
// needed, and takes over the fences and expulsions that it knows.
func (s *Server) Goodbye(_ context.Context, q *connect.Request[wire.GoodbyeRequest]) (*connect.Response[wire.GoodbyeAnswer], error) {
	s.Info("entry stops by plan", "entry", q.Msg.GetEntry())
	s.view.RecordGoodbye(q.Msg.GetEntry(), member.Answer{Fences: q.Msg.GetFences(), Expels: q.Msg.GetExpels()})
	return connect.NewResponse(&wire.GoodbyeAnswer{}), nil
}
