package shard_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/link"
	"github.com/berylspar/spar/shard"
	"github.com/vmihailenco/msgpack/v5"
)

// fakeNode is an agent with its worker, which carries out all orders.
type fakeNode struct {
	name    string
	running map[spar.TaskRef]int64
	ended   []spar.Ended
	number  int64
}

// fakeNodes are the workers of a harness. They check that no task starts while it runs,
// or after a successful end that was acknowledged.
type fakeNodes struct {
	*harness
	random *rand.Rand
	nodes  []*fakeNode
	acked  map[spar.TaskRef]bool
	starts int
	// saved is the checkpoint of each running task.
	saved string
}

func newFakeNodes(h *harness, seed uint64, count int) *fakeNodes {
	f := &fakeNodes{harness: h, random: rand.New(rand.NewPCG(seed, 11)), acked: map[spar.TaskRef]bool{}}
	for i := range count {
		f.nodes = append(f.nodes, &fakeNode{name: fmt.Sprintf("n%d", i), running: map[spar.TaskRef]int64{}})
	}
	f.connectAll()
	return f
}

// connectAll opens new sessions, which list everything on the workers.
func (f *fakeNodes) connectAll() {
	for _, n := range f.nodes {
		f.token++
		f.tokens[n.name] = f.token
		i := info(spar.Life{ID: "i-" + n.name, Born: 1})
		i.Size = spar.Size{CPUMilli: 1 << 20, MemoryMB: 1 << 20}
		f.scheduler.Connect(n.name, i, f.token, nil, f.now)
		f.reportNode(n, true)
		f.scheduler.GrantLease(n.name, f.token, f.now)
	}
}

func (f *fakeNodes) reportNode(n *fakeNode, complete bool) {
	m := &link.AgentMessage{Heartbeat: 1, Complete: complete, Ended: n.ended}
	for t, r := range n.running {
		m.Running = append(m.Running, spar.Running{Task: t, Run: r, Percent: f.random.IntN(90), Checkpoint: f.saved})
	}
	f.report(n.name, m)
}

// deliver carries out the owner's messages.
func (f *fakeNodes) deliver(messages map[string]*link.OwnerMessage) {
	f.Helper()
	for _, n := range f.nodes {
		m := messages[n.name]
		if m == nil {
			continue
		}
		for _, o := range m.Starts {
			f.start(n, o)
		}
		for _, s := range m.Stops {
			if n.running[s.Task] == s.Run {
				n.end(s.Task, spar.EndStopped)
			}
		}
		n.ended = slices.DeleteFunc(n.ended, func(e spar.Ended) bool {
			if e.Number <= m.Acked && e.Ending == spar.EndDone {
				f.acked[e.Task] = true
			}
			return e.Number <= m.Acked
		})
	}
}

func (f *fakeNodes) start(n *fakeNode, o spar.StartOrder) {
	f.Helper()
	if f.acked[o.Task] {
		f.Fatalf("run %d of task %s starts after its acknowledged end", o.Run, o.Task)
	}
	for _, other := range f.nodes {
		if run, ok := other.running[o.Task]; ok {
			f.Fatalf("run %d of task %s starts on %s while run %d is on %s", o.Run, o.Task, n.name, run, other.name)
		}
	}
	n.running[o.Task] = o.Run
	f.starts++
}

func (n *fakeNode) end(t spar.TaskRef, how spar.Ending) {
	n.number++
	n.ended = append(n.ended, spar.Ended{Number: n.number, Task: t, Run: n.running[t], Ending: how})
	delete(n.running, t)
}

// endShare ends a share of the runs on all workers successfully, with the whole gang if
// the job is one.
func (f *fakeNodes) endShare(share float64) {
	for _, n := range f.nodes {
		tasks := make([]spar.TaskRef, 0, len(n.running))
		for t := range n.running {
			tasks = append(tasks, t)
		}
		slices.SortFunc(tasks, func(a, b spar.TaskRef) int { return cmp.Compare(a.String(), b.String()) })
		for _, t := range tasks {
			if f.random.Float64() < share {
				n.end(t, spar.EndDone)
			}
		}
	}
}

