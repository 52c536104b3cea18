package shard_test

import (
	"testing"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/link"
	"github.com/berylspar/spar/shard"
	"github.com/berylspar/spar/triage"
)

// harness drives a Scheduler as an owner does, with a store that never fails.
type harness struct {
	testing.TB
	scheduler *shard.Scheduler
	now       time.Time
	tokens    map[string]int64
	token     int64
	// jobs and state hold the stored records that the next owner reads.
	jobs  map[string][]byte
	state map[string][]byte
	limit shard.Limits
	// ends holds the last end of a life that the agent of each node reports, and
	// lives counts the lives that endLife began.
	ends  map[string]link.LifeEnd
	lives int64
	// events are the decisions of all schedulers.
	events []shard.Event
}

var limits = shard.Limits{Lease: 5 * time.Second, MaxLease: 6 * time.Second, Retention: time.Minute}

func newHarness(t testing.TB) *harness {
	h := &harness{TB: t, now: time.Unix(1000, 0), tokens: map[string]int64{}, jobs: map[string][]byte{}, state: map[string][]byte{}, limit: limits, ends: map[string]link.LifeEnd{}, lives: 1}
	h.scheduler = shard.NewScheduler(limits, h.recordEvent)
	h.setRules()
	return h
}

// setOrder replaces the empty scheduler by one with another order.
func (h *harness) setOrder(p triage.Policy) {
	l := limits
	l.Order = p
	h.scheduler = shard.NewScheduler(l, h.recordEvent)
	h.setRules()
}

func (h *harness) recordEvent(e shard.Event) { h.events = append(h.events, e) }

func (h *harness) setRules() {
	h.scheduler.SetRules(&spar.Rules{Version: 1, Queues: []spar.Queue{
		{Name: "checks", Service: "desk", Priority: 0, MaxAttempts: 2, Stretch: 1.5, Slack: 250 * time.Millisecond},
		{Name: "plans", Service: "desk", Priority: 2, MaxAttempts: 3, Stretch: 2, Slack: time.Second},
		{Name: "watches", Service: "desk", Priority: 0, MaxAttempts: 3, Stretch: 2, Slack: time.Second},
	}})
}

// connect opens a session with a worker, which lists the given runs, and grants
// a lease.
func (h *harness) connect(node string, running ...spar.Running) {
	h.connectLife(node, spar.Life{ID: "i-" + node, Born: 1}, running...)
}

func (h *harness) connectLife(node string, life spar.Life, running ...spar.Running) {
	h.token++
	h.tokens[node] = h.token
	h.scheduler.Connect(node, info(life), h.token, nil, h.now)
	h.report(node, &link.AgentMessage{Complete: true, Running: running, Heartbeat: 1})
	h.scheduler.GrantLease(node, h.token, h.now)
}

func info(life spar.Life) spar.WorkerInfo {
	return spar.WorkerInfo{Life: life, Service: "desk", Domain: "sofia", Size: spar.Size{CPUMilli: 16000, MemoryMB: 64000}, Labels: []string{"a", "r1"}}
}

func (h *harness) report(node string, m *link.AgentMessage) {
	h.scheduler.HandleReport(node, h.tokens[node], m, h.now)
}

func (h *harness) submit(id, queue string, steps ...spar.Step) {
	j := spar.Job{ID: id, Queue: queue, Steps: steps, Accepted: h.now}
	h.jobs[id] = shard.EncodeJob(j)
	h.scheduler.Submit(j, h.now)
}

// submitAndStart submits a job and returns its start order; exactly one task
// must start.
func (h *harness) submitAndStart(id, queue string, steps ...spar.Step) spar.StartOrder {
	h.Helper()
	h.submit(id, queue, steps...)
	return h.expectStarts(h.runCycle(), 1)[0]
}

// runCycle plans, stores, and returns the messages to the agents by node.
func (h *harness) runCycle() map[string]*link.OwnerMessage {
	h.scheduler.Tick(h.now, h.now)
	h.scheduler.Plan(h.now)
	out := h.scheduler.StopAndPaceMessages()
	c := h.scheduler.PrepareCommit()
	h.store(c)
	for node, m := range h.scheduler.FinishCommit(c, true) {
		if out[node] == nil {
			out[node] = m
			continue
		}
		out[node].Starts, out[node].Acked = m.Starts, m.Acked
	}
	return out
}

// recordBytes is the largest value of a record that the harness stores.
const recordBytes = 255 << 10

func (h *harness) store(c *shard.Commit) { h.storeRecords(c.Records) }

func (h *harness) storeRecords(records []spar.Record) {
	h.Helper()
	for _, r := range records {
		if len(r.Value) > recordBytes {
			h.Fatalf("record %q has a value of %d bytes, at most %d", r.Key, len(r.Value), recordBytes)
		}
		if len(r.Value) == 0 {
			delete(h.state, r.Key)
			continue
		}
		h.state[r.Key] = r.Value
	}
}

func (h *harness) advance(d time.Duration) { h.now = h.now.Add(d) }

// replaceOwner replaces the scheduler by a new one restored from the stored
// records. Restored runs count as present for the given time.
func (h *harness) replaceOwner(wait time.Duration) {
	h.scheduler = shard.NewScheduler(h.limit, h.recordEvent)
	h.setRules()
	for _, v := range h.jobs {
		j, err := shard.DecodeJob(v)
		if err != nil {
			h.Fatal(err)
		}
		h.scheduler.SubmitEarlier(j, h.now, h.now)
	}
	if errs := h.scheduler.Restore(h.stateRecords(), h.now, h.now.Add(wait)); len(errs) > 0 {
		h.Fatal(errs)
	}
}

// stateRecords returns the stored records in no particular order.
func (h *harness) stateRecords() []spar.Record {
	var out []spar.Record
	for k, v := range h.state {
		out = append(out, spar.Record{Key: k, Value: v})
	}
	return out
}

func starts(m map[string]*link.OwnerMessage) (out []spar.StartOrder) {
	for _, d := range m {
		out = append(out, d.Starts...)
	}
	return out
}

func stops(m map[string]*link.OwnerMessage) (out []link.Stop) {
	for _, d := range m {
		out = append(out, d.Stops...)
	}
	return out
}

func (h *harness) expectStarts(m map[string]*link.OwnerMessage, n int) []spar.StartOrder {
	h.Helper()
	out := starts(m)
	if len(out) != n {
		h.Fatalf("%d starts ordered, want %d: %+v", len(out), n, out)
	}
	return out
}

func (h *harness) expectState(id string, want shard.State) {
	h.Helper()
	if got, ok := h.scheduler.JobState(id); !ok || got != want {
		h.Fatalf("job %s is %q (known %v), want %q", id, got, ok, want)
	}
}

// shortStep is a step of short tasks, as in urgent jobs.
func shortStep(n int) spar.Step {
	return spar.Step{Count: n, Size: spar.Size{CPUMilli: 250, MemoryMB: 500}, Estimate: time.Second}
}

func started(o spar.StartOrder) *link.AgentMessage {
	return &link.AgentMessage{Outcomes: []link.StartOutcome{{Task: o.Task, Run: o.Run, Result: spar.StartDone}}}
}

func ended(n int64, o spar.StartOrder, how spar.Ending) *link.AgentMessage {
	return &link.AgentMessage{Ended: []spar.Ended{{Number: n, Task: o.Task, Run: o.Run, Ending: how}}}
}
