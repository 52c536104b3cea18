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

// deployment runs the real components in one process under fake time: entries and
// agents with the stand-in's log and workers, connected by a network that injects
// faults. Delayed worker API calls model frozen processes.
type deployment struct {
	random    *rand.Rand
	net       *network
	log       *logs.Log
	record    *work.Recorder
	terms     lease.Terms
	workers   []*work.Worker
	domains   []string
	entries   []*process
	agents    []*process
	started   int
	logCut    sync.Map // process name to bool
	heldUntil sync.Map // worker name to the time until which its calls are delayed
	debug     io.Writer
}

// maxHearsay is how long an entry in a run may rely on its peers' reports of log
// freshness.
const maxHearsay = 15 * time.Second

// process is an entry or an agent.
type process struct {
	name    string
	address string
	worker  int
	cancel  context.CancelFunc
	ends    []<-chan error
	tail    *tail.Tail
	view    *member.View
	runner  *tasks.Runner
	drain   func(context.Context)
	fenced  atomic.Bool
	up      bool
}

func newDeployment(seed uint64, domains, entries, workers int, debug io.Writer) *deployment {
	random := rand.New(rand.NewPCG(seed, 11))
	began := time.Now()
	clock := func() time.Duration { return time.Since(began) }
	w := &deployment{random: random, net: newNetwork(rand.New(rand.NewPCG(seed, 13))), log: logs.NewLog(0, 0), record: work.NewRecorder(clock), terms: lease.DefaultTerms(), debug: debug}
	// The default of an hour is longer than a run, so its expiry would never be
	// tested.
	w.terms.HearsayMS = maxHearsay.Milliseconds()
	for i := range domains {
		w.domains = append(w.domains, fmt.Sprintf("d%d", i+1))
	}
	store := &work.CheckpointStore{}
	for i := range workers {
		w.workers = append(w.workers, work.NewWorker(fmt.Sprintf("w%d", i+1), w.domains[i%domains], size(), clock, w.record, store))
	}
	for i := range entries {
		w.startEntry(fmt.Sprintf("entry-%d", i+1))
	}
	for i := range workers {
		w.startAgent(i)
	}
	return w
}

func size() spar.Size { return spar.Size{CPUMilli: 4000, MemoryMB: 4000} }

func (w *deployment) common(program, name string) common.Common {
	logger := log.With(log.NewLogfmtLogger(w.debug), "t", log.Valuer(func() any { return time.Now().Format("05.000") }), "program", program, "name", name)
	return common.Common{Logger: logger, Scope: tally.NoopScope, Tracer: noop.NewTracerProvider().Tracer(""), Ring: &event.Ring{}, Health: &common.Health{}}
}

// faultyLog is the log as one process reaches it; it may be cut off.
type faultyLog struct {
	*logs.Log
	w    *deployment
	name string
}

func (g faultyLog) cut() bool {
	v, ok := g.w.logCut.Load(g.name)
	return ok && v.(bool)
}

func (g faultyLog) Append(ctx context.Context, data []byte) (int64, error) {
	if g.cut() {
		return 0, sleepContext(ctx, time.Hour)
	}
	offset, ok := g.Log.Append(ctx, data)
	if !ok {
		return 0, errors.Mark(errors.New("no answer"), spar.ErrUnavailable)
	}
	return offset, nil
}

