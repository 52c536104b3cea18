package simul_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/agent/exec"
	"github.com/berylspar/spar/common"
	"github.com/berylspar/spar/entry/config"
	"github.com/berylspar/spar/entry/owner"
	"github.com/berylspar/spar/event"
	"github.com/berylspar/spar/link"
	"github.com/berylspar/spar/stand/store"
	"github.com/berylspar/spar/stand/worker"
	"github.com/berylspar/spar/track"
	"github.com/fasthttp/router"
	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace/noop"
)

// simulation is a deployment of the real owners and agents in fake time, with
// stand-ins for the store, the workers and the network.
type simulation struct {
	t      *testing.T
	ctx    context.Context
	seed   uint64
	random *rand.Rand
	// linkDraws decides how the connections between agents and workers fail.
	linkDraws *rand.Rand
	startedAt time.Time
	store     *store.Store
	net       *network
	checker   *worker.InvariantChecker
	out       io.Writer
	entries   []*entry
	nodes     []*node
	// nodeCount is the number of nodes so far, with those that are gone.
	nodeCount int

	mu   sync.Mutex
	jobs map[string]*job
	// submitted are the IDs of the jobs in the order of their submission, and standing
	// those of the standing ones.
	submitted, standing []string
	// closedAt is when each domain that is closed now was closed.
	closedAt     map[string]time.Time
	rulesVersion int64
	scheduled    []scheduledAction
	// crashingTasks adds tasks that crash their workers, and workers that shrink or
	// whose processes crash.
	crashingTasks bool
	// fixedWorkload makes every run last half a second, or runTime if it is set, and
	// succeed.
	fixedWorkload bool
	runTime       time.Duration
	// keepMS is how long an ended job can still be queried, 0 for the default.
	keepMS int64
	// admission is set when jobs are refused that can't meet their objective.
	admission bool
}

// job is a submitted job. cancelledAt is zero until its cancel was accepted.
type job struct {
	spar.Job
	cancelledAt time.Time
	alwaysFails bool
	// acceptedAt is when a caller was told that the job is stored, and
	// cancelRequested whether a cancel was sent.
	acceptedAt      time.Time
	cancelRequested bool
	// endedAt is when an entry first showed that the job has ended, if answers are checked.
	endedAt time.Time
	// givenUp reports whether an entry has shown that the job has failed.
	givenUp bool
	// crashing, if set, reports whether a task crashes the workers that start it.
	crashing func(spar.TaskRef) bool
	// runTime, if set, is how long each run lasts, which then succeeds.
	runTime time.Duration
}

type entry struct {
	name        string
	storeClient *store.Client
	owner       *owner.Candidate
	asker       *owner.Client
	cancel      context.CancelFunc
	ends        []<-chan error
	startCount  int
}

type node struct {
	name         string
	domain       string
	worker       *worker.Worker
	workerClient *worker.Client
	storeClient  *store.Client
	beats        *exec.Heartbeats
	cancel       context.CancelFunc
	end          <-chan error
	seq          int64
	// lastBeat is the last heartbeat of the present life, and earlierBeat that of the life
	// before.
	lastBeat, earlierBeat atomic.Pointer[exec.Heartbeat]
	// draining reports that the worker announces its departure.
	draining atomic.Bool
	// gone reports that the machine was taken away.
	gone atomic.Bool
}

const (
	queue = "work"
	topic = "op"
	// fewEndsPerCall has some workers list fewer ends than they often have.
	fewEndsPerCall = 2
)

var workerSize = spar.Size{CPUMilli: 4000, MemoryMB: 8000}

func newSimulation(ctx context.Context, t *testing.T, seed uint64, entries, nodes int, out io.Writer, options ...func(*simulation)) *simulation {
	s := &simulation{
		t: t, ctx: ctx, seed: seed, random: rand.New(rand.NewPCG(seed, 5)), linkDraws: rand.New(rand.NewPCG(seed, 23)), startedAt: time.Now(), store: &store.Store{},
		net: newNetwork(), checker: worker.NewInvariantChecker(), jobs: map[string]*job{}, closedAt: map[string]time.Time{}, out: out,
	}
	for _, set := range options {
		set(s)
	}
	s.checker.MaxAttempts = 3
	s.checker.StartForbidden = s.startForbidden
	s.checker.IsStanding = s.isStanding
	s.publishRules()
	for i := range entries {
		e := &entry{name: fmt.Sprintf("e%d", i), storeClient: store.NewClient(s.store, seed*100+uint64(i))}
		s.entries = append(s.entries, e)
		s.startEntry(e)
	}
	s.nodeCount = nodes
	for i := range nodes {
		n := s.newNode(i, i)
		s.nodes = append(s.nodes, n)
		s.startNode(n)
	}
	return s
}

// newNode returns the node with a number, which has the domain of its place.
func (s *simulation) newNode(number, place int) *node {
	n := &node{name: fmt.Sprintf("n%d", number), domain: fmt.Sprintf("d%d", place%3), storeClient: store.NewClient(s.store, s.seed*100+50+uint64(number))}
	n.worker = worker.NewWorker(n.name, workerSize, s.taskSize, s.drawWorkload, s.checker)
	if place%2 == 0 {
		n.worker.SetUnguarded()
	}
	if place%3 == 0 {
		n.worker.SetEndsPerCall(fewEndsPerCall)
	}
	n.workerClient = worker.NewClient(n.worker, s.seed*100+70+uint64(number))
	return n
}

