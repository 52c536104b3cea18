// Package ctrl serves the commands that entries send to an agent.
package ctrl

import (
	"context"

	"connectrpc.com/connect"
	"github.com/berylspar/spar"
	"github.com/berylspar/spar/agent/tasks"
	"github.com/berylspar/spar/wire"
)

// Server serves wire.Agent.
type Server struct {
	runner *tasks.Runner
	worker string
}

var _ wire.AgentHandler = (*Server)(nil)

// NewServer returns a server that passes commands to a runner.
func NewServer(r *tasks.Runner, worker string) *Server { return &Server{runner: r, worker: worker} }

// Reserve reserves resources for a task.
func (s *Server) Reserve(ctx context.Context, q *connect.Request[wire.ReserveRequest]) (*connect.Response[wire.ReserveAnswer], error) {
	return connect.NewResponse(s.runner.Reserve(ctx, q.Msg)), nil
}

// Run starts a claimed attempt. It continues if the caller disconnects, since the
// decision on an attempt is made once and is final.
func (s *Server) Run(ctx context.Context, q *connect.Request[wire.RunRequest]) (*connect.Response[wire.RunAnswer], error) {
	return connect.NewResponse(s.runner.Run(context.WithoutCancel(ctx), q.Msg)), nil
}

// Drop evicts the tasks of the jobs of the named tasks, if they belong to the
// current session.
func (s *Server) Drop(_ context.Context, q *connect.Request[wire.DropRequest]) (*connect.Response[wire.DropAnswer], error) {
	if q.Msg.GetSession() == s.runner.Session() {
		for _, t := range q.Msg.GetTasks() {
			s.runner.EvictJobs([]string{t.GetJob()}, spar.Reason(q.Msg.GetReason()))
		}
	}
	return connect.NewResponse(&wire.DropAnswer{}), nil
}

// Story returns the decisions about a subject.
func (s *Server) Story(_ context.Context, q *connect.Request[wire.StoryRequest]) (*connect.Response[wire.StoryAnswer], error) {
	return connect.NewResponse(&wire.StoryAnswer{Source: "agent " + s.worker, Events: s.runner.DecisionsAbout(q.Msg.GetSubject())}), nil
}