func (g faultyLog) Read(ctx context.Context, from int64, poll time.Duration) (spar.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	if g.cut() {
		return spar.Page{}, sleepContext(ctx, time.Hour)
	}
	oldest, head, data, gone, ok := g.Log.Read(ctx, from, poll)
	if !ok || g.cut() {
		return spar.Page{}, errors.Mark(errors.New("no answer"), spar.ErrUnavailable)
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

// startEntry starts an entry at an address that agents have in their settings. A
// replacement uses the address of the entry that it replaces.
func (w *deployment) startEntry(address string) *process {
	w.started++
	p := &process{name: fmt.Sprintf("e%d", w.started), address: address, up: true}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	c := w.common("entry", p.name)
	t := tail.NewTail(tail.DefaultSettings(), faultyLog{w.log, w, p.name}, fold.NewState(0, fleet.CheckBody))
	v := member.NewView(p.name, w.terms)
	a := agents.NewTable()
	r := rules.NewRules(c, t)
	client := w.net.client(p.name)
	s := peers.NewPeers(c, p.name, p.address, w.terms, t, v, a, client)
	n := plan.NewPlanner(c, p.name, w.terms, t, a, s, r, client)
	k := watch.NewWatcher(c, watch.DefaultSettings(), p.name, w.terms, t, v, a, s)
	server := entryctrl.NewServer(c, p.name, w.terms, t, v, a, r, func(session string, missing []spar.TaskID) { n.ResendMissing(ctx, session, missing) })
	t.OnFresh(func(f *fold.State, sent time.Time) {
		v.ApplyState(f, time.Now())
		v.RecordRead(sent)
	})
	m := http.NewServeMux()
	m.Handle(wire.NewEntryHandler(server))
	w.net.listen(p.address, m)
	p.tail, p.view = t, v
	p.ends = []<-chan error{t.Run(ctx), s.Run(ctx), n.Run(ctx), k.Run(ctx), w.registerWhenFresh(ctx, s, t)}
	p.drain = func(ctx context.Context) {
		server.Leave()
		s.AnnounceDeparture(ctx)
	}
	w.entries = append(w.entries, p)
	return p
}

func (w *deployment) registerWhenFresh(ctx context.Context, s *peers.Peers, t *tail.Tail) <-chan error {
	done := make(chan error, 1)
	go func() {
		for t.FreshAt().IsZero() && sleepContext(ctx, 5*time.Millisecond) == nil {
		}
		done <- s.Register(ctx)
	}()
	return done
}

// faultyPlatform is the worker API as an agent reaches it: calls are delayed but
// still take effect, and responses are lost.
type faultyPlatform struct {
	w      *deployment
	worker *work.Worker
	name   string
}

func call[T any](ctx context.Context, s faultyPlatform, f func() T) (T, error) {
	done := make(chan T, 1)
	w := s.w
	w.net.mu.Lock()
	lost := w.net.random.Float64() < w.net.lossShare
	w.net.mu.Unlock()
	go func() {
		if until, ok := w.heldUntil.Load(s.name); ok {
			time.Sleep(time.Until(until.(time.Time)))
		}
		done <- f()
	}()
	var zero T
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	select {
	case v := <-done:
		if lost {
			return zero, spar.ErrUnavailable
		}
		return v, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}

func (s faultyPlatform) Start(ctx context.Context, q spar.Start) (spar.TaskStatus, error) {
	return call(ctx, s, func() spar.TaskStatus { return s.worker.Start(q) })
}

func (s faultyPlatform) Renew(ctx context.Context, until time.Duration, ids []spar.TaskID) error {
	_, err := call(ctx, s, func() int { s.worker.Renew(until, ids); return 0 })
	return err
}

func (s faultyPlatform) Throttle(ctx context.Context, id spar.TaskID, cpu int64) error {
	_, err := call(ctx, s, func() spar.TaskStatus { return s.worker.Throttle(id, cpu) })
	return err
}

func (s faultyPlatform) Checkpoint(ctx context.Context, id spar.TaskID) (spar.TaskStatus, error) {
	return call(ctx, s, func() spar.TaskStatus { return s.worker.Checkpoint(id) })
}

func (s faultyPlatform) Stop(ctx context.Context, id spar.TaskID, save bool) (spar.TaskStatus, error) {
	return call(ctx, s, func() spar.TaskStatus { return s.worker.Stop(id, save) })
}

func (s faultyPlatform) List(ctx context.Context) (spar.Listing, error) {
	return call(ctx, s, s.worker.List)
}

func (s faultyPlatform) Clear(ctx context.Context, id spar.TaskID) error {
	_, err := call(ctx, s, func() int { s.worker.Clear(id); return 0 })
	return err
}

func (w *deployment) startAgent(i int) *process {
	w.started++
	p := &process{name: fmt.Sprintf("w%d", i+1), address: fmt.Sprintf("a%d", w.started), worker: i, up: true}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	c := w.common("agent", p.name)
	place := tasks.Identity{Worker: p.name, Domain: w.domains[i%len(w.domains)], Session: fmt.Sprintf("%s-s%d", p.name, w.started)}
	h := &lease.Holder{}
	l := ledger.NewLedger(size())
	r := tasks.NewRunner(c, place, w.terms, faultyPlatform{w, w.workers[i], p.name}, l, h)
	self := func() *wire.RenewRequest {
		return &wire.RenewRequest{
			Session: place.Session, Worker: place.Worker, Domain: place.Domain, ControlAddress: p.address,
			Total: wire.SizeOf(l.Total()), Free: wire.SizeOf(l.Free(time.Now())), Load: &wire.Load{},
			Running: r.ActiveAttempts(), Leaving: r.IsLeaving(), Ready: r.IsReady(),
		}
	}
	n := renew.NewRenewer(c, r, h, p.name, 500*time.Millisecond, w.terms.Start(), w.addresses(), self, w.net.client(p.address))
	m := http.NewServeMux()
	m.Handle(wire.NewAgentHandler(ctrl.NewServer(r, p.name)))
	w.net.listen(p.address, m)
	p.runner = r
	p.ends = []<-chan error{r.WatchTasks(ctx), p.recordFenced(n.Run(ctx))}
	p.drain = func(ctx context.Context) {
		r.SetLeaving()
		r.EvictAll(ctx, spar.ReasonLeaving)
		n.SendReport(ctx)
	}
	w.agents = append(w.agents, p)
	return p
}

func (w *deployment) addresses() []string {
	var out []string
	for _, e := range w.entries {
		if e.up {
			out = append(out, e.address)
		}
	}
	return out
}

// stop ends a process at once; requests that it has sent are still delivered.
func (w *deployment) stop(p *process) {
	p.up = false
	p.cancel()
	w.net.close(p.address)
	for _, e := range p.ends {
		<-e
	}
}

// replaceExpelled restarts expelled entries under a new name, as the daemon does.
func (w *deployment) replaceExpelled() {
	for _, p := range w.up(w.entries) {
		if p.view.IsExpelled() {
			w.stop(p)
			w.startEntry(p.address)
		}
	}
}

// replaceFenced restarts agents whose session was fenced under a new session, as
// the daemon does.
func (w *deployment) replaceFenced() {
	for _, p := range w.up(w.agents) {
		if p.fenced.Load() {
			w.stop(p)
			w.startAgent(p.worker)
		}
	}
}

// recordFenced forwards the result of the renewals and records whether the session
// was fenced.
func (p *process) recordFenced(renewed <-chan error) <-chan error {
	done := make(chan error, 1)
	go func() {
		err := <-renewed
		p.fenced.Store(errors.Is(err, renew.ErrFenced))
		done <- err
	}()
	return done
}

func (w *deployment) close() {
	for _, p := range append(w.entries, w.agents...) {
		if p.up {
			w.stop(p)
		}
	}
}

func (w *deployment) up(all []*process) []*process {
	var out []*process
	for _, p := range all {
		if p.up {
			out = append(out, p)
		}
	}
	return out
}