func (s *simulation) common(name string) common.Common {
	l := log.With(log.NewLogfmtLogger(s.out), "t", log.Valuer(func() any { return time.Since(s.startedAt) }), "name", name)
	return common.Common{Logger: l, Scope: tally.NoopScope, Tracer: noop.NewTracerProvider().Tracer(""), Ring: &event.Ring{}, Health: &common.Health{}}
}

// publishRules stores a new version of the rules as an operator does.
func (s *simulation) publishRules() {
	s.rulesVersion++
	s.appendOperatorRecord(spar.Record{Key: "rules", Value: []byte{byte(s.rulesVersion)}})
}

func (s *simulation) appendOperatorRecord(r spar.Record) {
	if _, err := s.store.Append(topic, nil, []spar.Record{r}); err != nil {
		s.t.Fatal(err)
	}
}

func (s *simulation) decodeChange(r spar.Record) (config.Change, error) {
	if r.Key == "rules" {
		return config.Change{Rules: &spar.Rules{
			Version: int64(r.Value[0]),
			Queues:  []spar.Queue{{Name: queue, Service: "desk", MaxAttempts: s.checker.MaxAttempts, Stretch: 2, Slack: time.Second}},
		}}, nil
	}
	return config.Change{Domain: strings.TrimPrefix(r.Key, "closed/"), Reopened: len(r.Value) == 0}, nil
}

func (s *simulation) startEntry(e *entry) {
	if e.cancel != nil {
		return
	}
	ctx, cancel := context.WithCancel(s.ctx)
	e.startCount++
	name := fmt.Sprintf("%s.%d", e.name, e.startCount)
	c := s.common(name)
	watch := config.NewWatcher(c, e.storeClient, topic, s.decodeChange)
	clock := func() time.Duration { return time.Since(s.startedAt) }
	e.owner = owner.NewCandidate(c, s.ownerSettings(), e.storeClient, nil, watch, name, link.EntryRecord{AgentAddress: e.name, PeerAddress: e.name}, s.net.listen(e.name, name), clock, peerCaller{s.net, e.name})
	routes := router.New()
	e.owner.AddRoutes(routes)
	s.net.setPeer(e.name, routes.Handler)
	directory := track.NewDirectory(e.storeClient, time.Second, func(error) {})
	e.owner.Follow(directory)
	e.asker = owner.NewClient(c, e.owner, directory)
	e.cancel, e.ends = cancel, []<-chan error{watch.Run(ctx), e.owner.Run(ctx), directory.Run(ctx)}
}

func (s *simulation) ownerSettings() owner.Settings {
	out := owner.DefaultSettings()
	out.Partitions = store.Partitions
	out.KeepMS = cmp.Or(s.keepMS, out.KeepMS)
	if s.admission {
		// The narrowest limits refuse the most.
		out.Admission.Mode, out.Admission.Margin, out.Admission.WorthlessAfter = "on", 1, 1
	}
	return out
}

// retention is how long an ended job can still be queried.
func (s *simulation) retention() time.Duration {
	return time.Duration(s.ownerSettings().KeepMS) * time.Millisecond
}

// killEntry stops an entry that can no longer reach the store and the agents, so
// that it cannot give the shard up.
func (s *simulation) killEntry(e *entry) {
	if e.cancel == nil {
		return
	}
	e.storeClient.SetFaults(store.Faults{Unreachable: true})
	s.net.setPeer(e.name, nil)
	s.net.setIsolated(fmt.Sprintf("%s.%d", e.name, e.startCount), true)
	s.stopEntry(e)
	e.storeClient.SetFaults(store.Faults{})
}

func (s *simulation) stopEntry(e *entry) {
	if e.cancel == nil {
		return
	}
	e.cancel()
	for _, c := range e.ends {
		<-c
	}
	e.cancel = nil
	s.net.setPeer(e.name, nil)
}

func (s *simulation) startNode(n *node) {
	if n.cancel != nil || n.gone.Load() {
		return
	}
	ctx, cancel := context.WithCancel(s.ctx)
	c := s.common(n.name)
	n.beats = exec.NewHeartbeats(c, exec.HeartbeatFormat{})
	executor := exec.NewExecutor(c, n.name, n.beats, n.workerClient, n.storeClient, s.net.dialer(n.name), func() time.Duration { return time.Since(s.startedAt) })
	s.deliverLateHeartbeat(n)
	n.cancel, n.end = cancel, executor.Run(ctx)
}

// deliverLateHeartbeat has an agent that starts again receive the last heartbeat of the life
// before the present one, or none, as its first one. The deregistration of that life may
// follow.
func (s *simulation) deliverLateHeartbeat(n *node) {
	beat := n.earlierBeat.Load()
	if beat == nil || s.linkDraws.IntN(2) == 0 {
		return
	}
	n.beats.Accept(*beat)
	if s.linkDraws.IntN(3) == 0 {
		n.beats.Deregister(beat.Info.Life.ID)
	}
}

func (s *simulation) stopNode(n *node) {
	if n.cancel != nil {
		n.cancel()
		<-n.end
		n.cancel = nil
	}
}

// heartbeat passes a heartbeat of the worker to its agent.
func (s *simulation) heartbeat(n *node) {
	life, up := n.worker.Life()
	if !up || n.cancel == nil {
		return
	}
	n.seq++
	beat := exec.Heartbeat{Seq: n.seq, Address: n.name, Info: spar.WorkerInfo{Life: life, Service: "desk", Domain: n.domain, Size: n.worker.Size(), Draining: n.draining.Load()}}
	if last := n.lastBeat.Swap(&beat); last != nil && last.Info.Life != life {
		n.earlierBeat.Store(last)
	}
	n.beats.Accept(beat)
}
