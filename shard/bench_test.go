package shard_test

import (
	"testing"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/link"
	"github.com/berylspar/spar/shard"
)

// world drives a Core the way an owner does, with a store that is always there.
type world struct {
	*testing.T
	core   *shard.Core
	now    time.Time
	tokens map[string]int64
	token  int64
	// stored is what a next owner would read.
	jobs  map[string][]byte
	state map[string][]byte
	limit shard.Limits
}

var limits = shard.Limits{Lease: 5 * time.Second, MaxLease: 6 * time.Second, Keep: time.Minute}

func newWorld(t *testing.T) *world {
	w := &world{T: t, now: time.Unix(1000, 0), tokens: map[string]int64{}, jobs: map[string][]byte{}, state: map[string][]byte{}, limit: limits}
	w.core = shard.NewCore(limits, func(shard.Event) {})
	w.rules()
	return w
}

func (w *world) rules() {
	w.core.SetRules(&spar.Rules{Version: 1, Queues: []spar.Queue{
		{Name: "checks", Service: "desk", Priority: 0, MaxAttempts: 2, Stretch: 1.5, Slack: 250 * time.Millisecond},
		{Name: "plans", Service: "desk", Priority: 2, MaxAttempts: 3, Stretch: 2, Slack: time.Second},
		{Name: "watches", Service: "desk", Priority: 0, MaxAttempts: 3, Stretch: 2, Slack: time.Second},
	}})
}

// worker connects a worker and lists what it runs.
func (w *world) worker(node string, running ...spar.Running) {
	w.life(node, spar.Life{ID: "i-" + node, Born: 1}, running...)
}

func (w *world) life(node string, life spar.Life, running ...spar.Running) {
	w.token++
	w.tokens[node] = w.token
	w.core.Connect(node, info(life), w.token, nil, w.now)
	w.report(node, &link.Up{Listed: true, Running: running, Beat: 1})
	w.core.Grant(node, w.token, w.now)
}

func info(life spar.Life) spar.WorkerInfo {
	return spar.WorkerInfo{Life: life, Service: "desk", Domain: "sofia", Size: spar.Size{CPUMilli: 16000, MemoryMB: 64000}, Labels: []string{"a", "r1"}}
}

func (w *world) report(node string, m *link.Up) { w.core.Report(node, w.tokens[node], m, w.now) }

func (w *world) submit(id, queue string, steps ...spar.Step) {
	j := spar.Job{ID: id, Queue: queue, Steps: steps, Accepted: w.now}
	w.jobs[id] = shard.EncodeJob(j)
	w.core.Submit(j, w.now)
}

// begin submits a job of which one task can start.
func (w *world) begin(id, queue string, steps ...spar.Step) spar.StartOrder {
	w.Helper()
	w.submit(id, queue, steps...)
	return w.expectStarts(w.turn(), 1)[0]
}

// turn plans, stores, and returns the messages to the agents.
func (w *world) turn() map[string]*link.Down {
	w.core.Tick(w.now, w.now)
	w.core.Plan(w.now)
	out := w.core.Immediate()
	c := w.core.Prepare()
	w.store(c)
	for node, m := range w.core.Committed(c, true) {
		if out[node] == nil {
			out[node] = m
			continue
		}
		out[node].Starts, out[node].Acked = m.Starts, m.Acked
	}
	return out
}

func (w *world) store(c *shard.Commit) {
	for _, r := range c.Records {
		if len(r.Value) == 0 {
			delete(w.state, r.Key)
			continue
		}
		w.state[r.Key] = r.Value
	}
}

func (w *world) pass(d time.Duration) { w.now = w.now.Add(d) }

// takeover replaces the owner by one that reads what is stored.
func (w *world) takeover(ghosts time.Duration) {
	w.core = shard.NewCore(limits, func(shard.Event) {})
	w.rules()
	for _, v := range w.jobs {
		j, err := shard.DecodeJob(v)
		if err != nil {
			w.Fatal(err)
		}
		w.core.Submit(j, w.now)
	}
	for id, v := range w.state {
		if err := w.core.Restore(id, v, w.now, w.now.Add(ghosts)); err != nil {
			w.Fatal(err)
		}
	}
}

func starts(m map[string]*link.Down) (out []spar.StartOrder) {
	for _, d := range m {
		out = append(out, d.Starts...)
	}
	return out
}

func stops(m map[string]*link.Down) (out []link.Stop) {
	for _, d := range m {
		out = append(out, d.Stops...)
	}
	return out
}

func (w *world) expectStarts(m map[string]*link.Down, n int) []spar.StartOrder {
	w.Helper()
	out := starts(m)
	if len(out) != n {
		w.Fatalf("%d starts ordered, want %d: %+v", len(out), n, out)
	}
	return out
}

func (w *world) expectState(id string, want shard.State) {
	w.Helper()
	if got, ok := w.core.StateOf(id); !ok || got != want {
		w.Fatalf("job %s is %q (known %v), want %q", id, got, ok, want)
	}
}

// check is a step like those of short urgent jobs.
func check(n int) spar.Step {
	return spar.Step{Count: n, Size: spar.Size{CPUMilli: 250, MemoryMB: 500}, Estimate: time.Second}
}

func started(o spar.StartOrder) *link.Up {
	return &link.Up{Outcomes: []link.Outcome{{Task: o.Task, Run: o.Run, Result: spar.StartDone}}}
}

func ended(n int64, o spar.StartOrder, how spar.Ending) *link.Up {
	return &link.Up{Ended: []spar.Ended{{Number: n, Task: o.Task, Run: o.Run, Ending: how}}}
}
