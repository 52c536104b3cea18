package rig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"
)

const (
	holdMax       = 6 * time.Second
	beatInterval  = 1100 * time.Millisecond
	stopTime      = 50 * time.Millisecond
	startupOfLong = 320 * time.Millisecond
)

type runKey struct {
	task string
	run  int64
}

type taskRun struct {
	runKey
	begun time.Time
	// takes is how long the run lasts; 0 for a task that lasts.
	takes    time.Duration
	how      string
	stopping bool
	size     size
	fills    bool
}

type endRow struct {
	n int64
	runKey
	how string
}

// worker stands in for an application worker on a side machine.
type worker struct {
	r          *rig
	node, zone string
	addr, ctrl string
	room       size
	server     *http.Server

	mu    sync.Mutex
	up    bool
	id    string
	born  int64
	began time.Time
	seq   int64
	lives int
	token int64
	until time.Time
	// lapsed is when the lease was last found to have lapsed.
	lapsed  time.Time
	running map[runKey]*taskRun
	highest map[string]int64
	ended   []endRow
	lastEnd int64
	changed chan struct{}
	starts  int
	// mute tells whether a call is left without an answer and not carried out.
	mute func(path string) bool
}

func (w *worker) boot() error {
	l, err := net.Listen("tcp4", w.addr)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lives++
	w.id, w.born, w.began = fmt.Sprintf("i-%s-%d", w.node[len(w.node)-1:]+"f3a91c", w.lives), time.Now().UnixMilli(), time.Now()
	w.seq, w.token, w.lastEnd, w.until, w.lapsed = 0, 0, 0, time.Time{}, time.Time{}
	w.running, w.highest, w.ended, w.changed = map[runKey]*taskRun{}, map[string]int64{}, nil, make(chan struct{})
	w.up = true
	m := http.NewServeMux()
	m.HandleFunc("POST /run-start", w.handleStart)
	m.HandleFunc("POST /run-stop", w.handleStop)
	m.HandleFunc("POST /pace", w.handlePace)
	m.HandleFunc("POST /hold", w.handleHold)
	life := w.lives
	w.server = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if w.mute != nil && w.mute(r.URL.Path) {
			<-r.Context().Done()
			return
		}
		if e := r.Header.Get("Expect-Instance"); e != "" && e != w.name() {
			reply(rw, 421, map[string]any{})
			return
		}
		m.ServeHTTP(rw, r)
	})}
	go w.server.Serve(l)
	go w.beat(life)
	go w.watchLease(life)
	w.r.note("worker up", "node", w.node, "id", w.id)
	return nil
}

func (w *worker) name() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.id
}

// crash ends the worker's process; it is back after a while as another life.
func (w *worker) crash(back time.Duration, why string) {
	w.mu.Lock()
	if !w.up {
		w.mu.Unlock()
		return
	}
	w.up = false
	n := len(w.running)
	for k := range w.running {
		w.r.runGone(w, k)
	}
	w.running = map[runKey]*taskRun{}
	server := w.server
	w.mu.Unlock()
	w.r.note("worker crashes", "node", w.node, "runs", n, "why", why)
	server.Close()
	time.AfterFunc(back, func() {
		if err := w.boot(); err != nil {
			w.r.note("worker can't start", "node", w.node, "err", err)
		}
	})
}

func (w *worker) alive(life int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.up && w.lives == life
}

func (w *worker) beat(life int) {
	c := &http.Client{Timeout: time.Second}
	for w.alive(life) && w.r.ctx.Err() == nil {
		w.mu.Lock()
		w.seq++
		body, _ := json.Marshal(map[string]any{
			"service": service, "address": w.addr, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
			"capacity": map[string]any{"cpu": w.room.cpu, "memMb": w.room.mem, "gpu": 0}, "labels": []string{"a", "r1"},
			"clockMs": w.clock(), "seq": w.seq, "born": w.born,
		})
		url := "http://" + w.ctrl + "/instances/" + w.id
		w.mu.Unlock()
		req, _ := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
		req.Header.Set("Content-Type", "application/json")
		if a, err := c.Do(req); err == nil {
			a.Body.Close()
		}
		time.Sleep(beatInterval)
	}
}

func (w *worker) clock() int64 { return time.Since(w.began).Milliseconds() + 1000 }

func (w *worker) extend(untilMS int64) {
	until := w.began.Add(time.Duration(untilMS-1000) * time.Millisecond)
	if most := time.Now().Add(holdMax); until.After(most) {
		until = most
	}
	if until.After(w.until) {
		w.until = until
	}
}

// checkLease notes whether the lease has lapsed. w.mu is held.
func (w *worker) checkLease() {
	if time.Now().After(w.until) {
		w.lapsed = time.Now()
	}
}

