package standin

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// stopTime is how long a stop takes; the pages allow 900 ms.
	stopTime = 300 * time.Millisecond
	// holdMaxMS is the longest lease that a worker gives.
	holdMaxMS = 6000
	// beatInterval is the time between two status reports.
	beatInterval = 1500 * time.Millisecond
	// endsPerAnswer is how many ends a hold call lists.
	endsPerAnswer = 500
)

// work is what a run does: it ends after a time, or crashes its worker.
type work struct {
	time    time.Duration
	how     string
	crashes bool
	// lasts is set for a run that is at work until it is stopped.
	lasts bool
}

// worker is a stand-in of a worker, beside one agent. It guards its capacity.
type worker struct {
	d         *deployment
	name      string
	agent     *process
	cpu, mem  int64
	workOf    func(task string, run int64, spec string) work
	sizeOf    func(task string) (cpu, mem int64)
	backAfter time.Duration
	onStart   func(w *worker, task string, run int64)
	onEnd     func(w *worker, task string, run int64, how string)
	onCrash   func(w *worker, task string, run int64)
	onPace    func(w *worker, task string, run, percent int64)
	// rough returns the rough figure of a run, the fifth entry of its row; nil gives 100.
	rough func(w *worker, task string, r *run) int64
	// keepsID has the worker start again under the id that it had.
	keepsID bool
	// hangUntil is until when calls get no answer, and late is a start call that is carried
	// out as the worker starts again; both may be set by onCall, which sees each start call.
	hangUntil     time.Time
	late          *orderBody
	onCall        func(w *worker, b orderBody)
	mu            sync.Mutex
	up            bool
	lives         int
	id            string
	born          time.Time
	listener      net.Listener
	server        *http.Server
	addr          string
	token         int64
	leaseEnd      int64
	seq, endCount int64
	acked         int64
	runs          map[string]*run
	refused       map[string]int64
	ended         []ending
	changed       chan struct{}
}

type run struct {
	number  int64
	begun   time.Time
	work    work
	stopped time.Time
	spec    string
	// pace is the share in percent at which the run works, since pacedAt, and worked the
	// work that it had done by then.
	pace    int64
	pacedAt time.Time
	worked  time.Duration
}

// done returns the work that a run has done.
func (r *run) done() time.Duration {
	return r.worked + time.Since(r.pacedAt)*time.Duration(r.pace)/100
}

type ending struct {
	number int64
	task   string
	run    int64
	how    string
}

// addWorker starts a worker beside an agent.
func (d *deployment) addWorker(name string, agent *process, cpu, mem int64) *worker {
	return &worker{d: d, name: name, agent: agent, cpu: cpu, mem: mem, backAfter: 2 * time.Second, addr: freeAddr(), changed: make(chan struct{})}
}

// boot begins a life: the worker holds and knows nothing of before.
func (w *worker) boot() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lives++
	if w.lives == 1 || !w.keepsID {
		w.id = w.name + "-" + strconv.Itoa(w.lives)
	}
	w.born, w.up = time.Now(), true
	w.token, w.leaseEnd, w.seq, w.endCount, w.acked = 0, 0, 0, 0, 0
	w.runs, w.refused, w.ended = map[string]*run{}, map[string]int64{}, nil
	if b := w.late; b != nil {
		w.late, w.token = nil, b.FencingToken
		code, out := w.start(*b)
		w.d.note("%s carries out the call that it left unanswered: task %s run %d, fence number %d: %d %v", w.id, b.Task, b.Run, b.FencingToken, code, out)
	}
	l, err := net.Listen("tcp4", w.addr)
	check(err)
	m := http.NewServeMux()
	m.HandleFunc("POST /run-start", w.order(w.start))
	m.HandleFunc("POST /run-stop", w.order(w.stop))
	m.HandleFunc("POST /pace", w.order(w.setPace))
	m.HandleFunc("POST /hold", w.hold)
	w.server = &http.Server{Handler: m}
	go w.server.Serve(l)
	w.d.note("worker %s is up as %s", w.name, w.id)
	life := w.lives
	go w.beat(life)
	go w.watch(life)
}

// crash ends the life: all runs end with it, and connections are closed and refused.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashLocked()
}