// step lets time pass, ends some runs and runs a cycle of the owner. With cut set the
// owner ends after a part of the records of its commit, and another one takes over.
func (f *fakeNodes) step(cut bool) {
	f.Helper()
	f.advance(300 * time.Millisecond)
	f.endShare(0.2)
	for _, n := range f.nodes {
		f.reportNode(n, false)
		f.scheduler.GrantLease(n.name, f.tokens[n.name], f.now)
	}
	if !cut {
		f.deliver(f.runCycle())
		return
	}
	f.scheduler.Tick(f.now, f.now)
	f.scheduler.Plan(f.now)
	c := f.scheduler.PrepareCommit()
	f.storeRecords(c.Records[:f.random.IntN(len(c.Records)+1)])
	f.replaceOwner(12 * time.Second)
	f.connectAll()
}

// takeOver replaces the owner between two commits.
func (f *fakeNodes) takeOver() {
	f.replaceOwner(12 * time.Second)
	f.connectAll()
}

var tinyStep = spar.Step{Size: spar.Size{CPUMilli: 1, MemoryMB: 1}, Estimate: time.Second}

func tinySteps(counts ...int) []spar.Step {
	var out []spar.Step
	for i, n := range counts {
		s := tinyStep
		s.Count = n
		if i > 0 {
			s.After = []int{i - 1}
		}
		out = append(out, s)
	}
	return out
}

// largeJobs are jobs whose progress does not fit into one record of the store.
var largeJobs = []struct {
	name  string
	job   spar.Job
	saved string
	// rounds bounds the cycles until the job is complete.
	rounds int
	seeds  uint64
}{
	{"many tasks at once", spar.Job{Steps: tinySteps(9000)}, "", 150, 3},
	{"largest job with checkpoints", spar.Job{Steps: tinySteps(spar.MaxTasks)}, strings.Repeat("c", 64), 250, 1},
	{"long checkpoints", spar.Job{Steps: tinySteps(600)}, strings.Repeat("c", 20_000), 150, 3},
	{"a checkpoint beyond a record", spar.Job{Steps: tinySteps(40)}, strings.Repeat("c", 300_000), 150, 2},
	{"many steps", spar.Job{Steps: tinySteps(slices.Repeat([]int{3, 50}, 20)...)}, "", 2000, 2},
	{"many occurrences", spar.Job{Steps: tinySteps(2, 1), Times: 3000, Interval: time.Millisecond}, "", 200, 2},
}

// A job is accepted whatever the size of its progress. All its records must fit into the
// store, owners that end between the appends of a commit must leave it whole, and
// nothing of it may stay in the store after its retention.
func TestJobsLargerThanARecordAreCarriedToTheirEnd(t *testing.T) {
	for _, tt := range largeJobs {
		for seed := range tt.seeds {
			t.Run(fmt.Sprintf("%s/seed=%d", tt.name, seed), func(t *testing.T) {
				h := newHarness(t)
				f := newFakeNodes(h, seed, 4)
				f.saved = tt.saved
				j := tt.job
				j.ID, j.Queue, j.First, j.Accepted = "5c0e7a21d94b36f8", "checks", h.now, h.now
				h.jobs[j.ID] = shard.EncodeJob(j)
				h.scheduler.Submit(j, h.now)
				for round := 0; h.stateOf(j.ID) != shard.Completed; round++ {
					if round > tt.rounds {
						t.Fatalf("not complete after %d rounds: %d starts, %d done", round, f.starts, len(f.acked))
					}
					f.step(f.random.IntN(8) == 0)
					if f.random.IntN(20) == 0 {
						f.takeOver()
					}
				}
				f.takeOver()
				h.expectState(j.ID, shard.Completed)
				h.advance(limits.Retention + time.Second)
				h.scheduler.ForgetJobs(h.scheduler.ExpiredJobs(10, h.now))
				h.runCycle()
				if len(h.state) != 0 {
					t.Fatalf("%d records are left", len(h.state))
				}
			})
		}
	}
}

