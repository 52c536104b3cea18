package shard_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/link"
	"github.com/berylspar/spar/shard"
)

// manyDue is a job whose occurrences, of one task each, are all due.
func manyDue(id string, times int) spar.Job {
	return spar.Job{ID: id, Queue: "plans", Steps: []spar.Step{shortStep(1)}, Times: times, First: time.Unix(60, 0), Interval: time.Millisecond}
}

// heapGrowth returns how much the live heap grows by a call.
func heapGrowth(f func()) int64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	f()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return int64(after.HeapAlloc) - int64(before.HeapAlloc)
}

// maxHeldBytes bounds the live heap of a scheduler that may hold 64 MB of jobs.
const maxHeldBytes = 80 << 20

// Accepted jobs may have far more tasks than an owner has memory for: occurrences that are
// due at once, or large jobs that an owner with more memory has accepted. The owner must not
// exceed its memory, whether it accepts them or restores them, and must serve all of them.
func TestJobsBeyondTheMemoryAreHeldInTurn(t *testing.T) {
	for name, list := range map[string]func(i int) spar.Job{
		"occurrences": func(i int) spar.Job { return manyDue(fmt.Sprintf("j%02d", i), spar.MaxTasks) },
		"tasks": func(i int) spar.Job {
			return spar.Job{ID: fmt.Sprintf("j%02d", i), Queue: "plans", Steps: []spar.Step{{Count: spar.MaxTasks, Size: spar.Size{CPUMilli: 2000}, Estimate: time.Second}}}
		},
		"steps": func(i int) spar.Job {
			j := spar.Job{ID: fmt.Sprintf("j%02d", i), Queue: "plans"}
			for range 10_000 {
				j.Steps = append(j.Steps, spar.Step{Count: 1, Size: spar.Size{CPUMilli: 2000}, Estimate: time.Second})
			}
			return j
		},
	} {
		for _, restored := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/restored=%v", name, restored), func(t *testing.T) {
				h := newHarness(t)
				h.now = time.Unix(1_000_000, 0)
				grown := heapGrowth(func() {
					for i := range 24 {
						if restored {
							h.scheduler.SubmitEarlier(list(i), h.now, h.now)
						} else {
							h.scheduler.Submit(list(i), h.now)
						}
					}
					if errs := h.scheduler.Restore(nil, h.now, h.now); len(errs) > 0 {
						t.Fatal(errs)
					}
					for range 20 {
						h.scheduler.Tick(h.now, h.now)
					}
				})
				t.Logf("%d MB", grown>>20)
				if grown > maxHeldBytes {
					t.Errorf("24 jobs take %d MB, want at most %d MB", grown>>20, maxHeldBytes>>20)
				}
				runtime.KeepAlive(h)
			})
		}
	}
}

// runAll lets all starts end at once and returns them.
func (h *harness) runAll(ends *int64) []spar.StartOrder {
	m := h.runCycle()
	all := starts(m)
	for node, d := range m {
		for _, o := range d.Starts {
			*ends++
			h.report(node, &link.AgentMessage{Outcomes: started(o).Outcomes, Ended: []spar.Ended{{Number: *ends, Task: o.Task, Run: o.Run, Ending: spar.EndDone}}})
		}
		h.scheduler.GrantLease(node, h.tokens[node], h.now)
	}
	h.advance(100 * time.Millisecond)
	return all
}