func (w *worker) crashLocked() {
	if !w.up {
		return
	}
	w.up = false
	w.runs = map[string]*run{}
	go w.server.Close()
	time.AfterFunc(w.backAfter, w.boot)
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

// beat reports to the agent until the life is over.
func (w *worker) beat(life int) {
	c := http.Client{Timeout: time.Second}
	for {
		w.mu.Lock()
		if !w.up || w.lives != life {
			w.mu.Unlock()
			return
		}
		w.seq++
		body, _ := json.Marshal(map[string]any{
			"service": service, "address": w.addr, "zone": "zone-a", "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
			"capacity": map[string]any{"cpu": w.cpu, "memMb": w.mem, "gpu": 0}, "labels": []string{"a", "r1-1"},
			"clockMs": w.clock(), "seq": w.seq, "born": w.born.UnixMilli(),
		})
		id := w.id
		w.mu.Unlock()
		q, _ := http.NewRequest("PUT", "http://"+w.agent.ctrl+"/instances/"+id, bytes.NewReader(body))
		q.Header.Set("Content-Type", "application/json")
		pause := beatInterval
		if a, err := c.Do(q); err == nil {
			a.Body.Close()
		} else {
			pause = 200 * time.Millisecond
		}
		time.Sleep(pause)
	}
}

// watch ends runs that are due until the life is over.
func (w *worker) watch(life int) {
	for {
		time.Sleep(5 * time.Millisecond)
		w.mu.Lock()
		if !w.up || w.lives != life {
			w.mu.Unlock()
			return
		}
		w.endDue()
		w.mu.Unlock()
	}
}

// endDue ends the runs that are due. The lock is held.
func (w *worker) endDue() {
	lapsed := w.clock() > w.leaseEnd
	for task, r := range w.runs {
		age := time.Since(r.begun)
		switch {
		case lapsed:
			w.endRun(task, r, "lapsed")
		case !r.stopped.IsZero() && time.Since(r.stopped) >= stopTime:
			w.endRun(task, r, "stopped")
		case r.done() >= r.work.time && r.work.crashes:
			w.d.note("task %s run %d crashes worker %s %s after its start", task, r.number, w.id, age.Round(time.Millisecond))
			if w.onCrash != nil {
				w.onCrash(w, task, r.number)
			}
			w.crashLocked()
			return
		case r.done() >= r.work.time:
			w.endRun(task, r, r.work.how)
		}
	}
}

func (w *worker) endRun(task string, r *run, how string) {
	delete(w.runs, task)
	w.refused[task] = max(w.refused[task], r.number)
	w.endCount++
	w.ended = append(w.ended, ending{w.endCount, task, r.number, how})
	if w.onEnd != nil {
		w.onEnd(w, task, r.number, how)
	}
	close(w.changed)
	w.changed = make(chan struct{})
}

type orderBody struct {
	Task         string `json:"task"`
	Run          int64  `json:"run"`
	TaskSpec     string `json:"taskSpec"`
	UntilMS      int64  `json:"untilMs"`
	FencingToken int64  `json:"fencingToken"`
	AckedUpto    int64  `json:"ackedUpto"`
	WaitMS       int64  `json:"waitMs"`
	Percent      int64  `json:"percent"`
}

// order serves a call that the worker carries out at once.
func (w *worker) order(carryOut func(orderBody) (int, map[string]any)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var b orderBody
		if json.NewDecoder(r.Body).Decode(&b) != nil {
			reply(rw, http.StatusBadRequest, map[string]any{})
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if r.URL.Path == "/run-start" && w.onCall != nil {
			w.onCall(w, b)
		}
		if !w.up || w.hangs(r) {
			panic(http.ErrAbortHandler)
		}
		w.endDue()
		code, out := w.checkCall(r, b)
		if code == 0 {
			code, out = carryOut(b)
		}
		out["clockMs"] = w.clock()
		reply(rw, code, out)
	}
}

// hangs leaves a call without an answer, until its sender gives up, and reports whether it
// did. The lock is held, but not meanwhile.
func (w *worker) hangs(r *http.Request) bool {
	if !time.Now().Before(w.hangUntil) {
		return false
	}
	w.mu.Unlock()
	<-r.Context().Done()
	w.mu.Lock()
	return true
}

// checkCall checks the boot and the fence number of a call; 0 stands for a call in order.
func (w *worker) checkCall(r *http.Request, b orderBody) (int, map[string]any) {
	if id := r.Header.Get("Expect-Instance"); id != "" && id != w.id {
		return http.StatusMisdirectedRequest, map[string]any{}
	}
	if b.FencingToken < w.token {
		return http.StatusConflict, map[string]any{"reason": "fence"}
	}
	w.token = b.FencingToken
	return 0, nil
}

func (w *worker) extend(until int64) {
	w.leaseEnd = max(w.leaseEnd, min(until, w.clock()+holdMaxMS))
}

func (w *worker) start(b orderBody) (int, map[string]any) {
	refuse := func(reason string) (int, map[string]any) {
		return http.StatusConflict, map[string]any{"reason": reason}
	}
	if r := w.runs[b.Task]; r != nil && r.number == b.Run {
		return http.StatusOK, map[string]any{}
	}
	if b.Run <= w.refused[b.Task] {
		w.extend(b.UntilMS)
		return refuse("old")
	}
	if b.UntilMS <= w.clock() {
		return refuse("late")
	}
	w.extend(b.UntilMS)
	cpu, mem := w.sizeOf(b.Task)
	for t := range w.runs {
		c, m := w.sizeOf(t)
		cpu, mem = cpu+c, mem+m
	}
	if cpu > w.cpu || mem > w.mem {
		return refuse("room")
	}
	w.runs[b.Task] = &run{number: b.Run, begun: time.Now(), work: w.workOf(b.Task, b.Run, b.TaskSpec), spec: b.TaskSpec, pace: 100, pacedAt: time.Now()}
	if w.onStart != nil {
		w.onStart(w, b.Task, b.Run)
	}
	return http.StatusOK, map[string]any{}
}

// setPace changes the share at which a run works.
func (w *worker) setPace(b orderBody) (int, map[string]any) {
	r := w.runs[b.Task]
	if r == nil || r.number != b.Run {
		return http.StatusConflict, map[string]any{}
	}
	r.worked, r.pacedAt, r.pace = r.done(), time.Now(), min(max(b.Percent, 0), 100)
	if w.onPace != nil {
		w.onPace(w, b.Task, b.Run, r.pace)
	}
	return http.StatusOK, map[string]any{}
}

func (w *worker) stop(b orderBody) (int, map[string]any) {
	w.refused[b.Task] = max(w.refused[b.Task], b.Run)
	if r := w.runs[b.Task]; r != nil && r.number <= b.Run && r.stopped.IsZero() {
		r.stopped = time.Now()
	}
	return http.StatusOK, map[string]any{}
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request) {
	var b orderBody
	if json.NewDecoder(r.Body).Decode(&b) != nil {
		reply(rw, http.StatusBadRequest, map[string]any{})
		return
	}
	w.mu.Lock()
	if !w.up || w.hangs(r) {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	life := w.lives
	w.endDue()
	if code, out := w.checkCall(r, b); code != 0 {
		out["clockMs"] = w.clock()
		reply(rw, code, out)
		w.mu.Unlock()
		return
	}
	if b.UntilMS > 0 {
		w.extend(b.UntilMS)
	}
	w.acked = max(w.acked, b.AckedUpto)
	for len(w.ended) > 0 && w.ended[0].number <= w.acked {
		w.ended = w.ended[1:]
	}
	if len(w.ended) == 0 && b.WaitMS > 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(b.WaitMS) * time.Millisecond):
		}
		w.mu.Lock()
	}
	defer w.mu.Unlock()
	if !w.up || w.lives != life {
		panic(http.ErrAbortHandler)
	}
	running, ended := [][]any{}, [][]any{}
	for t, r := range w.runs {
		figure, percent := int64(100), min(99, int64(100*r.done()/(r.work.time+1)))
		if w.rough != nil {
			figure = w.rough(w, t, r)
		}
		if r.work.lasts {
			percent = 100
		}
		running = append(running, []any{t, r.number, "", percent, figure})
	}
	for _, e := range w.ended[:min(len(w.ended), endsPerAnswer)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	reply(rw, http.StatusOK, map[string]any{"clockMs": w.clock(), "born": w.born.UnixMilli(), "running": running, "ended": ended})
}
