package main

import (
	"fmt"
	"time"
)

const (
	// crashTime is the time from each start of the task to the crash of its worker.
	crashTime = "11000"
	lookFor   = 80 * time.Second
	// crashesFirst and startsAfter are those of the rule BUDGET.
	crashesFirst = 3
	startsAfter  = 3
)

// lateCrash: a task crashes each worker that starts it, 11 s after the start.
func lateCrash(rec *Record, repo string, trouble bool) ([]string, error) {
	s, err := newSystem(rec, repo, options{entries: 3, workers: 4, capacity: workerSize})
	if s != nil {
		defer s.Close()
	}
	if err != nil {
		return nil, err
	}
	id, spec := "0000000000000a11", "ms=30000 cpu=2000 mem=1024"
	if trouble {
		spec += " crash=" + crashTime
	}
	if err := s.Submit(id, spec, []step{{"count": 1, "cpu": 2000, "memMb": 1024, "estDurationMs": 30000}}); err != nil {
		return nil, err
	}
	others := s.submitOthers(lookFor)
	rec.Log("GET %s%s: %s", prefix, id, s.State(id))
	crashes, starts := 0, 0
	for _, r := range s.truth.Of(id) {
		if crashes >= crashesFirst {
			starts++
		}
		if r.How == "crashed" {
			crashes++
		}
	}
	rec.Log("%d workers have crashed under the task; after the first %d of them it was started %d times more", crashes, crashesFirst, starts)
	lost := 0
	for _, o := range others {
		for _, r := range s.truth.Of(o) {
			if r.How == "crashed" {
				lost++
			}
		}
	}
	rec.Log("%d runs of other jobs were lost with these workers", lost)
	if starts >= startsAfter {
		return []string{fmt.Sprintf("job %s: its task was started %d times more after %d workers had crashed under it, %d in all", id, starts, crashesFirst, crashes)}, nil
	}
	return nil, nil
}

// submitOthers hands in ordinary jobs for a time and returns their IDs.
func (s *System) submitOthers(limit time.Duration) []string {
	var out []string
	for begun := time.Now(); time.Since(begun) < limit; time.Sleep(5 * time.Second) {
		id := fmt.Sprintf("0000000000000b%02x", len(out))
		if err := s.Submit(id, "ms=8000 cpu=2000 mem=1024", []step{{"count": 4, "cpu": 2000, "memMb": 1024, "estDurationMs": 8000}}); err != nil {
			s.rec.Log("%v", err)
			continue
		}
		out = append(out, id)
	}
	return out
}
