package rig

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

// feed hands in jobs at an even rate until a time.
func (r *rig) feed(start time.Time, until float64, every time.Duration, count int, w work) *sync.WaitGroup {
	var wg sync.WaitGroup
	wg.Go(func() {
		for time.Since(start).Seconds() < until {
			wg.Go(func() { r.submit(count, w) })
			time.Sleep(every)
		}
	})
	return &wg
}

// dropped: one partition of the store is down for some seconds while finished jobs
// reach the end of their retention. Later the owner is stopped as planned. No
// finished task may start again.
func dropped(r *rig) []string {
	r.deploy(3, 3, size{16000, 64000}, func(m map[string]any) {
		// Jobs stay readable for 20 s, since a script may run for 120 s only.
		m["owner"].(map[string]any)["keep_ms"] = 20000
	})
	start := time.Now()
	down := func() bool { t := time.Since(start).Seconds(); return r.trouble && t >= 27 && t < 31.5 }
	r.store.refuse = func(_, _, topic string) bool { return down() && topic == "keyed.jobs" }
	r.feed(start, 14, 200*time.Millisecond, 3, work{size: size{500, 256}, takes: 300 * time.Millisecond}).Wait()
	sleepTo(start, 27)
	r.note("one partition of the store is down", "trouble", r.trouble)
	sleepTo(start, 31.5)
	r.note("the store is whole again")
	sleepTo(start, 40)
	r.leader().signal(syscall.SIGTERM)
	sleepTo(start, 60)
	return r.startsAfterDone()
}

func (r *rig) startsAfterDone() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	done := map[string]*run{}
	for _, n := range r.runs {
		if n.how != "done" || !n.acked {
			continue
		}
		if o := done[n.task]; o == nil || n.end.Before(o.end) {
			done[n.task] = n
		}
	}
	for _, n := range r.runs {
		if o := done[n.task]; o != nil && n.start.After(o.end) {
			out = append(out, fmt.Sprintf("TWICE: task %s was started as run %d on %s %.2f s after run %d on %s had ended done; that end was taken note of", n.task, n.number, n.worker, n.start.Sub(o.end).Seconds(), o.number, o.worker))
		}
	}
	return out
}

// large: one job comes whose running tasks need more room in a stored record than
// the store accepts. All accepted jobs must still be worked on.
func large(r *rig) []string {
	r.deploy(3, 11, size{64000, 250000}, nil)
	start := time.Now()
	r.store.tooLarge = func(topic string, n int) { r.note("the store refuses a record", "topic", topic, "bytes", n) }
	feed := r.feed(start, 26, 500*time.Millisecond, 4, work{size: size{500, 256}, takes: 500 * time.Millisecond})
	sleepTo(start, 8)
	if r.trouble {
		r.submit(7000, work{size: size{100, 32}, takes: 2 * time.Second})
	}
	feed.Wait()
	sleepTo(start, 42)
	return r.idleJobs()
}

// idleJobs returns the accepted jobs of which nothing runs or has run, or that
// aren't complete, while the workers are idle.
func (r *rig) idleJobs() []string {
	used := int64(0)
	for _, w := range r.workers {
		w.mu.Lock()
		for _, t := range w.running {
			used += t.size.cpu
		}
		w.mu.Unlock()
	}
	r.mu.Lock()
	begun, active := map[string]bool{}, map[string]bool{}
	for _, n := range r.runs {
		id := strings.SplitN(n.task, ".", 2)[0]
		begun[id] = true
		active[id] = active[id] || n.end.IsZero()
	}
	jobs := sortedJobs(r.jobs)
	r.mu.Unlock()
	var out []string
	for _, j := range jobs {
		if j.accepted.IsZero() {
			continue
		}
		if s := r.state(j); s != "completed" && !active[j.id] && (s != "running" || !j.work.lasts) {
			out = append(out, fmt.Sprintf("LOST: job %s of %d tasks, accepted %.1f s ago, is %q; begun %v, nothing of it runs; cores in use in all: %.1f", j.id, j.count, time.Since(j.accepted).Seconds(), s, begun[j.id], float64(used)/1000))
		}
	}
	return out
}

