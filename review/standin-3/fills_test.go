package standin

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"sync"
	"time"
)

func init() { cases["fills"] = fillsBesideTightTasks }

const (
	serving = "00000000000000b1"
	filling = "00000000000000b2"
	// targetMS is the target of the serving tasks.
	targetMS = 50
	// swingS is the period in s in which the load of the serving tasks swings.
	swingS = 14
	// workerCPU, servingCPU and fillCPU are the sizes in thousandths of a core.
	workerCPU, servingCPU, fillCPU = 16000, 3000, 2000
)

// fillsBesideTightTasks hands in a job whose tasks fill beside serving tasks that are close
// to their target.
func fillsBesideTightTasks(d *deployment, trouble bool) int {
	q := defaultQueue()
	d.configure(true, q)
	for i := range 3 {
		d.addEntry(fmt.Sprintf("entry-%d", i+1), 284)
	}
	// The tail of the response times of a serving task without fills swings with its load.
	// Fills on a quarter of the processors raise it by a half.
	least, most := 8.0, 12.0
	if trouble {
		least, most = 38, 48
	}
	var mu sync.Mutex
	busy := map[string]bool{}
	var lastBusy time.Time
	tailOn := func(w *worker) float64 {
		tail := (least+most)/2 + (most-least)/2*math.Sin(2*math.Pi*time.Since(d.begun).Seconds()/swingS)
		fills := 0.0
		for t, r := range w.runs {
			if strings.HasPrefix(t, filling) {
				fills += float64(fillCPU*r.pace) / 100
			}
		}
		return tail * (1 + 2*fills/workerCPU)
	}
	for i := range 3 {
		name := fmt.Sprintf("worker-%d", i+1)
		w := d.addWorker(name, d.addAgent("agent-"+name), workerCPU, 64000)
		w.sizeOf = func(task string) (int64, int64) {
			if strings.HasPrefix(task, filling) {
				return 0, 1000
			}
			return servingCPU, 1000
		}
		w.workOf = func(task string, run int64, spec string) work {
			if strings.HasPrefix(task, serving) {
				return work{time: time.Hour, how: "done", lasts: true}
			}
			return work{time: 20 * time.Second, how: "done"}
		}
		w.rough = func(w *worker, task string, r *run) int64 {
			if strings.HasPrefix(task, serving) {
				return int64(tailOn(w) + 0.5)
			}
			return fillCPU * r.pace / 100
		}
		w.onStart = func(w *worker, task string, run int64) {
			mu.Lock()
			defer mu.Unlock()
			if strings.HasPrefix(task, filling) {
				busy[task+w.id] = true
			}
			d.note("task %s run %d starts on %s", task, run, w.id)
		}
		w.onEnd = func(w *worker, task string, run int64, how string) {
			mu.Lock()
			defer mu.Unlock()
			if busy[task+w.id] {
				delete(busy, task+w.id)
				lastBusy = time.Now()
			}
			d.note("task %s run %d ends on %s: %s", task, run, w.id, how)
		}
		w.onPace = func(w *worker, task string, run, percent int64) {
			d.note("task %s run %d on %s works at %d percent", task, run, w.id, percent)
		}
		w.boot()
	}
	d.awaitReady(20 * time.Second)
	time.Sleep(3 * time.Second)
	submit := func(id string, step map[string]any) {
		body, err := json.Marshal(map[string]any{"taskSpec": "work", "steps": []any{step}})
		check(err)
		code, _ := d.call(d.entries[0], "POST", q.Prefix+id, q.Host, body, budget)
		d.note("client: job %s is answered %d: %s", id, code, body)
	}
	submit(serving, map[string]any{"count": 3, "cpu": servingCPU, "memMb": 1000, "estDurationMs": 1000, "longRunning": true, "antiAffinity": 1, "image": "front", "targetMs": targetMS})
	time.Sleep(8 * time.Second)
	submit(filling, map[string]any{"count": 2, "cpu": fillCPU, "memMb": 1000, "estDurationMs": 20000, "fills": true, "image": "batch"})
	handedIn := time.Now()
	time.Sleep(finish)
	// From here on the job must not have nothing running for 3 s.
	idleSince := time.Now()
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		code, body := 0, []byte(nil)
		mu.Lock()
		if len(busy) > 0 {
			idleSince = time.Now()
		} else if lastBusy.After(idleSince) {
			idleSince = lastBusy
		}
		idle := time.Since(idleSince)
		mu.Unlock()
		if idle >= 3*time.Second {
			code, body = d.call(d.entries[1], "GET", q.Prefix+filling, q.Host, nil, budget)
			if strings.Contains(string(body), "completed") {
				d.note("the job is shown as completed")
				return 0
			}
			d.note("%s after it was handed in, nothing of job %s has run for %s; it is shown as %d %s; reserved are %d of %d thousandths of a core",
				time.Since(handedIn).Round(time.Second), filling, idle.Round(100*time.Millisecond), code, strings.TrimSpace(string(body)), 3*servingCPU, 3*workerCPU)
			return 1
		}
	}
	d.note("the job ran")
	return 0
}
