package fold

import (
	"maps"
	"slices"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/wire"
)

// index answers frequent queries of planners without a scan of all jobs. It is
// derived from the jobs and not part of the agreed state.
type index struct {
	// waiting holds the jobs with a waiting task.
	waiting map[string]*Job
	// running holds the running tasks of each agent session.
	running map[string]map[spar.TaskID]struct{}
	// usage is the total declared size of the running tasks of each team.
	usage map[string]spar.Size
}

func newIndex() index {
	return index{waiting: map[string]*Job{}, running: map[string]map[spar.TaskID]struct{}{}, usage: map[string]spar.Size{}}
}

// add adds a job with all its tasks.
func (x *index) add(j *Job) {
	j.counts = [phaseCount]int{}
	for i := range j.tasks {
		t := &j.tasks[i]
		j.counts[t.phase]++
		if t.phase == wire.Phase_PHASE_RUNNING {
			x.addRunning(j, uint32(i))
		}
	}
	x.updateWaiting(j)
}

func (x *index) remove(j *Job) {
	for i := range j.tasks {
		if j.tasks[i].phase == wire.Phase_PHASE_RUNNING {
			x.removeRunning(j, uint32(i))
		}
	}
	delete(x.waiting, j.spec.GetJob())
}

// setPhase changes the phase of a task. The task's attempt and session must be
// those of the attempt that starts or stops running.
func (x *index) setPhase(j *Job, i uint32, phase wire.Phase) {
	t := &j.tasks[i]
	if t.phase == phase {
		return
	}
	if t.phase == wire.Phase_PHASE_RUNNING {
		x.removeRunning(j, i)
	}
	j.counts[t.phase]--
	t.phase = phase
	j.counts[phase]++
	if phase == wire.Phase_PHASE_RUNNING {
		x.addRunning(j, i)
	}
	x.updateWaiting(j)
}

// updateWaiting updates waiting after a change of a job's phase counts.
func (x *index) updateWaiting(j *Job) {
	if j.counts[wire.Phase_PHASE_WAITING] > 0 {
		x.waiting[j.spec.GetJob()] = j
		return
	}
	delete(x.waiting, j.spec.GetJob())
}

func (x *index) addRunning(j *Job, i uint32) {
	t := &j.tasks[i]
	tasks := x.running[t.session]
	if tasks == nil {
		tasks = map[spar.TaskID]struct{}{}
		x.running[t.session] = tasks
	}
	tasks[spar.TaskID{Job: j.spec.GetJob(), Index: i, Attempt: t.attempt}] = struct{}{}
	x.usage[j.spec.GetTeam()] = x.usage[j.spec.GetTeam()].Add(j.spec.GetSize().Spar())
}

func (x *index) removeRunning(j *Job, i uint32) {
	t := &j.tasks[i]
	tasks := x.running[t.session]
	delete(tasks, spar.TaskID{Job: j.spec.GetJob(), Index: i, Attempt: t.attempt})
	if len(tasks) == 0 {
		delete(x.running, t.session)
	}
	x.usage[j.spec.GetTeam()] = x.usage[j.spec.GetTeam()].Sub(j.spec.GetSize().Spar())
}

// EachWaiting calls f for each job with a waiting task, in no particular order.
func (s *State) EachWaiting(f func(*Job)) {
	for _, j := range s.index.waiting {
		f(j)
	}
}

// Running returns the running tasks that are claimed for a session, in no
// particular order.
func (s *State) Running(session string) []spar.TaskID {
	return slices.Collect(maps.Keys(s.index.running[session]))
}

// IsRunning reports whether an attempt is claimed for a session and not closed.
func (s *State) IsRunning(session string, id spar.TaskID) bool {
	_, ok := s.index.running[session][id]
	return ok
}

// Sessions returns the sessions that running tasks are claimed for, in order.
func (s *State) Sessions() []string { return slices.Sorted(maps.Keys(s.index.running)) }

// Usage returns the total declared size of the running tasks of a team.
func (s *State) Usage(team string) spar.Size { return s.index.usage[team] }
