package shard_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/link"
)

const (
	fleetTick = 50 * time.Millisecond
	// taskTime is how long a task that ends by itself runs.
	taskTime = 300 * time.Millisecond
)

// timeOf returns how long a run lasts. Those of hopeless jobs do not end together.
func (f *fleet) timeOf(r fleetRun) time.Duration {
	if d := f.times[r.task.Job]; d > 0 {
		return d
	}
	if r.isHopeless() {
		return taskTime + time.Duration(r.task.Index%20)*200*time.Millisecond
	}
	return taskTime
}

func (r fleetRun) isHopeless() bool { return strings.HasPrefix(r.task.Job, "bad") }

// fleet simulates workers with their agents: they carry out orders at once, list their
// runs each 300 ms, crash, and connect again. Tasks that are not standing end by
// themselves, and those of jobs whose ID begins with "bad" fail.
type fleet struct {
	*harness
	nodes []*fleetNode
	// times holds how long the tasks of a job run, if not taskTime.
	times map[string]time.Duration
}

type fleetNode struct {
	name      string
	size      spar.Size
	lives     int64
	up        bool
	runs      map[fleetRun]time.Time
	ended     []spar.Ended
	endNumber int64
	lifeEnds  []link.LifeEnd
	listedAt  time.Time
}

type fleetRun struct {
	task     spar.TaskRef
	run      int64
	standing bool
}

// newFleet returns a fleet of n workers with 16 processors each.
func newFleet(t testing.TB, n int) *fleet {
	f := &fleet{harness: newHarness(t)}
	for range n {
		f.add()
	}
	return f
}

// add adds a worker.
func (f *fleet) add() {
	n := &fleetNode{name: fmt.Sprintf("n%02d", len(f.nodes)), size: spar.Size{CPUMilli: 16000, MemoryMB: 64000}}
	f.nodes = append(f.nodes, n)
	f.begin(n)
}

// begin starts a life of a worker.
func (f *fleet) begin(n *fleetNode) {
	n.lives++
	n.up, n.runs, n.ended, n.endNumber = true, map[fleetRun]time.Time{}, nil, 0
	f.open(n)
}

// open opens a session.
func (f *fleet) open(n *fleetNode) {
	f.token++
	f.tokens[n.name] = f.token
	f.scheduler.RecordLifeEnds(n.name, n.lifeEnds, f.now)
	w := info(n.life())
	w.Size = n.size
	f.scheduler.Connect(n.name, w, f.token, nil, f.now)
	f.list(n, true)
}

func (n *fleetNode) life() spar.Life {
	return spar.Life{ID: fmt.Sprintf("i-%s-%d", n.name, n.lives), Born: n.lives}
}

// list reports the worker's runs.
func (f *fleet) list(n *fleetNode, complete bool) {
	n.listedAt = f.now
	m := &link.AgentMessage{Heartbeat: 1, Complete: complete, Ended: n.ended}
	for r, at := range n.runs {
		percent := 100
		if d := f.times[r.task.Job]; d > 0 {
			percent = int(100 * f.now.Sub(at) / d)
		}
		m.Running = append(m.Running, spar.Running{Task: r.task, Run: r.run, Percent: percent})
	}
	f.report(n.name, m)
	f.scheduler.GrantLease(n.name, f.tokens[n.name], f.now)
	n.ended = nil
}

// crash ends a worker's life. Its agent reports that with the next one.
func (f *fleet) crash(n *fleetNode) {
	e := link.LifeEnd{Life: n.life(), Crashed: true}
	for r, at := range n.runs {
		e.Runs = append(e.Runs, link.LostRun{Task: r.task, Run: r.run, Age: f.now.Sub(at)})
	}
	n.lifeEnds = append(n.lifeEnds, e)
	n.up, n.runs = false, map[fleetRun]time.Time{}
	f.scheduler.Disconnect(n.name, f.tokens[n.name])
}

// play runs the fleet for some time.
func (f *fleet) play(d time.Duration) {
	for range d / fleetTick {
		f.advance(fleetTick)
		for _, n := range f.nodes {
			if n.up {
				f.endTasks(n)
			}
		}
		for name, m := range f.runCycle() {
			i := slices.IndexFunc(f.nodes, func(n *fleetNode) bool { return n.name == name })
			if n := f.nodes[i]; n.up {
				f.carryOut(n, m)
			}
		}
	}
}

// endTasks ends the tasks of a worker that are done, and lists its runs when it is time.
func (f *fleet) endTasks(n *fleetNode) {
	for r, at := range n.runs {
		if r.standing || f.now.Sub(at) < f.timeOf(r) {
			continue
		}
		ending := spar.EndDone
		if r.isHopeless() {
			ending = spar.EndFailed
		}
		f.end(n, r, ending)
	}
	if len(n.ended) > 0 || f.now.Sub(n.listedAt) >= 300*time.Millisecond {
		f.list(n, false)
	}
}

func (f *fleet) end(n *fleetNode, r fleetRun, how spar.Ending) {
	n.endNumber++
	n.ended = append(n.ended, spar.Ended{Number: n.endNumber, Task: r.task, Run: r.run, Ending: how})
	delete(n.runs, r)
}

func (f *fleet) carryOut(n *fleetNode, m *link.OwnerMessage) {
	for _, o := range m.Starts {
		n.runs[fleetRun{o.Task, o.Run, strings.HasPrefix(o.Task.Job, "last")}] = f.now
		f.report(n.name, started(o))
	}
	for _, s := range m.Stops {
		for r := range n.runs {
			if r.task == s.Task && r.run == s.Run {
				f.end(n, r, spar.EndStopped)
			}
		}
	}
}

// endOne ends a run of a job by its own fault.
func (f *fleet) endOne(job string) {
	for _, n := range f.nodes {
		for r := range n.runs {
			if r.task.Job == job {
				f.end(n, r, spar.EndFailed)
				return
			}
		}
	}
}

// newest returns the worker with the run that was started last.
func (f *fleet) newest() *fleetNode {
	var newest *fleetNode
	var last time.Time
	for _, n := range f.nodes {
		for _, at := range n.runs {
			if n.up && at.After(last) {
				newest, last = n, at
			}
		}
	}
	return newest
}

// crashNewest crashes the worker with the run that was started last.
func (f *fleet) crashNewest() *fleetNode {
	n := f.newest()
	f.crash(n)
	return n
}

// silence cuts a worker off with its runs.
func (f *fleet) silence(n *fleetNode) {
	n.up = false
	f.scheduler.Disconnect(n.name, f.tokens[n.name])
}

// standingRuns counts the runs of standing tasks on workers in touch.
func (f *fleet) standingRuns() int {
	count := 0
	for _, n := range f.nodes {
		for r := range n.runs {
			if r.standing && n.up {
				count++
			}
		}
	}
	return count
}

// timeToRun plays until n standing tasks run and returns how long that took, or a minute.
func (f *fleet) timeToRun(n int) time.Duration {
	begun := f.now
	for f.standingRuns() < n && f.now.Sub(begun) < time.Minute {
		f.play(fleetTick)
	}
	return f.now.Sub(begun)
}
