package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["crash"] = crashingTask }

// crashDelay is how long after its start the task crashes its worker.
const crashDelay = 11 * time.Second

// crashedFor is how long a worker is away after a crash. It exceeds contactMs, so that the
// machine of the worker is in touch when the task is started again.
const crashedFor = 4 * time.Second

// crashingTask hands in a job of one task that crashes each worker that starts it.
func crashingTask(d *deployment, trouble bool) int {
	d.configure(true, defaultQueue())
	for i := range 3 {
		d.addEntry(fmt.Sprintf("entry-%d", i+1), 284)
	}
	var mu sync.Mutex
	crashes, startsAfter := 0, 0
	for i := range 5 {
		name := fmt.Sprintf("worker-%d", i+1)
		w := d.addWorker(name, d.addAgent("agent-"+name), 16000, 64000)
		w.backAfter = crashedFor
		w.sizeOf = func(string) (int64, int64) { return 1000, 1000 }
		w.workOf = func(task string, run int64, spec string) work {
			if spec == "crash" {
				return work{time: crashDelay, crashes: true}
			}
			return work{time: 1500 * time.Millisecond, how: "done"}
		}
		w.onStart = func(w *worker, task string, run int64) {
			if !strings.HasPrefix(task, "00000000000000c1") {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if crashes >= 3 {
				startsAfter++
			}
			d.note("task %s run %d starts on %s; %d workers have crashed under it; start %d since the third", task, run, w.id, crashes, startsAfter)
		}
		w.onCrash = func(*worker, string, int64) {
			mu.Lock()
			defer mu.Unlock()
			crashes++
		}
		w.boot()
	}
	d.awaitReady(20 * time.Second)
	time.Sleep(3 * time.Second)
	q := defaultQueue()
	submit := func(id, spec string) {
		body, _ := json.Marshal(map[string]any{"taskSpec": spec, "steps": []any{map[string]any{"count": 1, "cpu": 1000, "memMb": 1000, "estDurationMs": 15000}}})
		code, _ := d.call(d.entries[0], "POST", q.Prefix+id, q.Host, body, 3*time.Second)
		d.note("client: job %s (%s) is answered %d", id, spec, code)
	}
	spec := "crash"
	if !trouble {
		spec = "plain"
	}
	submit("00000000000000c1", spec)
	for end := time.Now().Add(100 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
		code, body := d.call(d.entries[1], "GET", q.Prefix+"00000000000000c1", q.Host, nil, 3*time.Second)
		mu.Lock()
		n, after := crashes, startsAfter
		mu.Unlock()
		if after >= 3 {
			d.note("the task was started %d more times after %d workers had crashed under it; its job is shown as %d %s", after, n, code, body)
			return 1
		}
		if strings.Contains(string(body), "failed") || strings.Contains(string(body), "completed") {
			d.note("job is shown as %s after %d crashes", body, n)
			return 0
		}
	}
	d.note("the job has not ended")
	return 0
}