// stateOf returns the state of a job.
func (h *harness) stateOf(id string) shard.State {
	s, _ := h.scheduler.JobState(id)
	return s
}

// One end of a gang stands for all its tasks. An owner that ends after storing a part
// of the gang as done must not have the rest started again, even if no worker lists an
// end any more.
func TestGangStoredInPartIsDone(t *testing.T) {
	const id = "5c0e7a21d94b36f8"
	h := newHarness(t)
	f := newFakeNodes(h, 1, 4)
	steps := tinySteps(70, 1000)
	steps[0].Gang = true
	h.submit(id, "checks", steps...)
	f.saved = strings.Repeat("c", 3000)
	for range 10 {
		f.advance(300 * time.Millisecond)
		for _, n := range f.nodes {
			f.reportNode(n, false)
		}
		f.deliver(h.runCycle())
	}
	f.endShare(1)
	for _, n := range f.nodes {
		f.reportNode(n, false)
	}
	c := h.scheduler.PrepareCommit()
	if r := c.Records[0]; !strings.HasPrefix(r.Key, "#tasks/"+id) {
		t.Fatalf("first record is %q, want a part", r.Key)
	}
	h.storeRecords(c.Records[:1])
	for _, n := range f.nodes {
		n.ended = nil
	}
	f.takeOver()
	for _, o := range starts(h.runCycle()) {
		if o.Task.Step == 0 {
			t.Fatalf("run %d of task %s of the gang starts", o.Run, o.Task)
		}
	}
}

// A job that an earlier build has stored as one large record goes on, and is stored in
// parts from then on, also if the owner ends while it writes them.
func TestLargeRecordOfTheEarlierBuildIsSplit(t *testing.T) {
	const id, count = "5c0e7a21d94b36f8", 3000
	for seed := range uint64(8) {
		h := newHarness(t)
		h.submit(id, "checks", tinySteps(count)...)
		f := newFakeNodes(h, seed, 4)
		var p earlierProgress
		p.State = string(shard.Active)
		p.Occurs = slices.Grow(p.Occurs, 1)[:1]
		for i := range count {
			row := slices.Grow(p.Occurs[0].Tasks, 1)[:1][0]
			row.Index, row.Last, row.Done = i, 1, i%3 == 0 || i < 640
			if !row.Done {
				n := f.nodes[i%4]
				row.Runs = slices.Grow(row.Runs, 1)[:1]
				row.Runs[0].Number, row.Runs[0].Node, row.Runs[0].Life, row.Runs[0].Born = 1, n.name, "i-"+n.name, 1
				n.running[spar.TaskRef{Job: id, Index: i}] = 1
			} else {
				f.acked[spar.TaskRef{Job: id, Index: i}] = true
			}
			p.Occurs[0].Tasks = append(p.Occurs[0].Tasks, row)
		}
		value, err := msgpack.Marshal(&p)
		if err != nil {
			t.Fatal(err)
		}
		h.state[id] = value
		f.takeOver()
		for range 3 {
			f.step(true)
		}
		f.step(false)
		f.takeOver()
		for range 80 {
			f.step(false)
		}
		h.expectState(id, shard.Completed)
		if len(h.state[id]) > 100 || f.starts > 0 {
			t.Fatalf("the state has %d bytes and %d tasks were started again", len(h.state[id]), f.starts)
		}
	}
}

