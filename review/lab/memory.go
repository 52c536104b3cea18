package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// entryMemoryMB is limits.memoryMb of a front machine, and memoryJobs the number of
	// jobs with the most tasks that an entry accepts.
	entryMemoryMB = 284
	memoryJobs    = 40
	memoryTasks   = 50000
	// restartDelay is how soon the platform starts a process again.
	restartDelay = 1500 * time.Millisecond
	watchTime    = 60 * time.Second
	// faultEnds and faultMachines are those of the rule Fault: ends of processes on a
	// machine, and machines (two at least).
	faultEnds     = 3
	faultMachines = 2
)

// residentMB returns the resident memory of a process.
func residentMB(pid int) int {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, l := range strings.Split(string(data), "\n") {
		if f := strings.Fields(l); len(f) > 1 && f[0] == "VmRSS:" {
			n, _ := strconv.Atoi(f[1])
			return n >> 10
		}
	}
	return 0
}

// limiter does what the platform does with a process that takes more memory than its
// machine has: it kills the process and starts it again.
type limiter struct {
	mu    sync.Mutex
	kills map[string]int
	peak  map[string]int
	stop  chan struct{}
	done  sync.WaitGroup
}

func (l *limiter) watch(e *Entry) {
	defer l.done.Done()
	for {
		select {
		case <-l.stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		used := residentMB(e.Pid())
		l.mu.Lock()
		l.peak[e.Name] = max(l.peak[e.Name], used)
		l.mu.Unlock()
		if used <= entryMemoryMB {
			continue
		}
		e.sys.rec.Log("%s takes %d MB of %d MB and is killed", e.Name, used, entryMemoryMB)
		e.Kill()
		l.mu.Lock()
		l.kills[e.Name]++
		l.mu.Unlock()
		time.Sleep(restartDelay)
		if err := e.Start(); err != nil {
			e.sys.rec.Log("%s: %v", e.Name, err)
			return
		}
	}
}

// manyTasks: small requests hand in jobs of many tasks, each of which is accepted.
func manyTasks(rec *Record, repo string, trouble bool) ([]string, error) {
	s, err := newSystem(rec, repo, options{entries: 3, workers: 4, capacity: workerSize})
	if s != nil {
		defer s.Close()
	}
	if err != nil {
		return nil, err
	}
	l := &limiter{kills: map[string]int{}, peak: map[string]int{}, stop: make(chan struct{})}
	for _, e := range s.Entries {
		l.done.Add(1)
		go l.watch(e)
	}
	tasks := 50
	if trouble {
		tasks = memoryTasks
	}
	accepted := 0
	for i := range memoryJobs {
		id := fmt.Sprintf("000000000000f0%02x", i)
		body := map[string]any{"taskSpec": "ms=1000 cpu=1000 mem=100", "steps": []step{{"count": tasks, "cpu": 1000, "memMb": 100, "estDurationMs": 1000}}}
		e := s.Entries[i%len(s.Entries)]
		code, _, err := s.Call("POST", e.Listen, id, body, 3*time.Second)
		rec.Log("POST %s%s of %d tasks at %s: answer %d, error %v", prefix, id, tasks, e.Name, code, err)
		if code == 200 {
			accepted++
		}
		time.Sleep(100 * time.Millisecond)
	}
	rec.Log("%d jobs of %d tasks are accepted", accepted, tasks)
	time.Sleep(watchTime)
	close(l.stop)
	l.done.Wait()
	machines := 0
	for _, e := range s.Entries {
		rec.Log("%s: at most %d MB, killed %d times", e.Name, l.peak[e.Name], l.kills[e.Name])
		if l.kills[e.Name] >= faultEnds {
			machines++
		}
	}
	if machines >= faultMachines {
		return []string{fmt.Sprintf("on %d of %d front machines the process exceeded %d MB %d times or more: %v", machines, len(s.Entries), entryMemoryMB, faultEnds, l.kills)}, nil
	}
	return nil, nil
}
