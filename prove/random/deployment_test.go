package random

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/agent/ctrl"
	"github.com/berylspar/spar/agent/renew"
	"github.com/berylspar/spar/agent/tasks"
	"github.com/berylspar/spar/common"
	"github.com/berylspar/spar/entry/agents"
	entryctrl "github.com/berylspar/spar/entry/ctrl"
	"github.com/berylspar/spar/entry/peers"
	"github.com/berylspar/spar/entry/plan"
	"github.com/berylspar/spar/entry/rules"
	"github.com/berylspar/spar/entry/watch"
	"github.com/berylspar/spar/event"
	"github.com/berylspar/spar/fleet"
	"github.com/berylspar/spar/fold"
	"github.com/berylspar/spar/lease"
	"github.com/berylspar/spar/ledger"
	"github.com/berylspar/spar/member"
	"github.com/berylspar/spar/stand/logs"
	"github.com/berylspar/spar/stand/work"
	"github.com/berylspar/spar/tail"
	"github.com/berylspar/spar/wire"
	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace/noop"
)

// deployment is a simulated deployment: the real entries and agents in one
// process under fake time, with the stand-in's log and workers, connected by a
// network that injects faults. Delayed worker API calls simulate frozen
// processes.
type deployment struct {
	random      *rand.Rand
	net         *network
	log         *logs.Log
	recorder    *work.Recorder
	terms       lease.Terms
	workers     []*work.Worker
	domains     []string
	entries     []*process
	agents      []*process
	startCount  int
	logCut      sync.Map // process name to bool
	heldUntil   sync.Map // worker name to the time until which its calls are delayed
	processLogs io.Writer
}

// maxPeerFreshness is how long an entry in a run may rely on its peers' reports
// of log freshness.
const maxPeerFreshness = 15 * time.Second

// process is an entry or an agent.
type process struct {
	name        string
	address     string
	worker      int
	cancel      context.CancelFunc
	results     []<-chan error
	tail        *tail.Tail
	view        *member.View
	runner      *tasks.Runner
	prepareStop func(context.Context)
	fenced      atomic.Bool
	running     bool
}

func newDeployment(seed uint64, domains, entries, workers int, processLogs io.Writer) *deployment {
	random := rand.New(rand.NewPCG(seed, 11))
	began := time.Now()
	clock := func() time.Duration { return time.Since(began) }
	d := &deployment{random: random, net: newNetwork(rand.New(rand.NewPCG(seed, 13))), log: logs.NewLog(0, 0), recorder: work.NewRecorder(clock), terms: lease.DefaultTerms(), processLogs: processLogs}
	// The default of an hour is longer than a run, so no run would test its
	// expiry.
	d.terms.HearsayMS = maxPeerFreshness.Milliseconds()
	for i := range domains {
		d.domains = append(d.domains, fmt.Sprintf("d%d", i+1))
	}
	store := &work.CheckpointStore{}
	for i := range workers {
		d.workers = append(d.workers, work.NewWorker(fmt.Sprintf("w%d", i+1), d.domains[i%domains], workerSize(), clock, d.recorder, store))
	}
	for i := range entries {
		d.startEntry(fmt.Sprintf("entry-%d", i+1))
	}
	for i := range workers {
		d.startAgent(i)
	}
	return d
}

func workerSize() spar.Size { return spar.Size{CPUMilli: 4000, MemoryMB: 4000} }

func (d *deployment) common(program, name string) common.Common {
	logger := log.With(log.NewLogfmtLogger(d.processLogs), "t", log.Valuer(func() any { return time.Now().Format("05.000") }), "program", program, "name", name)
	return common.Common{Logger: logger, Scope: tally.NoopScope, Tracer: noop.NewTracerProvider().Tracer(""), Ring: &event.Ring{}, Health: &common.Health{}}
}

// faultyLog is one process's access to the log, which may be cut off.
type faultyLog struct {
	*logs.Log
	deployment *deployment
	name       string
}

func (l faultyLog) isCut() bool {
	v, ok := l.deployment.logCut.Load(l.name)
	return ok && v.(bool)
}

func (l faultyLog) Append(ctx context.Context, data []byte) (int64, error) {
	if l.isCut() {
		return 0, sleepContext(ctx, time.Hour)
	}
	offset, ok := l.Log.Append(ctx, data)
	if !ok {
		return 0, errors.Mark(errors.New("append to the log: not confirmed"), spar.ErrUnavailable)
	}
	return offset, nil
}