// The parts of a job that ends are dropped. An owner that ends before that leaves parts
// that must neither be loaded again nor stay in the store.
func TestPartsOfAnEndedJobAreDroppedAfterItsStateIsStored(t *testing.T) {
	const id = "5c0e7a21d94b36f8"
	h := newHarness(t)
	f := newFakeNodes(h, 1, 2)
	h.submit(id, "checks", tinySteps(2000)...)
	for range 5 {
		f.deliver(h.runCycle())
	}
	h.scheduler.Cancel(id, h.now)
	c := h.scheduler.PrepareCommit()
	if r := c.Records[0]; r.Key != id || len(c.Records) < 2 {
		t.Fatalf("%d records, the first is %q; want the state, then the parts", len(c.Records), r.Key)
	}
	h.storeRecords(c.Records[:2])
	f.takeOver()
	h.expectState(id, shard.Cancelled)
	for range 5 {
		f.deliver(h.runCycle())
		for _, n := range f.nodes {
			f.reportNode(n, false)
		}
	}
	for _, n := range f.nodes {
		if len(n.running) > 0 {
			t.Fatalf("%d tasks run on %s", len(n.running), n.name)
		}
	}
	if len(h.state) != 1 {
		t.Fatalf("%d records are left, want the state alone", len(h.state))
	}
}

// A worker with many runs crashes. The record of the crashes of a job with many tasks
// must fit into the store, and they must last through a takeover.
func TestCrashesOfManyTasksFitIntoTheStore(t *testing.T) {
	const id, node = "5c0e7a21d94b36f8", "n0"
	h := newHarness(t)
	newFakeNodes(h, 1, 1)
	h.submit(id, "checks", tinySteps(4000)...)
	for crashes := range 5 {
		h.expectState(id, shard.Queued)
		var lost []link.LostRun
		for range 5 {
			for _, o := range starts(h.runCycle()) {
				lost = append(lost, lostAt(o, time.Second))
			}
			// Orders without an answer are under way for a while.
			h.advance(300 * time.Millisecond)
		}
		if len(lost) != 4000 {
			t.Fatalf("%d starts after %d crashes, want 4000", len(lost), crashes)
		}
		h.crash(node, lost...)
		i := info(spar.Life{ID: fmt.Sprintf("i-%s-%d", node, h.lives), Born: h.lives + 1})
		i.Size = spar.Size{CPUMilli: 1 << 20, MemoryMB: 1 << 20}
		h.scheduler.UpdateWorker(node, h.tokens[node], i)
		c := h.scheduler.PrepareCommit()
		h.store(c)
		h.scheduler.FinishCommit(c, true)
		if crashes == 2 {
			h.replaceOwner(12 * time.Second)
			h.reconnect(node, spar.Life{ID: i.Life.ID, Born: i.Life.Born})
			h.scheduler.UpdateWorker(node, h.tokens[node], i)
		}
	}
	h.expectState(id, shard.Failed)
}

// A store that refuses the record of one job for its content must not stop the others.
// The job fails, with the reason for its callers, and the ends in the same commit are
// acknowledged only after that is stored.
func TestRefusedRecordFailsItsJobAlone(t *testing.T) {
	h := newHarness(t)
	h.connect("n1")
	a := h.submitAndStart("j1", "checks", shortStep(1))
	h.submit("j2", "checks", shortStep(1))
	h.report("n1", ended(7, a, spar.EndDone))
	h.scheduler.Plan(h.now)
	c := h.scheduler.PrepareCommit()
	var refused []spar.Record
	for _, r := range c.Records {
		if r.Key == "j2" {
			refused = append(refused, r)
		}
	}
	h.scheduler.RejectRecords(c, refused, h.now)
	m := h.scheduler.FinishCommit(c, true)
	h.expectStarts(m, 0)
	if m["n1"] != nil && m["n1"].Acked != 0 {
		t.Fatalf("end %d is acknowledged", m["n1"].Acked)
	}
	if m := h.runCycle(); m["n1"] == nil || m["n1"].Acked != 7 {
		t.Fatalf("messages %+v, want the acknowledgement of end 7", m)
	}
	h.expectState("j1", shard.Completed)
	h.expectState("j2", shard.Failed)
	if reason := h.scheduler.JobFailure("j2"); !strings.Contains(reason, "refused by the store") {
		t.Fatalf("failure %q", reason)
	}
}