// workerOf returns the worker on which the only task of a job runs.
func (r *rig) workerOf(j *job) *worker {
	for _, w := range r.workers {
		w.mu.Lock()
		for k := range w.running {
			if strings.HasPrefix(k.task, j.id) {
				w.mu.Unlock()
				return w
			}
		}
		w.mu.Unlock()
	}
	return nil
}

// cancelBound and the other bounds are those of the site.
const cancelBound = 3 * time.Second

// cancelled: a worker leaves its orders without an answer for some seconds and does
// not carry them out. Jobs that are cancelled meanwhile must not start afterwards.
func cancelled(r *rig) []string {
	r.deploy(3, 11, size{64000, 250000}, nil)
	start := time.Now()
	w := r.workers[0]
	w.mute = func(path string) bool {
		t := time.Since(start).Seconds()
		return r.trouble && t >= 8 && t < 13 && (path == "/run-start" || path == "/run-stop")
	}
	feed := r.feed(start, 22, 300*time.Millisecond, 3, work{size: size{960, 1900}, takes: 500 * time.Millisecond})
	sleepTo(start, 8)
	r.note("a worker leaves orders without an answer", "node", w.node, "trouble", r.trouble)
	sleepTo(start, 8.3)
	var jobs []*job
	for range 6 {
		jobs = append(jobs, r.submit(36, work{size: size{960, 1900}, takes: 3 * time.Second}))
	}
	sleepTo(start, 9)
	for _, j := range jobs {
		r.cancelJob(j)
	}
	sleepTo(start, 13)
	r.note("the worker answers again", "node", w.node)
	feed.Wait()
	sleepTo(start, 25)
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for _, n := range r.runs {
		j := r.jobs[strings.SplitN(n.task, ".", 2)[0]]
		if j.cancelled.IsZero() {
			continue
		}
		if late := n.start.Sub(j.cancelled); late > cancelBound {
			out = append(out, fmt.Sprintf("UNASKED: task %s was started on %s %.2f s after the cancel of its job was confirmed", n.task, n.worker, late.Seconds()))
		}
	}
	return out
}

// crashing: a task crashes each worker that starts it, some seconds after its start.
func crashing(r *rig) []string {
	r.crashBack = 2 * time.Second
	r.deploy(3, 4, size{64000, 250000}, nil)
	start := time.Now()
	feed := r.feed(start, 80, 250*time.Millisecond, 6, work{size: size{960, 1900}, takes: time.Second})
	sleepTo(start, 2)
	j := r.submit(1, work{size: size{7000, 13000}, takes: 18 * time.Second, crashAfter: 10500 * time.Millisecond})
	feed.Wait()
	r.note("state", "job", j.id, "state", r.state(j))
	return r.startsAfterThreeCrashes(j)
}

// startsAfterThreeCrashes counts the starts of the only task of a job, by machines in
// touch, after three workers have crashed under it.
func (r *rig) startsAfterThreeCrashes(j *job) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	crashes, more, others := 0, 0, 0
	for _, n := range r.runs {
		if !strings.HasPrefix(n.task, j.id) {
			if n.gone {
				others++
			}
			continue
		}
		if crashes >= 3 && n.inTouch {
			more++
		}
		if n.crashed {
			crashes++
		}
	}
	r.noteLocked("crashes", "under_the_task", crashes, "starts_after_the_third", more, "other_runs_lost", others)
	if more >= 3 {
		return []string{fmt.Sprintf("BUDGET: task %s.0.0.0 was started %d times more after three workers had crashed under it", j.id, more)}
	}
	return nil
}

