// Package ctrl serves agents and other entries: renewals, reports, digests and
// snapshots.
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

// reportLimit bounds the appends of a report.
const reportLimit = 4 * time.Second

// Server serves wire.Entry.
type Server struct {
	common.Common
	name  string
	terms lease.Terms
	tail  *tail.Tail
	view  *member.View
	table *agents.Table
	rules *rules.Rules
	lost  func(session string, missing []spar.TaskID)
	left  atomic.Bool
}

var _ wire.EntryHandler = (*Server)(nil)

// NewServer returns a server for the entry with a session name. lost is told of
// tasks that are claimed for a session whose agent does not run them.
func NewServer(c common.Common, name string, t lease.Terms, l *tail.Tail, v *member.View, a *agents.Table, r *rules.Rules, lost func(string, []spar.TaskID)) *Server {
	return &Server{Common: c, name: name, terms: t, tail: l, view: v, table: a, rules: r, lost: lost}
}

// Leave stops renewals for good; the agents turn to other entries.
func (s *Server) Leave() { s.left.Store(true) }

// Renew grants a lease where this entry may.
func (s *Server) Renew(_ context.Context, q *connect.Request[wire.RenewRequest]) (*connect.Response[wire.RenewAnswer], error) {
	if s.left.Load() {
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
	s.fill(a, m)
	return connect.NewResponse(a), nil
}

func ceilMS(d time.Duration) int64 { return (d + time.Millisecond - 1).Milliseconds() }

// fill adds what the agent has to learn.
func (s *Server) fill(a *wire.RenewAnswer, m *wire.RenewRequest) {
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

// cancelled returns the jobs of running tasks that were cancelled.
func cancelled(f *fold.State, m *wire.RenewRequest) []string {
	var out []string
	for _, r := range m.GetRunning() {
		if j := f.Job(r.GetJob()); j != nil && j.IsCancelled() {
			out = append(out, r.GetJob())
		}
	}
	return out
}

// missingTasks returns the attempts that are claimed for the agent's session
// and that it does not name.
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

// Report folds how attempts ended, and answers once the records are read back.
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
	var all sync.WaitGroup
	for i, r := range records {
		all.Go(func() {
			a, err := s.tail.Append(ctx, r)
			// A record by an expelled entry is void for that alone; another
			// entry must append the report.
			folded[i] = err == nil && a.Outcome.Reason() != spar.ReasonMemberFenced
		})
	}
	all.Wait()
	return folded
}

// Sync tells another entry what this one knows of fences and of its agents.
func (s *Server) Sync(_ context.Context, q *connect.Request[wire.SyncRequest]) (*connect.Response[wire.SyncAnswer], error) {
	k := s.view.Known()
	version, digests := s.table.Digest(q.Msg.GetSince(), time.Now())
	return connect.NewResponse(&wire.SyncAnswer{
		Entry: s.name, Fences: k.Fences, Expels: k.Expels, Acked: k.Acked,
		Version: version, Agents: digests, Revision: s.rules.Load().Number,
	}), nil
}

// Snap returns the whole fold, for an entry that starts.
func (s *Server) Snap(context.Context, *connect.Request[wire.SnapshotRequest]) (*connect.Response[wire.Snapshot], error) {
	if time.Since(s.tail.FreshAt()) > s.terms.Fresh() {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("entry is not fresh"))
	}
	var out *wire.Snapshot
	s.tail.View(func(f *fold.State) { out = f.Snapshot() })
	return connect.NewResponse(out), nil
}

// Story tells the decisions about a subject.
func (s *Server) Story(_ context.Context, q *connect.Request[wire.StoryRequest]) (*connect.Response[wire.StoryAnswer], error) {
	return connect.NewResponse(&wire.StoryAnswer{Source: "entry " + s.name, Events: s.DecisionsAbout(q.Msg.GetSubject())}), nil
}

// Goodbye strikes an entry that stops by plan.
func (s *Server) Goodbye(_ context.Context, q *connect.Request[wire.GoodbyeRequest]) (*connect.Response[wire.GoodbyeAnswer], error) {
	s.Info("entry says goodbye", "entry", q.Msg.GetEntry())
	s.view.Goodbye(q.Msg.GetEntry(), member.Answer{Fences: q.Msg.GetFences(), Expels: q.Msg.GetExpels()})
	return connect.NewResponse(&wire.GoodbyeAnswer{}), nil
}