func (w *worker) watchLease(life int) {
	for w.alive(life) && w.r.ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		w.mu.Lock()
		w.checkLease()
		if len(w.running) > 0 && time.Now().After(w.until) {
			for k := range w.running {
				w.end(k, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

// end ends a run and lists it. w.mu is held.
func (w *worker) end(k runKey, how string) {
	if w.running[k] == nil {
		return
	}
	delete(w.running, k)
	w.highest[k.task] = max(w.highest[k.task], k.run)
	w.lastEnd++
	w.ended = append(w.ended, endRow{w.lastEnd, k, how})
	w.r.runEnded(w, k, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) handleStart(rw http.ResponseWriter, r *http.Request) {
	var b struct {
		Task  string `json:"task"`
		Run   int64  `json:"run"`
		Until int64  `json:"untilMs"`
		Token int64  `json:"fencingToken"`
	}
	if json.NewDecoder(r.Body).Decode(&b) != nil {
		reply(rw, 400, map[string]any{})
		return
	}
	k := runKey{b.Task, b.Run}
	w.mu.Lock()
	defer w.mu.Unlock()
	answer := func(code int, reason string) {
		body := map[string]any{"clockMs": w.clock()}
		if reason != "" {
			body["reason"] = reason
		}
		reply(rw, code, body)
	}
	if !w.up {
		return
	}
	if b.Token < w.token {
		answer(409, "fence")
		return
	}
	w.token = b.Token
	if w.running[k] != nil {
		answer(200, "")
		return
	}
	if b.Until <= w.clock() {
		answer(409, "late")
		return
	}
	w.extend(b.Until)
	if b.Run <= w.highest[b.Task] {
		answer(409, "old")
		return
	}
	work := w.r.workOf(b.Task)
	var used size
	for _, o := range w.running {
		used.mem += o.size.mem
		if !o.fills {
			used.cpu += o.size.cpu
		}
	}
	if !work.fills && used.cpu+work.size.cpu > w.room.cpu || used.mem+work.size.mem > w.room.mem {
		answer(409, "room")
		return
	}
	w.starts++
	how := "done"
	if w.r.failEvery > 0 && w.starts%w.r.failEvery == 0 && !work.lasts && work.crashAfter == 0 {
		how = "failed"
	}
	t := &taskRun{runKey: k, begun: time.Now(), takes: work.takes, how: how, size: work.size, fills: work.fills}
	if work.lasts {
		t.takes = 0
	}
	w.running[k] = t
	life := w.lives
	if t.takes > 0 {
		time.AfterFunc(t.takes, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.lives == life && w.running[k] == t && !t.stopping {
				w.end(k, t.how)
			}
		})
	}
	if work.crashAfter > 0 {
		time.AfterFunc(work.crashAfter, func() {
			w.mu.Lock()
			there := w.lives == life && w.running[k] == t
			w.mu.Unlock()
			if there {
				w.r.crashUnder(w, k)
			}
		})
	}
	w.r.runStarted(w, k)
	answer(200, "")
}

func (w *worker) handleStop(rw http.ResponseWriter, r *http.Request) {
	var b struct {
		Task  string `json:"task"`
		Run   int64  `json:"run"`
		Token int64  `json:"fencingToken"`
	}
	if json.NewDecoder(r.Body).Decode(&b) != nil {
		reply(rw, 400, map[string]any{})
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if b.Token < w.token {
		reply(rw, 409, map[string]any{"clockMs": w.clock(), "reason": "fence"})
		return
	}
	w.token = b.Token
	k := runKey{b.Task, b.Run}
	if t := w.running[k]; t != nil {
		t.stopping = true
		life := w.lives
		time.AfterFunc(stopTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.lives == life {
				w.end(k, "stopped")
			}
		})
	} else {
		w.highest[b.Task] = max(w.highest[b.Task], b.Run)
	}
	reply(rw, 200, map[string]any{"clockMs": w.clock()})
}

func (w *worker) handlePace(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	reply(rw, 200, map[string]any{"clockMs": w.clock()})
}

func (w *worker) handleHold(rw http.ResponseWriter, r *http.Request) {
	var b struct {
		Until int64 `json:"untilMs"`
		Token int64 `json:"fencingToken"`
		Acked int64 `json:"ackedUpto"`
		Wait  int64 `json:"waitMs"`
	}
	if json.NewDecoder(r.Body).Decode(&b) != nil {
		reply(rw, 400, map[string]any{})
		return
	}
	w.mu.Lock()
	if b.Token < w.token {
		reply(rw, 409, map[string]any{"clockMs": w.clock(), "reason": "fence"})
		w.mu.Unlock()
		return
	}
	w.token = b.Token
	w.checkLease()
	if b.Until > 0 {
		w.extend(b.Until)
	}
	for len(w.ended) > 0 && w.ended[0].n <= b.Acked {
		w.r.endAcked(w, w.ended[0], w.lapsed)
		w.ended = w.ended[1:]
	}
	changed, waits := w.changed, len(w.ended) == 0 && b.Wait > 0
	w.mu.Unlock()
	if waits {
		select {
		case <-changed:
		case <-time.After(time.Duration(min(b.Wait, 2000)) * time.Millisecond):
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	running, ended := [][]any{}, [][]any{}
	for _, t := range w.sorted() {
		percent, figure := 100, int64(tailMS)
		if t.takes > 0 {
			percent, figure = min(int(100*time.Since(t.begun)/t.takes), 100), t.size.cpu
		} else if time.Since(t.begun) < startupOfLong {
			percent = 50
		}
		running = append(running, []any{t.task, t.run, "", percent, figure})
	}
	for _, e := range w.ended[:min(len(w.ended), 500)] {
		ended = append(ended, []any{e.n, e.task, e.run, e.how, ""})
	}
	reply(rw, 200, map[string]any{"clockMs": w.clock(), "born": w.born, "running": running, "ended": ended})
}

func (w *worker) sorted() []*taskRun {
	var out []*taskRun
	for _, t := range w.running {
		out = append(out, t)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].task < out[j].task })
	return out
}
