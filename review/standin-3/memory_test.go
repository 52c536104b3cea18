package standin

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["memory"] = manyDueOccurrences }

const (
	// finish is finish_s: how long after the end of the traffic jobs are asked for.
	finish = 14 * time.Second
	// budget is the clients' time budget.
	budget = 3 * time.Second
	// restartDelay is how long after its end the platform starts a process again.
	restartDelay = 1500 * time.Millisecond
	// dueAtOnce is the number of occurrences of each scheduled job, which are all due.
	dueAtOnce = 50_000
	// mostTimes is the largest number of occurrences of a job in the site files.
	mostTimes = 6
)

// manyDueOccurrences hands in scheduled jobs whose start lies in the past.
func manyDueOccurrences(d *deployment, trouble bool) int {
	d.configure(true, defaultQueue())
	for i := range 3 {
		d.addEntry(fmt.Sprintf("entry-%d", i+1), 284)
	}
	for i := range 3 {
		name := fmt.Sprintf("worker-%d", i+1)
		w := d.addWorker(name, d.addAgent("agent-"+name), 16000, 64000)
		w.sizeOf = func(task string) (int64, int64) { return 1000, 1000 }
		w.workOf = func(task string, run int64, spec string) work {
			return work{time: 2 * time.Second, how: "done"}
		}
		w.boot()
	}
	d.awaitReady(20 * time.Second)
	time.Sleep(3 * time.Second)
	ends := map[string]int{}
	var mu sync.Mutex
	for _, p := range d.entries {
		go d.enforceMemory(p, func() {
			mu.Lock()
			defer mu.Unlock()
			ends[p.name]++
		})
	}
	times := dueAtOnce
	if !trouble {
		times = mostTimes
	}
	q := defaultQueue()
	submit := func(i int, body map[string]any) string {
		id := fmt.Sprintf("%016x", 0xa0+i)
		text, err := json.Marshal(body)
		check(err)
		code, _ := d.call(d.entries[i%3], "POST", q.Prefix+id, q.Host, text, budget)
		d.note("client: job %s of %d bytes is answered %d", id, len(text), code)
		if code/100 != 2 {
			return ""
		}
		return id
	}
	step := map[string]any{"count": 1, "cpu": 1000, "memMb": 1000, "estDurationMs": 2000}
	accepted := []string{submit(0, map[string]any{"taskSpec": "once", "steps": []any{step}})}
	for i := range 8 {
		if id := submit(i+1, map[string]any{"taskSpec": "every minute", "times": times, "startAtMs": 60_000, "intervalMs": 60_000, "steps": []any{step}}); id != "" {
			accepted = append(accepted, id)
		}
		time.Sleep(500 * time.Millisecond)
	}
	d.note("end of the traffic: %d jobs were accepted", len(accepted))
	time.Sleep(finish)
	unanswered := 0
	for round := range 5 {
		for _, id := range accepted {
			begun := time.Now()
			code, body := 0, []byte(nil)
			for n := 0; code != 200 && time.Since(begun) < budget; n++ {
				code, body = d.call(d.entries[(round+n)%3], "GET", q.Prefix+id, q.Host, nil, budget-time.Since(begun))
				if code != 200 {
					time.Sleep(200 * time.Millisecond)
				}
			}
			if code != 200 {
				unanswered++
			}
			d.note("client: state of job %s: %d %s after %s", id, code, strings.TrimSpace(string(body)), time.Since(begun).Round(time.Millisecond))
		}
		if unanswered > 0 {
			break
		}
	}
	mu.Lock()
	defer mu.Unlock()
	often := 0
	for name, n := range ends {
		d.note("%s went over its memory %d times", name, n)
		if n >= 3 {
			often++
		}
	}
	d.note("%d questions for accepted jobs got no answer in time; %d machines with three ends or more", unanswered, often)
	if unanswered > 0 || often >= 2 {
		return 1
	}
	return 0
}

// enforceMemory ends a process that takes more than the memory of its machine, as the
// platform does, and starts it again after a short delay.
func (d *deployment) enforceMemory(p *process, onEnd func()) {
	for {
		time.Sleep(20 * time.Millisecond)
		now, _ := p.residentMB()
		if now <= p.memoryMB {
			continue
		}
		d.note("%s takes %d MB of %d MB", p.name, now, p.memoryMB)
		p.signal(syscall.SIGKILL)
		<-p.done
		onEnd()
		time.Sleep(restartDelay)
		p.start()
	}
}
