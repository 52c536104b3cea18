package lab

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatEvery = 1100 * time.Millisecond
	confirmWithin  = time.Second
	maxHold        = 10 * time.Second
	stopTakes      = 300 * time.Millisecond
	endsPerCall    = 500
)

// Size is what a worker has or a task takes.
type Size struct {
	CPU int64 `json:"cpu"`
	Mem int64 `json:"memMb"`
	GPU int64 `json:"gpu"`
}

// Worker stands in for a worker of the platform. It has one life after another at the same
// address. A task's work is named by the words ms=N cpu=N mem=N of its specification;
// ms=0 lasts until it is stopped, and gang=N says that the task is one of N of a gang.
type Worker struct {
	rec     *Record
	truth   *Truth
	zone    string
	service string
	address string
	// reported is the address in status reports, that of a proxy, or "" for address.
	reported string
	capacity Size

	mu       sync.Mutex
	id       string
	born     time.Time
	up       bool
	state    string
	seq      int64
	token    int64
	lease    time.Duration
	runs     map[string]*workerRun
	refused  map[string]int64
	ended    []workerEnd
	endCount int64
	changed  chan struct{}
	listener net.Listener
	server   *http.Server
	stopBeat chan struct{}
	// control is where heartbeats go.
	control string
	// holds counts answered hold calls of this life.
	holds int
	// leaveStart has the next start call get no answer; it is kept for CarryOutLate.
	leaveStart bool
	leftStart  *leftCall
	// firstReport is when after a boot the first status report is sent.
	firstReport time.Duration
}

type workerRun struct {
	number   int64
	size     Size
	finishAt time.Time
	work     time.Duration
	how      string
	interval *Interval
	begun    time.Time
	// gang is set for a member of a gang.
	gang *gangRun
}

type workerEnd struct {
	number int64
	task   string
	run    int64
	how    string
	// interval is that of the run.
	interval *Interval
}

// NewWorker returns a worker that is not up yet.
func NewWorker(rec *Record, truth *Truth, zone, service, address, control string, capacity Size) *Worker {
	return &Worker{rec: rec, truth: truth, zone: zone, service: service, address: address, control: control, capacity: capacity}
}

// Boot begins a life.
func (w *Worker) Boot(id string) error {
	l, err := net.Listen("tcp4", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.id, w.born, w.up, w.state, w.seq, w.token, w.lease, w.endCount = id, time.Now(), true, "ready", 0, 0, 0, 0
	w.runs, w.refused, w.ended, w.changed = map[string]*workerRun{}, map[string]int64{}, nil, make(chan struct{})
	w.listener, w.stopBeat, w.holds = l, make(chan struct{}), 0
	m := http.NewServeMux()
	m.HandleFunc("POST /run-start", w.handleStart)
	m.HandleFunc("POST /run-stop", w.handleStop)
	m.HandleFunc("POST /hold", w.handleHold)
	m.HandleFunc("POST /pace", w.handlePace)
	w.server = &http.Server{Handler: m}
	server, stop := w.server, w.stopBeat
	w.mu.Unlock()
	w.rec.Log("worker %s boots at %s, born at %d", id, w.address, w.born.UnixMilli())
	go server.Serve(l)
	go w.tick(stop)
	go w.beat(stop)
	return nil
}

// End ends the life: all that runs on it ends with it, and its connections are closed.
func (w *Worker) End(why string) {
	w.mu.Lock()
	if !w.up {
		w.mu.Unlock()
		return
	}
	w.endDue()
	w.up = false
	for t, r := range w.runs {
		w.truth.Ended(r.interval, why)
		if r.gang != nil {
			r.gang.breakUp()
		}
		delete(w.runs, t)
	}
	close(w.stopBeat)
	server := w.server
	id := w.id
	w.mu.Unlock()
	w.rec.Log("worker %s is over: %s", id, why)
	server.Close()
}

func (w *Worker) tick(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		w.mu.Lock()
		if w.up {
			w.endDue()
		}
		w.mu.Unlock()
	}
}

func (w *Worker) clock() time.Duration { return time.Since(w.born) }

func (w *Worker) endDue() {
	lapsed := w.clock() > w.lease
	for t, r := range w.runs {
		switch {
		case lapsed:
			w.end(t, r, "lapsed")
		case !r.finishAt.IsZero() && time.Now().After(r.finishAt):
			w.end(t, r, r.how)
		case r.gang != nil && r.finishAt.IsZero():
			if how := r.gang.end(r.begun, r.work); how != "" {
				w.end(t, r, how)
			}
		}
	}
}

