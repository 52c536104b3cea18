// Package rig plays the scripts of this review. It starts the entries and agents
// of a small deployment as separate processes, with the commands of the deploy
// file, and stands in for the store, the workers and the clients.
package rig

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	service = "desk"
	host    = "desk.example"
	prefix  = "/jobs/"
	// targetMS is the target of tasks that serve, and tailMS what they reach.
	targetMS, tailMS = 45, 12
	// contactTime is the site's contactMs.
	contactTime = 3 * time.Second
	// restartDelay is how long the platform takes to start a process again.
	restartDelay = 300 * time.Millisecond
)

type size struct{ cpu, mem int64 }

// work is what a task does on a worker.
type work struct {
	size       size
	takes      time.Duration
	lasts      bool
	crashAfter time.Duration
	// image and fills are those of the step.
	image string
	fills bool
}

// job is a job that a client hands in.
type job struct {
	id    string
	count int
	work  work
	// sent, accepted and cancelled are when it was handed in, first confirmed
	// and its cancel confirmed.
	sent, accepted, cancelled time.Time
	rejected, unsure          int
}

// run is what a worker has seen of a run.
type run struct {
	worker     string
	task       string
	number     int64
	start, end time.Time
	how        string
	acked      bool
	gone       bool
	afterDone  bool
	overlaps   bool
	crashed    bool
	// inTouch reports whether the machine that started the run was in touch.
	inTouch bool
}

type process struct {
	r              *rig
	name, program  string
	settings, addr string
	ready          string

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool
	// disturbed is when the process was last killed or started.
	disturbed time.Time
	// away is how long the process is away after its next end, if it is not
	// restartDelay.
	away time.Duration
}

type rig struct {
	ctx       context.Context
	cancel    context.CancelFunc
	began     time.Time
	root, dir string
	net       string
	trouble   bool
	store     *store
	workers   []*worker
	entries   []*process
	agents    []*process
	record    *os.File
	failEvery int

	mu   sync.Mutex
	jobs map[string]*job
	runs []*run
	// byKey finds the run that is on a worker.
	byKey   map[string]*run
	crashes map[string]int
	// crashBack is how long a worker is away after a crash under a task.
	crashBack time.Duration
	// crashed is called after a crash under a task.
	crashed func(*worker)
}

func (r *rig) note(what string, kv ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noteLocked(what, kv...)
}

func (r *rig) noteLocked(what string, kv ...any) {
	var b strings.Builder
	fmt.Fprintf(&b, "%8.3f %s", time.Since(r.began).Seconds(), what)
	for i := 0; i+1 < len(kv); i += 2 {
		fmt.Fprintf(&b, " %v=%v", kv[i], kv[i+1])
	}
	fmt.Fprintln(r.record, b.String())
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, "could not run:", err)
	os.Exit(2)
}

