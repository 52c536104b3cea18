package world_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/agent/hand"
	"github.com/berylspar/spar/common"
	"github.com/berylspar/spar/entry/config"
	"github.com/berylspar/spar/entry/owner"
	"github.com/berylspar/spar/event"
	"github.com/berylspar/spar/link"
	"github.com/berylspar/spar/shard"
	"github.com/berylspar/spar/stand/labor"
	"github.com/berylspar/spar/stand/store"
	"github.com/berylspar/spar/track"
	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace/noop"
)

// world is a deployment of the real owners and agents under fake time, with
// stand-ins for the store, the workers and the network.
type world struct {
	t       *testing.T
	ctx     context.Context
	random  *rand.Rand
	began   time.Time
	store   *store.Store
	net     *network
	record  *labor.Record
	out     io.Writer
	entries []*entry
	nodes   []*node

	mu   sync.Mutex
	jobs map[string]*job
	// closed is when each closed domain was closed.
	closed map[string]time.Time
	rules  int64
	later  []later
	// even has every task work for half a second and end well.
	even bool
}

// job is what the world knows of a job that was accepted.
type job struct {
	spar.Job
	cancelled time.Time
	hopeless  bool
}

type entry struct {
	name   string
	client *store.Client
	owner  *owner.Owner
	asker  *owner.Asker
	cancel context.CancelFunc
	ends   []<-chan error
	life   int
}

type node struct {
	name   string
	domain string
	worker *labor.Worker
	calls  *labor.Client
	client *store.Client
	beats  *hand.Beats
	cancel context.CancelFunc
	end    <-chan error
	seq    int64
}

const (
	queue = "work"
	topic = "op"
)

var workerSize = spar.Size{CPUMilli: 4000, MemoryMB: 8000}

func newWorld(ctx context.Context, t *testing.T, seed uint64, entries, nodes int, out io.Writer) *world {
	w := &world{
		t: t, ctx: ctx, random: rand.New(rand.NewPCG(seed, 5)), began: time.Now(), store: &store.Store{},
		net: newNetwork(), record: labor.NewRecord(), jobs: map[string]*job{}, closed: map[string]time.Time{}, out: out,
	}
	w.record.Attempts = 3
	w.record.Allowed = w.allowed
	w.publish()
	for i := range entries {
		e := &entry{name: fmt.Sprintf("e%d", i), client: store.NewClient(w.store, seed*100+uint64(i))}
		w.entries = append(w.entries, e)
		w.startEntry(e)
	}
	for i := range nodes {
		n := &node{name: fmt.Sprintf("n%d", i), domain: fmt.Sprintf("d%d", i%3), client: store.NewClient(w.store, seed*100+50+uint64(i))}
		n.worker = labor.NewWorker(n.name, workerSize, w.sizeOf, w.work, w.record)
		n.calls = labor.NewClient(n.worker, seed*100+70+uint64(i))
		w.nodes = append(w.nodes, n)
		w.startNode(n)
	}
	return w
}

func (w *world) common(name string) common.Common {
	l := log.With(log.NewLogfmtLogger(w.out), "t", log.Valuer(func() any { return time.Since(w.began) }), "name", name)
	return common.Common{Logger: l, Scope: tally.NoopScope, Tracer: noop.NewTracerProvider().Tracer(""), Ring: &event.Ring{}, Health: &common.Health{}}
}

// publish writes the rules the way an operator would.
func (w *world) publish() {
	w.rules++
	w.put(spar.Record{Key: "rules", Value: []byte{byte(w.rules)}})
}

func (w *world) put(r spar.Record) {
	if _, err := w.store.Append(topic, nil, []spar.Record{r}); err != nil {
		w.t.Fatal(err)
	}
}

func (w *world) decode(r spar.Record) (config.Change, error) {
	if r.Key == "rules" {
		return config.Change{Rules: &spar.Rules{
			Version: int64(r.Value[0]),
			Queues:  []spar.Queue{{Name: queue, Service: "desk", MaxAttempts: w.record.Attempts, Stretch: 2, Slack: time.Second}},
		}}, nil
	}
	return config.Change{Domain: strings.TrimPrefix(r.Key, "closed/"), Back: len(r.Value) == 0}, nil
}

func (w *world) startEntry(e *entry) {
	if e.cancel != nil {
		return
	}
	ctx, cancel := context.WithCancel(w.ctx)
	e.life++
	name := fmt.Sprintf("%s.%d", e.name, e.life)
	c := w.common(name)
	watch := config.NewWatch(c, e.client, topic, w.decode)
	clock := func() time.Duration { return time.Since(w.began) }
	e.owner = owner.NewOwner(c, ownerSettings(), e.client, nil, watch, name, link.Record{Agents: name, Peers: name}, w.net.listen(name), clock)
	e.asker = owner.NewAsker(c, e.owner, track.NewOwner(e.client, time.Second, func(error) {}))
	e.cancel, e.ends = cancel, []<-chan error{watch.Run(ctx), e.owner.Run(ctx)}
}

func ownerSettings() owner.Settings {
	s := owner.DefaultSettings()
	s.Partitions = store.Partitions
	return s
}

// killEntry ends an entry without a word to the others: its way to the store
// is cut before its context ends.
func (w *world) killEntry(e *entry) {
	if e.cancel == nil {
		return
	}
	e.client.SetFaults(store.Faults{Cut: true})
	w.net.setCut(fmt.Sprintf("%s.%d", e.name, e.life), true)
	w.stopEntry(e)
	e.client.SetFaults(store.Faults{})
}

