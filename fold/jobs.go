package fold

import (
	"bytes"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/wire"
)

func (s *State) submit(offset int64, id []byte, spec *wire.Spec) Outcome {
	if spec.GetTasks() == 0 || spec.GetTasks() > MaxTasks || spec.GetSize() == nil {
		return void(spar.ReasonInvalid)
	}
	if spec.GetRunMs() < 0 || spec.GetSize().GetCpuMilli() < 0 || spec.GetSize().GetMemoryMb() < 0 || spec.GetSize().GetAccelerators() < 0 {
		return void(spar.ReasonInvalid)
	}
	if s.jobs[spec.GetJob()] != nil {
		return void(spar.ReasonDuplicate)
	}
	j := newJob(bytes.Clone(id), offset, spec)
	s.jobs[spec.GetJob()] = j
	s.index.add(j)
	return valid()
}

func (s *State) claim(c *wire.Claim) Outcome {
	j, t := s.task(c.GetTask())
	if t == nil {
		return void(spar.ReasonUnknownTask)
	}
	if j.cancelled {
		return void(spar.ReasonCancelled)
	}
	if t.phase != wire.Phase_PHASE_WAITING {
		return void(spar.ReasonWrongPhase)
	}
	if c.GetTask().GetAttempt() != t.attempt+1 {
		return void(spar.ReasonWrongAttempt)
	}
	if s.fences[c.GetSession()] != nil {
		return void(spar.ReasonFenced)
	}
	t.attempt++
	t.lapsed = false
	t.worker = c.GetWorker()
	t.session = c.GetSession()
	t.reason = ""
	s.index.setPhase(j, c.GetTask().GetIndex(), wire.Phase_PHASE_RUNNING)
	return valid()
}

// reportableTask returns the task that r names if a report about the attempt may
// still count: the attempt is the newest one, and it is open or was closed by a
// lapse only. So work that a disconnected worker has finished is not repeated,
// unless a later attempt was claimed meanwhile.
func (s *State) reportableTask(r *wire.TaskRef) (*Job, *Task, Outcome) {
	j, t := s.task(r)
	if t == nil {
		return nil, nil, void(spar.ReasonUnknownTask)
	}
	if t.attempt != r.GetAttempt() {
		return nil, nil, void(spar.ReasonWrongAttempt)
	}
	if t.phase != wire.Phase_PHASE_RUNNING && !t.lapsed {
		return nil, nil, void(spar.ReasonWrongPhase)
	}
	return j, t, valid()
}

func (s *State) end(e *wire.End) Outcome {
	j, t, o := s.reportableTask(e.GetTask())
	if !o.IsValid() {
		return o
	}
	i := e.GetTask().GetIndex()
	t.lapsed = false
	t.reason = e.GetReason()
	if e.GetOk() {
		s.index.setPhase(j, i, wire.Phase_PHASE_DONE)
		return valid()
	}
	t.failures++
	t.crashedOn = t.worker
	switch {
	case !j.spec.GetRepeatable():
		s.index.setPhase(j, i, wire.Phase_PHASE_UNKNOWN)
	case t.failures >= MaxCrashes:
		s.index.setPhase(j, i, wire.Phase_PHASE_SET_ASIDE)
		t.reason = string(spar.ReasonCrashes)
	default:
		s.reopen(j, i)
	}
	return valid()
}

func (s *State) evict(e *wire.Evict) Outcome {
	j, t, o := s.reportableTask(e.GetTask())
	if !o.IsValid() {
		return o
	}
	t.lapsed = false
	t.reason = e.GetReason()
	if e.GetCheckpoint() != "" {
		t.checkpoint = e.GetCheckpoint()
		t.progressMS = e.GetProgressMs()
	}
	if !j.spec.GetRepeatable() && e.GetLostUs() > 0 {
		s.index.setPhase(j, e.GetTask().GetIndex(), wire.Phase_PHASE_UNKNOWN)
		return valid()
	}
	s.reopen(j, e.GetTask().GetIndex())
	return valid()
}

// reopen returns a task to the waiting phase, or cancels it if the job is
// cancelled.
func (s *State) reopen(j *Job, i uint32) {
	if j.cancelled {
		s.index.setPhase(j, i, wire.Phase_PHASE_CANCELLED)
		return
	}
	s.index.setPhase(j, i, wire.Phase_PHASE_WAITING)
}

func (s *State) cancel(c *wire.Cancel) Outcome {
	j := s.jobs[c.GetJob()]
	if j == nil {
		return void(spar.ReasonUnknownJob)
	}
	if j.cancelled {
		return void(spar.ReasonDuplicate)
	}
	j.cancelled = true
	for i := range j.tasks {
		if j.tasks[i].phase == wire.Phase_PHASE_WAITING {
			s.index.setPhase(j, uint32(i), wire.Phase_PHASE_CANCELLED)
		}
	}
	return valid()
}

func (s *State) fence(f *wire.Fence) Outcome {
	if s.fences[f.GetSession()] != nil {
		return void(spar.ReasonDuplicate)
	}
	s.fences[f.GetSession()] = &Fence{session: f.GetSession(), worker: f.GetWorker(), reason: f.GetReason()}
	return valid()
}

func (s *State) lapse(l *wire.Lapse) Outcome {
	f := s.fences[l.GetSession()]
	if f == nil {
		return void(spar.ReasonNotFenced)
	}
	if f.lapsed {
		return void(spar.ReasonDuplicate)
	}
	f.lapsed = true
	for _, id := range s.Running(l.GetSession()) {
		s.lapseTask(s.jobs[id.Job], id.Index)
	}
	return valid()
}

// lapseTask closes an attempt on a lapsed session. If the task is not repeatable,
// its outcome is unknown, also when an earlier attempt left a checkpoint: nobody
// can prove how far the attempt got. A late report may still settle the outcome.
func (s *State) lapseTask(j *Job, i uint32) {
	t := &j.tasks[i]
	t.lapsed = true
	if !j.spec.GetRepeatable() {
		t.reason = string(spar.ReasonOutcomeUnknown)
		s.index.setPhase(j, i, wire.Phase_PHASE_UNKNOWN)
		return
	}
	t.reason = string(spar.ReasonSilent)
	s.reopen(j, i)
}