func (l faultyLog) Read(ctx context.Context, from int64, poll time.Duration) (spar.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	if l.isCut() {
		return spar.Page{}, sleepContext(ctx, time.Hour)
	}
	oldest, head, data, gone, ok := l.Log.Read(ctx, from, poll)
	if !ok || l.isCut() {
		return spar.Page{}, errors.Mark(errors.New("read of the log: no response"), spar.ErrUnavailable)
	}
	if gone {
		return spar.Page{}, spar.ErrGone
	}
	p := spar.Page{Oldest: oldest, Head: head}
	for i, d := range data {
		p.Entries = append(p.Entries, spar.Entry{Offset: from + int64(i), Data: d})
	}
	return p, nil
}

// startEntry starts an entry at an address that agents have in their settings.
// A replacement uses the address of the entry that it replaces.
func (d *deployment) startEntry(address string) *process {
	d.startCount++
	p := &process{name: fmt.Sprintf("e%d", d.startCount), address: address, running: true}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	c := d.common("entry", p.name)
	logTail := tail.NewTail(tail.DefaultSettings(), faultyLog{d.log, d, p.name}, fold.NewState(0, fleet.CheckBody))
	view := member.NewView(p.name, d.terms)
	agentTable := agents.NewTable()
	ruleSet := rules.NewRules(c, logTail)
	client := d.net.client(p.name)
	entryPeers := peers.NewPeers(c, p.name, p.address, d.terms, logTail, view, agentTable, client)
	planner := plan.NewPlanner(c, p.name, d.terms, logTail, agentTable, entryPeers, ruleSet, client)
	watcher := watch.NewWatcher(c, watch.DefaultSettings(), p.name, d.terms, logTail, view, agentTable, entryPeers)
	server := entryctrl.NewServer(c, p.name, d.terms, logTail, view, agentTable, ruleSet, func(session string, missing []spar.TaskID) { planner.ResendMissing(ctx, session, missing) })
	logTail.OnFresh(func(state *fold.State, sent time.Time) {
		view.ApplyState(state, time.Now())
		view.RecordRead(sent)
	})
	mux := http.NewServeMux()
	mux.Handle(wire.NewEntryHandler(server))
	d.net.addHandler(p.address, mux)
	p.tail, p.view = logTail, view
	p.results = []<-chan error{logTail.Run(ctx), entryPeers.Run(ctx), planner.Run(ctx), watcher.Run(ctx), d.registerWhenFresh(ctx, entryPeers, logTail)}
	p.prepareStop = func(ctx context.Context) {
		server.Leave()
		entryPeers.AnnounceDeparture(ctx)
	}
	d.entries = append(d.entries, p)
	return p
}

func (d *deployment) registerWhenFresh(ctx context.Context, entryPeers *peers.Peers, logTail *tail.Tail) <-chan error {
	done := make(chan error, 1)
	go func() {
		for logTail.FreshAt().IsZero() && sleepContext(ctx, 5*time.Millisecond) == nil {
		}
		done <- entryPeers.Register(ctx)
	}()
	return done
}

// faultyPlatform is an agent's access to the worker API. Calls may be delayed
// but still take effect, and responses may be lost.
type faultyPlatform struct {
	deployment *deployment
	worker     *work.Worker
	name       string
}