func (w *world) stopEntry(e *entry) {
	if e.cancel == nil {
		return
	}
	e.cancel()
	for _, c := range e.ends {
		<-c
	}
	e.cancel = nil
}

func (w *world) startNode(n *node) {
	if n.cancel != nil {
		return
	}
	ctx, cancel := context.WithCancel(w.ctx)
	c := w.common(n.name)
	n.beats = hand.NewBeats(c, hand.Format{})
	h := hand.NewHand(c, n.name, n.beats, n.calls, n.client, w.net.dialer(n.name), func() time.Duration { return time.Since(w.began) })
	n.cancel, n.end = cancel, h.Run(ctx)
}

func (w *world) stopNode(n *node) {
	if n.cancel != nil {
		n.cancel()
		<-n.end
		n.cancel = nil
	}
}

// heartbeat has a worker report to its agent.
func (w *world) heartbeat(n *node) {
	life, up := n.worker.Life()
	if !up || n.cancel == nil {
		return
	}
	n.seq++
	n.beats.Take(hand.Report{Seq: n.seq, Address: n.name, Info: spar.WorkerInfo{Life: life, Service: "desk", Domain: n.domain, Size: workerSize}})
}

func (w *world) sizeOf(t spar.TaskRef) spar.Size {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.jobs[t.Job].Steps[t.Step].Size
}

// work draws how long a task works and how it ends.
func (w *world) work(t spar.TaskRef, _ int64) (time.Duration, spar.Ending) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.even {
		return 500 * time.Millisecond, spar.EndDone
	}
	took := time.Duration(200+w.random.IntN(3000)) * time.Millisecond
	if w.jobs[t.Job].hopeless || w.random.Float64() < 0.03 {
		return took, spar.EndFailed
	}
	return took, spar.EndDone
}

// allowed tells why a task must not start on a node now.
func (w *world) allowed(t spar.TaskRef, name string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	j := w.jobs[t.Job]
	if j == nil {
		return "nobody submitted it"
	}
	if !j.cancelled.IsZero() && time.Since(j.cancelled) > 3*time.Second+lateBy {
		return fmt.Sprintf("it was cancelled %s ago", time.Since(j.cancelled))
	}
	for _, s := range j.Steps[t.Step].After {
		for i := range j.Steps[s].Count {
			if !w.record.DoneLocked(spar.TaskRef{Job: t.Job, Step: s, Index: i}) {
				return fmt.Sprintf("step %d is not done", s)
			}
		}
	}
	for _, n := range w.nodes {
		if at, ok := w.closed[n.domain]; ok && n.name == name && time.Since(at) > 5*time.Second+lateBy {
			return fmt.Sprintf("its domain was closed %s ago", time.Since(at))
		}
	}
	return ""
}

// submit has an entry store a job. It is told of before, since a submission
// without an answer may have been stored.
func (w *world) submit(e *entry) {
	id := fmt.Sprintf("%016x", w.random.Uint64())
	steps := make([]spar.Step, 1+w.random.IntN(3))
	for i := range steps {
		steps[i] = spar.Step{Count: 1 + w.random.IntN(4), Size: spar.Size{CPUMilli: int64(300 + 100*w.random.IntN(8)), MemoryMB: 500}, Estimate: time.Second}
		if i > 0 {
			steps[i].After = []int{i - 1}
		}
	}
	j := &job{Job: spar.Job{ID: id, Queue: queue, Steps: steps, Policy: spar.Queue{Name: queue, Service: "desk", MaxAttempts: w.record.Attempts}}, hopeless: w.random.Float64() < 0.05}
	w.mu.Lock()
	w.jobs[id] = j
	w.mu.Unlock()
	go w.persist(e, func(ctx context.Context) error { return e.asker.Submit(ctx, j.Job) })
}

// persist repeats a write until it is answered, the way callers do.
func (w *world) persist(e *entry, write func(context.Context) error) {
	for w.ctx.Err() == nil {
		if e.cancel != nil && write(w.ctx) == nil {
			return
		}
		wait(w.ctx, 200*time.Millisecond)
	}
}

func (w *world) cancelSome(e *entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, j := range w.jobs {
		if j.cancelled.IsZero() {
			go w.persist(e, func(ctx context.Context) error {
				err := e.asker.Cancel(ctx, id)
				if err == nil {
					w.mu.Lock()
					j.cancelled = time.Now()
					w.mu.Unlock()
				}
				return err
			})
			return
		}
	}
}

// ownerNow returns the entry that serves as the owner, or nil.
func (w *world) ownerNow() *entry {
	for _, e := range w.entries {
		if e.cancel == nil {
			continue
		}
		if _, _, err := e.owner.Local("none"); err == nil {
			return e
		}
	}
	return nil
}

// open returns the jobs that have not come to their end.
func (w *world) open() []string {
	e := w.ownerNow()
	if e == nil {
		return []string{"no owner"}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for id, j := range w.jobs {
		s, known, err := e.owner.Local(id)
		switch {
		case err != nil || !known:
			out = append(out, fmt.Sprintf("%s: known %v, %v", id, known, err))
		case s == shard.Completed || s == shard.Failed:
		case s == shard.Cancelled && !j.cancelled.IsZero():
		default:
			out = append(out, id+": "+string(s))
		}
	}
	return out
}