func (w *Worker) end(task string, r *workerRun, how string) {
	if r.gang != nil && how != "done" {
		r.gang.breakUp()
	}
	delete(w.runs, task)
	w.refused[task] = max(w.refused[task], r.number)
	w.endCount++
	w.ended = append(w.ended, workerEnd{w.endCount, task, r.number, how, r.interval})
	w.truth.Ended(r.interval, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

type order struct {
	Task  string `json:"task"`
	Run   int64  `json:"run"`
	Spec  string `json:"taskSpec"`
	Until int64  `json:"untilMs"`
	Token int64  `json:"fencingToken"`
	Acked int64  `json:"ackedUpto"`
	Wait  int64  `json:"waitMs"`
}

// accept decodes a call and checks its boot and its fence number. The lock is held if it
// returns true.
func (w *Worker) accept(rw http.ResponseWriter, r *http.Request, o *order) bool {
	if err := json.NewDecoder(r.Body).Decode(o); err != nil {
		reply(rw, http.StatusBadRequest, map[string]any{})
		return false
	}
	w.mu.Lock()
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		w.mu.Unlock()
		w.rec.Log("worker at %s answers 421 to %s for %s", w.address, r.URL.Path, expected)
		reply(rw, http.StatusMisdirectedRequest, map[string]any{})
		return false
	}
	if o.Token < w.token {
		clock := w.clock().Milliseconds()
		w.mu.Unlock()
		reply(rw, http.StatusConflict, map[string]any{"clockMs": clock, "reason": "fence"})
		return false
	}
	w.token = o.Token
	w.endDue()
	return true
}

func (w *Worker) extend(until int64) {
	w.lease = max(w.lease, min(time.Duration(until)*time.Millisecond, w.clock()+maxHold))
}

func (w *Worker) answer(rw http.ResponseWriter, code int, reason string) {
	body := map[string]any{"clockMs": w.clock().Milliseconds(), "born": w.born.UnixMilli()}
	if reason != "" {
		body["reason"] = reason
	}
	w.mu.Unlock()
	reply(rw, code, body)
}

// number returns the figure of a word of a specification.
func number(spec, word string) int64 {
	for _, f := range strings.Fields(spec) {
		if v, ok := strings.CutPrefix(f, word+"="); ok {
			n, _ := strconv.ParseInt(v, 10, 64)
			return n
		}
	}
	return 0
}

// leftCall is a start call that got no answer.
type leftCall struct {
	header http.Header
	body   []byte
	at     time.Time
}

// LeaveNextStart has the next start call get no answer.
func (w *Worker) LeaveNextStart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaveStart = true
}

// LeftStart returns the start call that got no answer, or nil.
func (w *Worker) LeftStart() *leftCall {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.leftStart
}

// leave reports whether a start call is left without an answer, and keeps it then.
func (w *Worker) leave(r *http.Request) bool {
	w.mu.Lock()
	leave := w.leaveStart
	w.leaveStart = false
	w.mu.Unlock()
	if !leave {
		return false
	}
	body, _ := io.ReadAll(r.Body)
	w.mu.Lock()
	w.leftStart = &leftCall{header: r.Header.Clone(), body: body, at: time.Now()}
	w.mu.Unlock()
	w.rec.Log("worker at %s leaves a start call without an answer: %s", w.address, body)
	<-r.Context().Done()
	return true
}

// CarryOutLate has the boot that is up carry out the start call that got no answer.
func (w *Worker) CarryOutLate() error {
	left := w.LeftStart()
	q, err := http.NewRequest(http.MethodPost, "/run-start", bytes.NewReader(left.body))
	if err != nil {
		return err
	}
	q.Header = left.header
	answer := httptest.NewRecorder()
	w.handleStart(answer, q)
	w.rec.Log("worker %s carries out the start call %.1f s late: %d %s", w.id, time.Since(left.at).Seconds(), answer.Code, strings.TrimSpace(answer.Body.String()))
	return nil
}

func (w *Worker) handleStart(rw http.ResponseWriter, r *http.Request) {
	if w.leave(r) {
		return
	}
	var o order
	if !w.accept(rw, r, &o) {
		return
	}
	if old := w.runs[o.Task]; old != nil && old.number == o.Run {
		w.extend(o.Until)
		w.answer(rw, http.StatusOK, "")
		return
	}
	if o.Run <= w.refused[o.Task] || w.runs[o.Task] != nil && o.Run < w.runs[o.Task].number {
		w.extend(o.Until)
		w.answer(rw, http.StatusConflict, "old")
		return
	}
	if o.Until <= w.clock().Milliseconds() {
		w.answer(rw, http.StatusConflict, "late")
		return
	}
	w.extend(o.Until)
	size := Size{CPU: number(o.Spec, "cpu"), Mem: number(o.Spec, "mem")}
	used := size
	for _, other := range w.runs {
		used.CPU += other.size.CPU
		used.Mem += other.size.Mem
	}
	if used.CPU > w.capacity.CPU || used.Mem > w.capacity.Mem {
		w.answer(rw, http.StatusConflict, "room")
		return
	}
	run := &workerRun{number: o.Run, size: size, how: "done", begun: time.Now(), work: time.Duration(number(o.Spec, "ms")) * time.Millisecond}
	if n := number(o.Spec, "gang"); n > 0 {
		run.gang = w.truth.gangs.join(o.Task, o.Run, int(n))
	} else if run.work > 0 {
		run.finishAt = run.begun.Add(run.work)
	}
	run.interval = w.truth.Started(o.Task, o.Run, w.id)
	w.runs[o.Task] = run
	w.answer(rw, http.StatusOK, "")
}