func callWorker[T any](ctx context.Context, p faultyPlatform, method func() T) (T, error) {
	done := make(chan T, 1)
	d := p.deployment
	d.net.mu.Lock()
	lost := d.net.random.Float64() < d.net.lossShare
	d.net.mu.Unlock()
	go func() {
		if until, ok := d.heldUntil.Load(p.name); ok {
			time.Sleep(time.Until(until.(time.Time)))
		}
		done <- method()
	}()
	var zero T
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	select {
	case result := <-done:
		if lost {
			return zero, spar.ErrUnavailable
		}
		return result, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}

func (p faultyPlatform) Start(ctx context.Context, q spar.Start) (spar.TaskStatus, error) {
	return callWorker(ctx, p, func() spar.TaskStatus { return p.worker.Start(q) })
}

func (p faultyPlatform) Renew(ctx context.Context, until time.Duration, ids []spar.TaskID) error {
	_, err := callWorker(ctx, p, func() int { p.worker.Renew(until, ids); return 0 })
	return err
}

func (p faultyPlatform) Throttle(ctx context.Context, id spar.TaskID, cpu int64) error {
	_, err := callWorker(ctx, p, func() spar.TaskStatus { return p.worker.Throttle(id, cpu) })
	return err
}

func (p faultyPlatform) Checkpoint(ctx context.Context, id spar.TaskID) (spar.TaskStatus, error) {
	return callWorker(ctx, p, func() spar.TaskStatus { return p.worker.Checkpoint(id) })
}

func (p faultyPlatform) Stop(ctx context.Context, id spar.TaskID, save bool) (spar.TaskStatus, error) {
	return callWorker(ctx, p, func() spar.TaskStatus { return p.worker.Stop(id, save) })
}

func (p faultyPlatform) List(ctx context.Context) (spar.Listing, error) {
	return callWorker(ctx, p, p.worker.List)
}

func (p faultyPlatform) Clear(ctx context.Context, id spar.TaskID) error {
	_, err := callWorker(ctx, p, func() int { p.worker.Clear(id); return 0 })
	return err
}

func (d *deployment) startAgent(i int) *process {
	d.startCount++
	p := &process{name: fmt.Sprintf("w%d", i+1), address: fmt.Sprintf("a%d", d.startCount), worker: i, running: true}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	c := d.common("agent", p.name)
	identity := tasks.Identity{Worker: p.name, Domain: d.domains[i%len(d.domains)], Session: fmt.Sprintf("%s-s%d", p.name, d.startCount)}
	holder := &lease.Holder{}
	resources := ledger.NewLedger(workerSize())
	runner := tasks.NewRunner(c, identity, d.terms, faultyPlatform{d, d.workers[i], p.name}, resources, holder)
	renewRequest := func() *wire.RenewRequest {
		return &wire.RenewRequest{
			Session: identity.Session, Worker: identity.Worker, Domain: identity.Domain, ControlAddress: p.address,
			Total: wire.SizeOf(resources.Total()), Free: wire.SizeOf(resources.Free(time.Now())), Load: &wire.Load{},
			Running: runner.ActiveAttempts(), Leaving: runner.IsLeaving(), Ready: runner.IsReady(),
		}
	}
	renewer := renew.NewRenewer(c, runner, holder, p.name, 500*time.Millisecond, d.terms.Start(), d.entryAddresses(), renewRequest, d.net.client(p.address))
	mux := http.NewServeMux()
	mux.Handle(wire.NewAgentHandler(ctrl.NewServer(runner, p.name)))
	d.net.addHandler(p.address, mux)
	p.runner = runner
	p.results = []<-chan error{runner.WatchTasks(ctx), p.recordFenced(renewer.Run(ctx))}
	p.prepareStop = func(ctx context.Context) {
		runner.SetLeaving()
		runner.EvictAll(ctx, spar.ReasonLeaving)
		renewer.SendReport(ctx)
	}
	d.agents = append(d.agents, p)
	return p
}

func (d *deployment) entryAddresses() []string {
	var out []string
	for _, entry := range d.entries {
		if entry.running {
			out = append(out, entry.address)
		}
	}
	return out
}

// stop ends a process immediately; requests that it has sent are still
// delivered.
func (d *deployment) stop(p *process) {
	p.running = false
	p.cancel()
	d.net.removeHandler(p.address)
	for _, result := range p.results {
		<-result
	}
}

// replaceExpelled restarts expelled entries under a new name, as the daemon
// does.
func (d *deployment) replaceExpelled() {
	for _, p := range d.running(d.entries) {
		if p.view.IsExpelled() {
			d.stop(p)
			d.startEntry(p.address)
		}
	}
}

// replaceFenced restarts agents whose session was fenced under a new session,
// as the daemon does.
func (d *deployment) replaceFenced() {
	for _, p := range d.running(d.agents) {
		if p.fenced.Load() {
			d.stop(p)
			d.startAgent(p.worker)
		}
	}
}

// recordFenced forwards the result of the renewals and records whether the
// session was fenced.
func (p *process) recordFenced(renewed <-chan error) <-chan error {
	done := make(chan error, 1)
	go func() {
		err := <-renewed
		p.fenced.Store(errors.Is(err, renew.ErrFenced))
		done <- err
	}()
	return done
}

func (d *deployment) stopAll() {
	for _, p := range append(d.entries, d.agents...) {
		if p.running {
			d.stop(p)
		}
	}
}

func (d *deployment) running(processes []*process) []*process {
	var out []*process
	for _, p := range processes {
		if p.running {
			out = append(out, p)
		}
	}
	return out
}
