package standin

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["gone"] = ownerAndWorkerGone }

// awayLimit is how long a lasting task may be without a run: from 6 s after its last run it
// must not have nothing running for 3 s. One second is added, so that the time before is calm
// also if it counts from contactMs after the loss.
const awayLimit = 10 * time.Second

// owner returns the entry that has last taken over the state, by the entries' logs.
func (d *deployment) owner() *process {
	var last *process
	at := ""
	for _, p := range d.entries {
		text, err := os.ReadFile(filepath.Join(d.dir, p.name+".log"))
		check(err)
		for _, line := range strings.Split(string(text), "\n") {
			if !strings.Contains(line, "state taken over") {
				continue
			}
			_, ts, _ := strings.Cut(line, "ts=")
			if ts, _, _ = strings.Cut(ts, " "); ts > at {
				last, at = p, ts
			}
		}
	}
	return last
}

// ownerAndWorkerGone takes away the machine of a worker with a lasting task, with its agent,
// and at the same time that of the owner. Neither comes back.
func ownerAndWorkerGone(d *deployment, trouble bool) int {
	q := defaultQueue()
	d.configure(true, q)
	for i := range 3 {
		d.addEntry(fmt.Sprintf("entry-%d", i+1), 284)
	}
	var mu sync.Mutex
	var on *worker
	starts := 0
	for i := range 6 {
		name := fmt.Sprintf("worker-%d", i+1)
		w := d.addWorker(name, d.addAgent("agent-"+name), 16000, 64000)
		w.backAfter = time.Hour
		w.sizeOf = func(task string) (int64, int64) { return 2000, 2000 }
		w.workOf = func(task string, run int64, spec string) work {
			return work{time: time.Hour, how: "done", lasts: true}
		}
		w.onStart = func(w *worker, task string, run int64) {
			mu.Lock()
			defer mu.Unlock()
			on = w
			starts++
			d.note("task %s run %d starts on %s", task, run, w.id)
		}
		w.boot()
	}
	d.awaitReady(20 * time.Second)
	time.Sleep(3 * time.Second)
	body, err := json.Marshal(map[string]any{"taskSpec": "lasts", "steps": []any{map[string]any{"count": 1, "cpu": 2000, "memMb": 2000, "estDurationMs": 1000, "longRunning": true}}})
	check(err)
	code, _ := d.call(d.entries[0], "POST", q.Prefix+"00000000000000b1", q.Host, body, budget)
	d.note("client: job 00000000000000b1 is answered %d", code)
	time.Sleep(30 * time.Second)
	mu.Lock()
	w, before := on, starts
	mu.Unlock()
	o := d.owner()
	if w == nil || o == nil {
		d.note("no run or no owner")
		return 2
	}
	lost := time.Now()
	d.note("the machine of %s and %s is gone for good", w.id, w.agent.name)
	w.crash()
	w.agent.signal(syscall.SIGKILL)
	if trouble {
		d.note("so is that of the owner, %s", o.name)
		o.signal(syscall.SIGKILL)
	}
	for time.Since(lost) < 30*time.Second {
		time.Sleep(20 * time.Millisecond)
		mu.Lock()
		again := starts > before
		mu.Unlock()
		if again {
			break
		}
	}
	away := time.Since(lost)
	d.note("the task was without a run for %s; five workers of 16 cores are up and empty", away.Round(10*time.Millisecond))
	if away > awayLimit {
		return 1
	}
	return 0
}