// images: tasks that fill run beside tasks that serve, of many images. All accepted
// jobs must still be worked on.
func images(r *rig) []string {
	r.deploy(3, 3, size{64000, 250000}, nil)
	start := time.Now()
	r.store.tooLarge = func(topic string, n int) { r.note("the store refuses a record", "topic", topic, "bytes", n) }
	name := func(kind string, i int) string {
		if !r.trouble {
			i = 0
		}
		return fmt.Sprintf("images.example/%s/program-%03d@sha256:%064x", kind, i, i)
	}
	feed := r.feed(start, 50, 500*time.Millisecond, 4, work{size: size{500, 256}, takes: 500 * time.Millisecond})
	for i := range 36 {
		r.submit(1, work{size: size{1500, 1000}, lasts: true, image: name("serving", i)})
	}
	sleepTo(start, 8)
	for i := range 200 {
		r.submit(1, work{size: size{1000, 500}, takes: 1500 * time.Millisecond, fills: true, image: name("filling", i)})
		time.Sleep(130 * time.Millisecond)
	}
	feed.Wait()
	sleepTo(start, 66)
	return r.idleJobs()
}

// listing: the process beside a worker is killed, and is back after 2.2 s, while the
// runs of a large job end there. No finished task may start again. Three rounds.
func listing(r *rig) []string {
	r.deploy(3, 7, size{64000, 250000}, nil)
	start := time.Now()
	r.store.tooLarge = func(topic string, n int) { r.note("the store refuses a record", "topic", topic, "bytes", n) }
	feed := r.feed(start, 38, 500*time.Millisecond, 4, work{size: size{500, 256}, takes: 500 * time.Millisecond})
	for round := range 3 {
		sleepTo(start, 3+12*float64(round))
		j := r.submit(3850, work{size: size{100, 64}, takes: 2 * time.Second})
		w, p := r.workers[round], r.agents[round]
		for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end) && r.runningOf(w, j) < 530; {
			time.Sleep(5 * time.Millisecond)
		}
		r.note("the large job runs", "job", j.id, "node", w.node, "runs", r.runningOf(w, j))
		if r.trouble {
			p.mu.Lock()
			p.away = 2200 * time.Millisecond
			p.mu.Unlock()
			p.signal(syscall.SIGKILL)
		}
	}
	feed.Wait()
	sleepTo(start, 42)
	return r.startsAfterDone()
}

// runningOf counts the runs of a job on a worker.
func (r *rig) runningOf(w *worker, j *job) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for k := range w.running {
		if strings.HasPrefix(k.task, j.id) {
			n++
		}
	}
	return n
}

// unseen: a task crashes each worker that starts it, and the process beside the worker
// is killed half a second later, so that it can't report the crash.
func unseen(r *rig) []string {
	r.deploy(3, 7, size{64000, 250000}, nil)
	start := time.Now()
	feed := r.feed(start, 70, 500*time.Millisecond, 4, work{size: size{960, 1900}, takes: time.Second})
	sleepTo(start, 4)
	r.crashed = func(w *worker) {
		for i, o := range r.workers {
			if o == w {
				p := r.agents[i]
				time.Sleep(500 * time.Millisecond)
				p.mu.Lock()
				p.away = 2 * time.Second
				p.mu.Unlock()
				p.signal(syscall.SIGKILL)
			}
		}
	}
	j := r.submit(1, work{size: size{7000, 13000}, takes: 4 * time.Second, crashAfter: 50 * time.Millisecond})
	feed.Wait()
	r.note("state", "job", j.id, "state", r.state(j))
	return r.startsAfterThreeCrashes(j)
}

// long: a task takes 200 s and shows its progress in whole percents, one in 2 s. It
// counts the starts of the task in 60 s. No rule names a bound for them.
func long(r *rig) []string {
	r.deploy(3, 3, size{64000, 250000}, nil)
	start := time.Now()
	takes := 20 * time.Second
	if r.trouble {
		takes = 200 * time.Second
	}
	j := r.submit(1, work{size: size{1000, 1000}, takes: takes})
	sleepTo(start, 60)
	r.mu.Lock()
	defer r.mu.Unlock()
	starts := 0
	for _, n := range r.runs {
		if strings.HasPrefix(n.task, j.id) {
			starts++
		}
	}
	if starts > 1 {
		return []string{fmt.Sprintf("task %s.0.0.0 was started %d times in 60 s and begins anew each time", j.id, starts)}
	}
	return nil
}
