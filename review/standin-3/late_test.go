package standin

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["late"] = lateInTheNextLife }

const (
	// hangTime is how long the worker leaves its calls without an answer.
	hangTime = 5300 * time.Millisecond
	// crashAfter is when the worker crashes, from its first unanswered call on, and downTime
	// how long it is away.
	crashAfter, downTime = 7 * time.Second, 1500 * time.Millisecond
)

// lateInTheNextLife has a worker hang as it is told to start a task, answer again, crash, and
// start again under its id, where the unanswered call is carried out.
func lateInTheNextLife(d *deployment, trouble bool) int {
	q := defaultQueue()
	d.configure(true, q)
	for i := range 3 {
		d.addEntry(fmt.Sprintf("entry-%d", i+1), 284)
	}
	const id = "00000000000000c1"
	var mu sync.Mutex
	hung := false
	at := map[string]bool{}
	most, both := 0, time.Duration(0)
	var since time.Time
	count := func(w *worker, change bool) {
		at[w.name] = change
		n := 0
		for _, on := range at {
			if on {
				n++
			}
		}
		if n >= 2 && since.IsZero() {
			since = time.Now()
		}
		if n < 2 && !since.IsZero() {
			both += time.Since(since)
			since = time.Time{}
		}
		most = max(most, n)
	}
	for i := range 4 {
		name := fmt.Sprintf("worker-%d", i+1)
		w := d.addWorker(name, d.addAgent("agent-"+name), 16000, 64000)
		w.keepsID, w.backAfter = true, downTime
		w.sizeOf = func(task string) (int64, int64) { return 2000, 2000 }
		w.workOf = func(task string, run int64, spec string) work {
			return work{time: 15 * time.Second, how: "done"}
		}
		w.onCall = func(w *worker, b orderBody) {
			mu.Lock()
			defer mu.Unlock()
			if !trouble || hung || !strings.HasPrefix(b.Task, id) {
				return
			}
			hung = true
			w.hangUntil, w.late = time.Now().Add(hangTime), &b
			d.note("%s is told to start task %s run %d; it leaves its calls without an answer for %s", w.id, b.Task, b.Run, hangTime)
			time.AfterFunc(crashAfter, func() {
				d.note("%s crashes", w.id)
				w.crash()
			})
		}
		w.onStart = func(w *worker, task string, run int64) {
			mu.Lock()
			defer mu.Unlock()
			count(w, true)
			d.note("task %s run %d starts on %s", task, run, w.id)
		}
		w.onEnd = func(w *worker, task string, run int64, how string) {
			mu.Lock()
			defer mu.Unlock()
			count(w, false)
			d.note("task %s run %d ends on %s: %s", task, run, w.id, how)
		}
		w.boot()
	}
	d.awaitReady(20 * time.Second)
	time.Sleep(3 * time.Second)
	body, err := json.Marshal(map[string]any{"taskSpec": "work", "steps": []any{map[string]any{"count": 1, "cpu": 2000, "memMb": 2000, "estDurationMs": 15000}}})
	check(err)
	code, _ := d.call(d.entries[0], "POST", q.Prefix+id, q.Host, body, budget)
	d.note("client: job %s is answered %d", id, code)
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		_, state := d.call(d.entries[1], "GET", q.Prefix+id, q.Host, nil, budget)
		if strings.Contains(string(state), "completed") {
			break
		}
	}
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	d.note("at most %d runs of the task were at work at the same time, for %s", most, both.Round(time.Millisecond))
	if most > 1 {
		return 1
	}
	return 0
}
