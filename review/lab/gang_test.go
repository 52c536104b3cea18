package lab

import (
	"fmt"
	"strings"
	"time"
)

const (
	// finishTime and idleTime are those of the rule LOST: finish_s, the span in which
	// nothing of a job runs, and the time that a task that lasts may take to come back.
	finishTime  = 14 * time.Second
	idleTime    = 3 * time.Second
	comeBack    = 6 * time.Second
	gangTasks   = 50000
	gangWorkers = 6
	// perWorker is less than the share of a worker, so that the gang never fits.
	perWorker = 8000
)

// wideGang: one job is handed in that can never be done, a gang of more tasks than the
// workers may take.
func wideGang(rec *Record, repo string, trouble bool) ([]string, error) {
	s, err := newSystem(rec, repo, options{entries: 3, workers: gangWorkers, capacity: workerSize})
	if s != nil {
		defer s.Close()
	}
	if err != nil {
		return nil, err
	}
	watch := "00000000000000d1"
	if err := s.Submit(watch, "ms=0 cpu=2000 mem=1024", []step{{"count": jobTasks, "cpu": 2000, "memMb": 1024, "estDurationMs": 1000, "longRunning": true}}); err != nil {
		return nil, err
	}
	if !await(5*time.Second, func() bool { return len(s.truth.Of(watch)) == jobTasks }) {
		return nil, fmt.Errorf("%w: the lasting tasks don't start", errNotRun)
	}
	time.Sleep(4 * time.Second)
	if trouble {
		if err := s.Submit("00000000000000d2", "ms=1000 cpu=1 mem=1", []step{{"count": gangTasks, "cpu": 1, "memMb": 1, "estDurationMs": 1000, "gang": true, "antiAffinity": perWorker}}); err != nil {
			return nil, err
		}
	}
	var accepted []string
	for i := range 10 {
		id := fmt.Sprintf("00000000000000e%x", i)
		if err := s.Submit(id, "ms=500 cpu=500 mem=100", []step{{"count": 2, "cpu": 500, "memMb": 100, "estDurationMs": 500}}); err != nil {
			rec.Log("%v", err)
		} else {
			accepted = append(accepted, id)
		}
		time.Sleep(2 * time.Second)
	}
	rec.Log("the traffic ends")
	time.Sleep(finishTime)
	broken := s.idleJobs(rec, accepted)
	for task, last := range s.truth.LastEnds(watch) {
		if gap := time.Since(last); gap > comeBack+idleTime {
			broken = append(broken, fmt.Sprintf("task %s, which lasts, has not run for %.1f s", task, gap.Seconds()))
		}
	}
	return broken, nil
}

const (
	crashGangTasks = 8
	crashGangSpec  = "ms=3000 cpu=1000 mem=512 gang=8"
	// crashAfter is the time from the start of the gang to the crash, and downTime from the
	// crash to the next boot.
	crashAfter = 100 * time.Millisecond
	downTime   = 3 * time.Second
	trafficFor = 20 * time.Second
)

// crashGang: a worker crashes once, shortly after a gang was started, and is back 3 s later.
func crashGang(rec *Record, repo string, trouble bool) ([]string, error) {
	s, err := newSystem(rec, repo, options{entries: 3, workers: gangWorkers, capacity: workerSize})
	if s != nil {
		defer s.Close()
	}
	if err != nil {
		return nil, err
	}
	gang := "00000000000000f1"
	if err := s.Submit(gang, crashGangSpec, []step{{"count": crashGangTasks, "cpu": 1000, "memMb": 512, "estDurationMs": 3000, "gang": true}}); err != nil {
		return nil, err
	}
	if !await(5*time.Second, func() bool { return len(s.truth.Of(gang)) == crashGangTasks }) {
		return nil, fmt.Errorf("%w: the gang doesn't start", errNotRun)
	}
	w := s.Workers[0]
	if trouble {
		time.Sleep(crashAfter)
		w.End("crashed")
		time.Sleep(downTime)
		if err := w.Boot("i-1-2"); err != nil {
			return nil, err
		}
	}
	accepted := []string{gang}
	for begun := time.Now(); time.Since(begun) < trafficFor; time.Sleep(2 * time.Second) {
		id := fmt.Sprintf("00000000000001e%x", len(accepted))
		if err := s.Submit(id, "ms=500 cpu=500 mem=100", []step{{"count": 2, "cpu": 500, "memMb": 100, "estDurationMs": 500}}); err != nil {
			return nil, err
		}
		accepted = append(accepted, id)
	}
	rec.Log("the traffic ends")
	time.Sleep(finishTime)
	return s.idleJobs(rec, accepted), nil
}

// idleJobs returns the jobs that are not completed and of which nothing runs for idleTime
// although no worker runs anything.
func (s *System) idleJobs(rec *Record, accepted []string) []string {
	var waiting []string
	for _, id := range accepted {
		state := s.State(id)
		rec.Log("GET %s%s: %s", prefix, id, state)
		if !strings.Contains(state, "completed") {
			waiting = append(waiting, id)
		}
	}
	begun, runs := time.Now(), s.truth.Count()
	time.Sleep(idleTime)
	if s.truth.Count() != runs || s.truth.AtWork() != 0 {
		return nil
	}
	var broken []string
	for _, id := range waiting {
		broken = append(broken, fmt.Sprintf("job %s was accepted, isn't done, and nothing of it runs from %.3f s to %.3f s while no worker runs anything", id, rec.Since(begun), rec.Since(time.Now())))
	}
	return broken
}
