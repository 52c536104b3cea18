package standin

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["steps"] = manySteps }

const (
	// wideJobs is the number of jobs that can never be done, and wideSteps that of their
	// steps, of which each has one task.
	wideJobs, wideSteps = 36, 4000
	// mostSteps is the largest number of steps of a job in the site files.
	mostSteps = 5
	// tooLarge is a size that no worker has, in thousandths of a core.
	tooLarge = 20000
)

// manySteps hands in a lasting job, and after it jobs of many steps that can never be done.
func manySteps(d *deployment, trouble bool) int {
	q := defaultQueue()
	d.configure(true, q)
	for i := range 3 {
		d.addEntry(fmt.Sprintf("entry-%d", i+1), 284)
	}
	var mu sync.Mutex
	running, lapsed, lastRan := 0, 0, time.Now()
	for i := range 3 {
		name := fmt.Sprintf("worker-%d", i+1)
		w := d.addWorker(name, d.addAgent("agent-"+name), 16000, 64000)
		w.sizeOf = func(task string) (int64, int64) { return 1000, 1000 }
		w.workOf = func(task string, run int64, spec string) work {
			return work{time: time.Hour, how: "done", lasts: true}
		}
		w.onStart = func(w *worker, task string, run int64) {
			mu.Lock()
			defer mu.Unlock()
			running++
			d.note("task %s run %d starts on %s", task, run, w.id)
		}
		w.onEnd = func(w *worker, task string, run int64, how string) {
			mu.Lock()
			defer mu.Unlock()
			running--
			lastRan = time.Now()
			if how == "lapsed" {
				lapsed++
			}
			d.note("task %s run %d ends on %s: %s", task, run, w.id, how)
		}
		w.boot()
	}
	d.awaitReady(20 * time.Second)
	time.Sleep(3 * time.Second)
	submit := func(i int, id string, body map[string]any) bool {
		text, err := json.Marshal(body)
		check(err)
		code, _ := d.call(d.entries[i%3], "POST", q.Prefix+id, q.Host, text, budget)
		d.note("client: job %s of %d bytes is answered %d", id, len(text), code)
		return code/100 == 2
	}
	lasting := "00000000000000b1"
	if !submit(0, lasting, map[string]any{"taskSpec": "lasts", "steps": []any{map[string]any{"count": 6, "cpu": 1000, "memMb": 1000, "estDurationMs": 1000, "longRunning": true}}}) {
		return 2
	}
	time.Sleep(2 * time.Second)
	accepted, n := []string{lasting}, wideSteps
	if !trouble {
		n = mostSteps
	}
	var steps []any
	for range n {
		steps = append(steps, map[string]any{"count": 1, "cpu": tooLarge})
	}
	for i := range wideJobs {
		id := fmt.Sprintf("%016x", 0xc0+i)
		if submit(i, id, map[string]any{"taskSpec": "x", "steps": steps}) {
			accepted = append(accepted, id)
		}
		time.Sleep(300 * time.Millisecond)
	}
	d.note("end of the traffic: %d jobs were accepted", len(accepted))
	time.Sleep(finish)
	asked, unanswered := 0, 0
	longestIdle := time.Duration(0)
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); {
		id := accepted[asked%len(accepted)]
		asked++
		begun := time.Now()
		code, body := 0, []byte(nil)
		for n := asked; code != 200 && time.Since(begun) < budget; n++ {
			code, body = d.call(d.entries[n%3], "GET", q.Prefix+id, q.Host, nil, budget-time.Since(begun))
			if code != 200 {
				time.Sleep(100 * time.Millisecond)
			}
		}
		if code != 200 {
			unanswered++
		}
		mu.Lock()
		idle := time.Duration(0)
		if running == 0 {
			idle = time.Since(lastRan)
		}
		ended := lapsed
		mu.Unlock()
		longestIdle = max(longestIdle, idle)
		d.note("client: state of job %s: %d %s after %s; lapsed so far %d, nothing of %s runs for %s", id, code, strings.TrimSpace(string(body)), time.Since(begun).Round(time.Millisecond), ended, lasting, idle.Round(100*time.Millisecond))
		time.Sleep(500 * time.Millisecond)
	}
	memory := ""
	for _, p := range d.entries {
		_, peak := p.residentMB()
		memory += fmt.Sprintf(" %d", peak)
	}
	d.note("%d of %d questions for accepted jobs got no answer in time; nothing of job %s ran for up to %s; most memory of the entries in MB:%s", unanswered, asked, lasting, longestIdle.Round(100*time.Millisecond), memory)
	if unanswered > 0 || longestIdle >= 3*time.Second {
		return 1
	}
	return 0
}