// newRig prepares a deployment; nothing is started yet.
func newRig(folder string) *rig {
	root, err := filepath.Abs(filepath.Join(folder, "..", ".."))
	if err != nil {
		fail(err)
	}
	for _, p := range []string{"entry", "agent"} {
		if _, err := os.Stat(filepath.Join(root, "target", p)); err != nil {
			fail(fmt.Errorf("the build of the deploy file has not run: %w", err))
		}
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fail(err)
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fail(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	pid := os.Getpid()
	r := &rig{
		ctx: ctx, cancel: cancel, began: time.Now(), root: root, dir: dir, record: record, trouble: os.Getenv("TROUBLE") != "0",
		net: fmt.Sprintf("127.%d.%d.", 64+pid%128, 1+pid/128%250), store: newStore(),
		jobs: map[string]*job{}, byKey: map[string]*run{}, crashes: map[string]int{}, crashBack: 3 * time.Second,
	}
	config, _ := json.Marshal(map[string]any{
		"version":  1,
		"routes":   []any{map[string]any{"name": "queue", "host": host, "pathPrefix": prefix, "kind": "unsafe", "timeoutMs": 3000, "targetDurationMs": 1000, "priority": 0, "service": service, "maxAttempts": 20, "stretch": 2.0}},
		"services": []any{map[string]any{"name": service, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "coldS": 0, "coldPerS": 0, "admissionCheck": true, "spare": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	r.store.put("keyed.op", "config", config)
	return r
}

// settings fills a template of the deploy file for a machine.
func (r *rig) fill(template, ip, node, zone, store string) []byte {
	t, err := os.ReadFile(filepath.Join(r.root, "deploy", template))
	if err != nil {
		fail(err)
	}
	return []byte(strings.NewReplacer(
		"{{ip}}", ip, "{{portRange.1}}", "7735", "{{portRange.0}}", "7720", "{{node}}", node, "{{zone}}", zone,
		"{{listenAddrs.front}}", ip+":8161", "{{listenAddrs.ready}}", ip+":8167", "{{listenAddrs.control}}", ip+":8166",
		"{{advice}}", "", "{{platform.address}}", store, "{{bounds.holdMaxMs}}", "6000", "{{platform.ttlMinMs}}", "1000", "{{platform.parts}}", "12",
	).Replace(string(t)))
}

// deploy starts entries, agents and workers. change alters the settings of an entry.
func (r *rig) deploy(entries, agents int, room size, change func(map[string]any)) {
	machine := 0
	next := func() string { machine++; return fmt.Sprintf("%s%d", r.net, machine) }
	add := func(program, node, zone, template string, change func(map[string]any)) (*process, string) {
		ip := next()
		at := ip + ":8169"
		l, err := net.Listen("tcp4", at)
		if err != nil {
			fail(err)
		}
		go http.Serve(l, r.store.handler(node))
		body := r.fill(template, ip, node, zone, at)
		if change != nil {
			var m map[string]any
			if err := json.Unmarshal(body, &m); err != nil {
				fail(err)
			}
			change(m)
			body, _ = json.MarshalIndent(m, "", "  ")
		}
		file := filepath.Join(r.dir, node+".json")
		if err := os.WriteFile(file, body, 0o600); err != nil {
			fail(err)
		}
		p := &process{r: r, name: node, program: program, settings: file, addr: ip + ":8161", ready: ip + ":8167"}
		p.start()
		return p, ip
	}
	zones := []string{"ga-east-a", "ga-east-b", "ga-east-c", "ga-east-d"}
	for i := range entries {
		z := zones[i%len(zones)]
		p, _ := add("entry", fmt.Sprintf("front-%s-%d", z, i/len(zones)+1), z, "entry.json", change)
		r.entries = append(r.entries, p)
	}
	for i := range agents {
		z := zones[i%len(zones)]
		p, ip := add("agent", fmt.Sprintf("side-%s-%d", z, i/len(zones)+1), z, "agent.json", nil)
		r.agents = append(r.agents, p)
		w := &worker{r: r, node: p.name, zone: z, addr: ip + ":8165", ctrl: ip + ":8166", room: room}
		if err := w.boot(); err != nil {
			fail(err)
		}
		r.workers = append(r.workers, w)
	}
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		up := 0
		for _, p := range r.entries {
			if a, err := http.Get("http://" + p.ready + "/ready"); err == nil {
				a.Body.Close()
				if a.StatusCode == 200 {
					up++
				}
			}
		}
		if up == len(r.entries) {
			break
		}
		if time.Now().After(end) {
			r.stop()
			fail(fmt.Errorf("%d of %d entries ready", up, len(r.entries)))
		}
	}
	time.Sleep(1500 * time.Millisecond)
	r.note("deployment ready", "entries", entries, "agents", agents)
}

func (p *process) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return
	}
	out, err := os.OpenFile(filepath.Join(p.r.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail(err)
	}
	c := exec.Command(filepath.Join(p.r.root, "target", p.program), "batch", "-settings", p.settings)
	c.Dir, c.Stdout, c.Stderr = p.r.root, out, out
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		fail(err)
	}
	p.cmd, p.disturbed = c, time.Now()
	p.r.note("process starts", "name", p.name, "pid", c.Process.Pid)
	go func() {
		err := c.Wait()
		out.Close()
		p.r.note("process ended", "name", p.name, "state", err)
		p.mu.Lock()
		delay := max(p.away, restartDelay)
		p.away = 0
		p.mu.Unlock()
		time.AfterFunc(delay, p.start)
	}()
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disturbed = time.Now()
	p.r.note("signal", "to", p.name, "signal", s)
	_ = p.cmd.Process.Signal(s)
}

func (r *rig) stop() {
	r.cancel()
	for _, p := range append(append([]*process(nil), r.entries...), r.agents...) {
		p.mu.Lock()
		p.stopped = true
		_ = p.cmd.Process.Kill()
		p.mu.Unlock()
	}
	time.Sleep(200 * time.Millisecond)
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(r.dir)
	} else {
		fmt.Println("logs in", r.dir)
	}
}

// leader returns the entry that last wrote to the store under a condition.
func (r *rig) leader() *process {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	for _, p := range r.entries {
		if p.name == r.store.lastFenced {
			return p
		}
	}
	return r.entries[0]
}

// workOf returns what a task does.
func (r *rig) workOf(task string) work {
	r.mu.Lock()
	defer r.mu.Unlock()
	if j := r.jobs[strings.SplitN(task, ".", 2)[0]]; j != nil {
		return j.work
	}
	return work{size: size{1, 1}, takes: time.Second}
}

// inTouch reports whether the process on a machine ran undisturbed for contactTime.
func (r *rig) inTouch(node string) bool {
	for _, p := range r.agents {
		if p.name == node {
			p.mu.Lock()
			defer p.mu.Unlock()
			return time.Since(p.disturbed) > contactTime
		}
	}
	return false
}

func keyOf(w *worker, k runKey) string { return fmt.Sprintf("%s/%s/%d", w.node, k.task, k.run) }

func (r *rig) runStarted(w *worker, k runKey) {
	inTouch := r.inTouch(w.node)
	r.mu.Lock()
	defer r.mu.Unlock()
	n := &run{worker: w.node, task: k.task, number: k.run, start: time.Now(), inTouch: inTouch}
	for _, o := range r.runs {
		if o.task != k.task {
			continue
		}
		n.afterDone = n.afterDone || o.how == "done" && o.acked
		n.overlaps = n.overlaps || o.end.IsZero() && !o.gone
	}
	r.runs = append(r.runs, n)
	r.byKey[keyOf(w, k)] = n
	r.noteLocked("start", "task", k.task, "run", k.run, "node", w.node, "after_done", n.afterDone, "beside_another", n.overlaps)
}

func (r *rig) runEnded(w *worker, k runKey, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := r.byKey[keyOf(w, k)]; n != nil {
		n.end, n.how = time.Now(), how
	}
	r.noteLocked("end", "task", k.task, "run", k.run, "node", w.node, "how", how)
}

// endAcked records that an end is taken note of. It is not if the lease lapsed
// between the two.
func (r *rig) endAcked(w *worker, e endRow, lapsed time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := r.byKey[keyOf(w, e.runKey)]; n != nil {
		n.acked = !lapsed.After(n.end)
		r.noteLocked("end noted", "task", e.task, "run", e.run, "node", w.node, "how", e.how, "lease_lapsed_between", !n.acked)
	}
}

func (r *rig) runGone(w *worker, k runKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := r.byKey[keyOf(w, k)]; n != nil {
		n.gone, n.end = true, time.Now()
	}
	r.noteLocked("lost with its worker", "task", k.task, "run", k.run, "node", w.node)
}

// crashUnder crashes a worker under a task that does so.
func (r *rig) crashUnder(w *worker, k runKey) {
	if !r.trouble {
		return
	}
	r.mu.Lock()
	r.crashes[k.task]++
	if n := r.byKey[keyOf(w, k)]; n != nil {
		n.crashed = true
	}
	r.mu.Unlock()
	w.crash(r.crashBack, "task "+k.task)
	if r.crashed != nil {
		go r.crashed(w)
	}
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// submit hands a job in as a client does: again after no answer or a refusal, at
// another daemon, four times at most.
func (r *rig) submit(count int, w work) *job {
	j := &job{id: newID(), count: count, work: w, sent: time.Now()}
	r.mu.Lock()
	r.jobs[j.id] = j
	r.mu.Unlock()
	step := map[string]any{"count": count, "cpu": w.size.cpu, "memMb": w.size.mem, "estDurationMs": w.takes.Milliseconds()}
	if w.lasts {
		step["longRunning"], step["targetMs"] = true, targetMS
		delete(step, "estDurationMs")
	}
	if w.fills {
		step["fills"] = true
	}
	if w.image != "" {
		step["image"] = w.image
	}
	body, _ := json.Marshal(map[string]any{"taskSpec": "spec of " + j.id, "steps": []any{step}})
	for range 5 {
		code := r.call(http.MethodPost, prefix+j.id, body, nil)
		r.note("submitted", "job", j.id, "tasks", count, "answer", code)
		switch code {
		case 200:
			j.accepted = time.Now()
			return j
		case 429, 503:
			j.rejected++
		default:
			j.unsure++
		}
		time.Sleep(500 * time.Millisecond)
	}
	return j
}

func (r *rig) cancelJob(j *job) {
	code := r.call(http.MethodDelete, prefix+j.id, nil, nil)
	r.note("cancel", "job", j.id, "answer", code)
	if code == 200 {
		j.cancelled = time.Now()
	}
}

// state asks for a job's state; "" is no answer.
func (r *rig) state(j *job) string {
	var out struct {
		State string `json:"state"`
	}
	switch r.call(http.MethodGet, prefix+j.id, nil, &out) {
	case 200:
		return out.State
	case 410:
		return "unknown"
	}
	return ""
}

var client = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}

// call sends a request to a daemon that is ready; 0 is no answer.
func (r *rig) call(method, path string, body []byte, out any) int {
	for _, i := range rand.Perm(len(r.entries)) {
		p := r.entries[i]
		a, err := client.Get("http://" + p.ready + "/ready")
		if err != nil {
			continue
		}
		a.Body.Close()
		if a.StatusCode != 200 {
			continue
		}
		req, _ := http.NewRequest(method, "http://"+p.addr+path, bytes.NewReader(body))
		req.Host = host
		req.Header.Set("Content-Type", "application/json")
		req.Header.Set("Time-Remaining", "3000")
		a, err = client.Do(req)
		if err != nil {
			return 0
		}
		defer a.Body.Close()
		b, err := io.ReadAll(a.Body)
		if err != nil {
			return 0
		}
		if out != nil {
			_ = json.Unmarshal(b, out)
		}
		return a.StatusCode
	}
	return 0
}

// sleepTo waits until a time since the start of the traffic.
func sleepTo(start time.Time, s float64) {
	time.Sleep(time.Until(start.Add(time.Duration(s * float64(time.Second)))))
}

func sortedJobs(m map[string]*job) []*job {
	var out []*job
	for _, j := range m {
		out = append(out, j)
	}
	sort.Slice(out, func(i, k int) bool { return out[i].sent.Before(out[k].sent) })
	return out
}

// TestMain plays the script named by the first argument, in the folder named by the
// second, in place of tests.
func TestMain(*testing.M) {
	if len(os.Args) != 3 {
		fail(fmt.Errorf("usage: rig SCRIPT FOLDER"))
	}
	scripts := map[string]func(*rig) []string{
		"dropped": dropped, "large": large, "cancelled": cancelled, "crashing": crashing, "images": images, "listing": listing, "unseen": unseen, "long": long,
	}
	script := scripts[os.Args[1]]
	if script == nil {
		fail(fmt.Errorf("no script %q", os.Args[1]))
	}
	r := newRig(os.Args[2])
	broken := script(r)
	for _, b := range broken {
		r.note("BROKEN " + b)
	}
	r.note("result", "trouble", r.trouble, "broken", len(broken))
	r.stop()
	if len(broken) > 0 {
		fmt.Printf("broken %d times, first: %s\n", len(broken), broken[0])
		os.Exit(1)
	}
	fmt.Println("held")
}