func (w *Worker) handleStop(rw http.ResponseWriter, r *http.Request) {
	var o order
	if !w.accept(rw, r, &o) {
		return
	}
	w.rec.Log("worker %s is told to stop run %d of task %s", w.id, o.Run, o.Task)
	w.refused[o.Task] = max(w.refused[o.Task], o.Run)
	if run := w.runs[o.Task]; run != nil && run.number <= o.Run && run.how != "stopped" {
		run.how, run.finishAt = "stopped", time.Now().Add(stopTakes)
	}
	w.answer(rw, http.StatusOK, "")
}

func (w *Worker) handlePace(rw http.ResponseWriter, r *http.Request) {
	var o order
	if w.accept(rw, r, &o) {
		w.answer(rw, http.StatusOK, "")
	}
}

func (w *Worker) handleHold(rw http.ResponseWriter, r *http.Request) {
	var o order
	if !w.accept(rw, r, &o) {
		return
	}
	w.extend(o.Until)
	w.ended = slices.DeleteFunc(w.ended, func(e workerEnd) bool {
		if e.number <= o.Acked {
			w.truth.Noted(e.interval, o.Acked)
		}
		return e.number <= o.Acked
	})
	if len(w.ended) == 0 && o.Wait > 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-time.After(time.Duration(min(o.Wait, 2000)) * time.Millisecond):
		}
		w.mu.Lock()
		if !w.up {
			w.mu.Unlock()
			return
		}
		w.endDue()
	}
	running, ended := [][]any{}, [][]any{}
	for t, run := range w.runs {
		percent := 100
		if run.work > 0 {
			percent = min(99, int(100*time.Since(run.begun)/run.work))
		}
		running = append(running, []any{t, run.number, "", percent, run.size.CPU})
	}
	for _, e := range w.ended {
		if len(ended) < endsPerCall {
			ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
		}
	}
	body := map[string]any{"clockMs": w.clock().Milliseconds(), "born": w.born.UnixMilli(), "running": running, "ended": ended}
	w.holds++
	w.mu.Unlock()
	reply(rw, http.StatusOK, body)
}

// Holds returns the number of answered hold calls of this life.
func (w *Worker) Holds() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.holds
}

// RunCount returns the number of runs at work.
func (w *Worker) RunCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.runs)
}

// Drain has the worker report that it leaves, now and in the status reports to come.
func (w *Worker) Drain() {
	w.mu.Lock()
	w.state = "draining"
	id := w.id
	w.mu.Unlock()
	path, body := w.Report()
	code, err := put(w.control, path, body)
	w.rec.Log("worker %s reports that it is draining: answer %d, error %v", id, code, err)
}

// Report returns the path and the body of the worker's next status report.
func (w *Worker) Report() (path string, body []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	b := map[string]any{
		"service": w.service, "address": cmp.Or(w.reported, w.address), "zone": w.zone, "version": "v1", "slots": 8, "state": w.state,
		"coldLeftMs": 0, "capacity": w.capacity, "labels": []string{"a"}, "clockMs": w.clock().Milliseconds(),
		"born": w.born.UnixMilli(), "seq": w.seq,
	}
	if w.state == "draining" {
		b["remainingMs"] = 2000
	}
	body, _ = json.Marshal(b)
	return "/instances/" + w.id, body
}

// beat sends status reports until the life ends.
func (w *Worker) beat(stop chan struct{}) {
	select {
	case <-stop:
		return
	case <-time.After(w.firstReport):
	}
	for {
		path, body := w.Report()
		if code, err := put(w.control, path, body); err != nil || code != http.StatusOK {
			w.rec.Log("status report %s: answer %d, error %v", path, code, err)
		}
		select {
		case <-stop:
			return
		case <-time.After(heartbeatEvery):
		}
	}
}

// AwaitReport returns right after the worker has sent its next status report.
func (w *Worker) AwaitReport() {
	w.mu.Lock()
	before := w.seq
	w.mu.Unlock()
	await(2*heartbeatEvery, func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.seq > before
	})
}

// put sends a status report on a new connection.
func put(address, path string, body []byte) (int, error) {
	return call(http.MethodPut, address, path, body)
}

func call(method, address, path string, body []byte) (int, error) {
	c := &http.Client{Timeout: confirmWithin, Transport: &http.Transport{DisableKeepAlives: true}}
	q, err := http.NewRequest(method, fmt.Sprintf("http://%s%s", address, path), bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	q.Header.Set("Content-Type", "application/json")
	a, err := c.Do(q)
	if err != nil {
		return 0, err
	}
	a.Body.Close()
	return a.StatusCode, nil
}
