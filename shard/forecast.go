package shard

import (
	"time"

	"github.com/berylspar/spar/triage"
)

// forecast is what is likely left of an occurrence.
type forecast struct {
	// at is when it was made; zero if a task has ended since.
	at time.Time
	// work is the CPU time left and total that of the whole occurrence, as time on
	// one processor; path is the longest chain left.
	work, total, path time.Duration
}

// maxForecastAge is the age up to which a forecast is used. Agents report the
// progress of runs less often.
const maxForecastAge = 200 * time.Millisecond

// runTimeSum is the sum of the run times of a step's tasks that have ended.
type runTimeSum struct {
	count int
	sum   time.Duration
}

func (s runTimeSum) mean() time.Duration { return s.sum / time.Duration(s.count) }

// workedSinceList is the time at work at full pace since the worker's last list.
func (r *run) workedSinceList(now time.Time) time.Duration {
	since := r.started
	if r.worker.listedAt.After(since) {
		since = r.worker.listedAt
	}
	return max(now.Sub(since), 0) * time.Duration(r.pace) / 100
}

// learnRunTime learns from a run that has completed its task.
func (sc *Scheduler) learnRunTime(r *run, now time.Time) {
	s := r.task.step
	if !sc.limits.Order.LearnsRunTimes() || r.task.done || s.Standing || r.resumed {
		return
	}
	ran := r.worked + r.workedSinceList(now)
	if ran <= 0 {
		return
	}
	s.ended.count++
	s.ended.sum += ran
	sc.queueRunTimes(s.job.Queue).Add(s.Estimate, ran, 1/float64(len(s.tasks)))
}

func (sc *Scheduler) queueRunTimes(queue string) *triage.RunTimes {
	t := sc.runTimes[queue]
	if t == nil {
		t = &triage.RunTimes{}
		sc.runTimes[queue] = t
	}
	return t
}

// leastPercent is the progress from which a run tells how long its task takes.
const leastPercent = 5

// stepTime returns the likely run time of a task of a step: the mean of those that
// have ended, else what the progress of those at work tells, else what the queue's
// earlier tasks and the caller's estimate tell.
func (sc *Scheduler) stepTime(s *step) time.Duration {
	if s.ended.count > 0 {
		return s.ended.mean()
	}
	var worked, done time.Duration
	for _, t := range s.tasks {
		for _, r := range t.runs {
			if r.percent >= leastPercent && !r.resumed && !r.stopping {
				worked += r.worked * 100
				done += time.Duration(r.percent)
			}
		}
	}
	if worked > 0 && done > 0 {
		return worked / done
	}
	return sc.queueRunTimes(s.job.Queue).Predict(s.Estimate)
}

// updateForecast renews an occurrence's forecast, and its critical path.
func (sc *Scheduler) updateForecast(o *occurrence, now time.Time) {
	if f := &o.forecast; !f.at.IsZero() && now.Sub(f.at) < maxForecastAge {
		return
	}
	f := forecast{at: now}
	paths, left := make([]time.Duration, len(o.steps)), make([]time.Duration, len(o.steps))
	o.criticalPath = 0
	for i, s := range o.steps {
		if s.Standing {
			continue
		}
		s.taskTime = sc.stepTime(s)
		work, longest := s.left(now)
		f.work += s.onCPU(work)
		f.total += s.onCPU(s.taskTime * time.Duration(len(s.tasks)))
		for _, a := range s.After {
			paths[i], left[i] = max(paths[i], paths[a]), max(left[i], left[a])
		}
		paths[i] += s.taskTime
		left[i] += longest
		o.criticalPath, f.path = max(o.criticalPath, paths[i]), max(f.path, left[i])
	}
	o.forecast = f
}

// left returns the run time left of all tasks of a step, and of the task that has
// most left.
func (s *step) left(now time.Time) (sum, longest time.Duration) {
	if s.unfinished == 0 {
		return 0, 0
	}
	for _, t := range s.tasks {
		if t.done {
			continue
		}
		left := s.taskTime
		for _, r := range t.runs {
			if !r.stopping {
				left = min(left, r.left(s.taskTime, now))
			}
		}
		sum += left
		longest = max(longest, left)
	}
	return sum, longest
}

// left returns the run time that a run has left of its task's, by the progress last
// reported and the time since.
func (r *run) left(taskTime time.Duration, now time.Time) time.Duration {
	reported := taskTime * time.Duration(100-min(r.percent, 100)) / 100
	return max(reported-r.workedSinceList(now), 0)
}

// onCPU returns the CPU time of run time of a step's tasks, on one processor.
func (s *step) onCPU(d time.Duration) time.Duration {
	return d * time.Duration(max(s.Size.CPUMilli, 1)) / 1000
}