// Occurrences that wait for memory must each run once, also if owners change and hold
// others than the ones before them.
func TestOccurrencesThatWaitForMemoryRunOnce(t *testing.T) {
	const jobs, times = 3, 2500
	h := newHarness(t)
	h.now = time.Unix(1_000_000, 0)
	h.limit.HoldBytes = 1 << 20
	h.scheduler = shard.NewScheduler(h.limit, h.recordEvent)
	h.setRules()
	for i := range 4 {
		h.connect(fmt.Sprintf("n%d", i))
	}
	for i := range jobs {
		j := manyDue(fmt.Sprintf("j%d", i), times)
		h.jobs[j.ID] = shard.EncodeJob(j)
		h.scheduler.Submit(j, h.now)
	}
	runs, ends, served := map[spar.TaskRef]int{}, int64(0), map[string]bool{}
	for i := 0; len(runs) < jobs*times && i < 4000; i++ {
		if i%100 == 99 {
			h.replaceOwner(0)
			ends = 0
			for n := range 4 {
				h.lives++
				h.connectLife(fmt.Sprintf("n%d", n), spar.Life{ID: fmt.Sprintf("i-n%d-%d", n, h.lives), Born: h.lives})
			}
		}
		for _, o := range h.runAll(&ends) {
			runs[o.Task]++
			served[o.Task.Job] = true
			if runs[o.Task] > 1 {
				t.Fatalf("task %s started again after it was done", o.Task)
			}
		}
		if room := h.scheduler.Room(); room.Held > room.Capacity {
			t.Fatalf("pass %d: %d bytes held, want at most %d", i, room.Held, room.Capacity)
		}
		if i == 20 && len(served) < jobs {
			t.Errorf("after 20 passes only %d of %d jobs were served", len(served), jobs)
		}
	}
	h.runCycle()
	for i := range jobs {
		h.expectState(fmt.Sprintf("j%d", i), shard.Completed)
	}
}

// A job that must wait for memory must start once another one has ended, and one that
// needs little must not wait behind those that need much.
func TestJobsWaitForMemoryInTurn(t *testing.T) {
	h := newHarness(t)
	h.limit.HoldBytes = 4 << 20
	h.scheduler = shard.NewScheduler(h.limit, h.recordEvent)
	h.setRules()
	h.connect("n1")
	never := spar.Step{Count: 9000, Size: spar.Size{CPUMilli: 99_000}, Estimate: time.Second}
	for i := range 3 {
		h.submit(fmt.Sprintf("large%d", i), "plans", never)
	}
	h.submitAndStart("small", "checks", shortStep(1))
	if room := h.scheduler.Room(); room.Held <= room.Capacity {
		t.Fatalf("%s, want more held than there is", room)
	}
	h.submit("next", "plans", spar.Step{Count: 6000, Size: spar.Size{CPUMilli: 15_000}, Estimate: time.Second})
	h.expectStarts(h.runCycle(), 0)
	for i := range 3 {
		h.scheduler.Cancel(fmt.Sprintf("large%d", i), h.now)
	}
	h.runCycle()
	h.scheduler.SubmissionsDropped([]string{"large0", "large1", "large2"})
	if n := len(starts(h.runCycle())); n != 1 {
		t.Errorf("%d tasks of the job that waited for memory start, want 1", n)
	}
}

// What counts for jobs must not be less than what they take.
func TestFootprintCoversWhatJobsTake(t *testing.T) {
	for name, j := range map[string]spar.Job{
		"tasks":        {Steps: []spar.Step{{Count: 20_000}}},
		"steps":        {Steps: make([]spar.Step, 5_000)},
		"dependencies": {Steps: []spar.Step{{Count: 1}, {Count: 1, After: make([]int, 50_000)}}},
		"text":         {Spec: string(make([]byte, 4_000)), Steps: []spar.Step{{Count: 1}}},
	} {
		for i := range j.Steps {
			j.Steps[i].Count = max(j.Steps[i].Count, 1)
		}
		var all []spar.Job
		value := shard.EncodeJob(j)
		sc := shard.NewScheduler(shard.Limits{HoldBytes: 1 << 30}, func(shard.Event) {})
		grown := heapGrowth(func() {
			for i := range 10 {
				c, err := shard.DecodeJob(value)
				if err != nil {
					t.Fatal(err)
				}
				c.ID = fmt.Sprint(i)
				sc.Submit(c, time.Unix(1, 0))
			}
		})
		if held := sc.Room().Held; held < grown {
			t.Errorf("%s: %d bytes count for jobs that take %d", name, held, grown)
		}
		runtime.KeepAlive(all)
		runtime.KeepAlive(sc)
	}
}
