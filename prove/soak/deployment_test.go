package soak_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/common"
	"github.com/berylspar/spar/prove/fault"
	"github.com/berylspar/spar/prove/stage"
	"github.com/berylspar/spar/stand/httpd"
	"github.com/berylspar/spar/stand/store"
	"github.com/berylspar/spar/stand/worker"
	"github.com/valyala/fasthttp"
)

const (
	service   = "desk"
	host      = "desk.example"
	prefix    = "/jobs/"
	attempts  = 50
	maxBody   = 4 << 20
	readyTime = 20 * time.Second
	// startTime is how long a process may take to install its signal handlers.
	startTime = 500 * time.Millisecond
)

// deployment is a whole system of real processes.
type deployment struct {
	t       *testing.T
	ctx     context.Context
	dir     string
	store   *store.Store
	record  *worker.Record
	workers []*worker.Worker
	entries []*process
	agents  []*process
	proxies []*fault.Proxy
	began   time.Time

	mu     sync.Mutex
	later  sync.WaitGroup
	random *rand.Rand
}

// process is a program that is started again and again.
type process struct {
	d               *deployment
	name, program   string
	settings, ready string
	listen          string
	mu              sync.Mutex
	proc            *stage.Proc
	started         time.Time
}

func newDeployment(t *testing.T, entries, agents int, random *rand.Rand) *deployment {
	ctx, cancel := context.WithCancel(context.Background())
	dir, err := os.MkdirTemp("", "soak-")
	if err != nil {
		t.Fatal(err)
	}
	d := &deployment{t: t, ctx: ctx, dir: dir, store: &store.Store{}, record: worker.NewRecord(), began: time.Now(), random: random}
	t.Cleanup(func() {
		d.later.Wait()
		for _, p := range append(d.entries, d.agents...) {
			p.kill()
		}
		cancel()
		if !t.Failed() {
			os.RemoveAll(dir)
		}
	})
	d.configure()
	at := d.serve(httpd.Store(d.store))
	for i := range entries {
		d.addEntry(i, d.proxy(at))
	}
	for i := range agents {
		d.addAgent(i, d.proxy(at))
	}
	go d.settle()
	return d
}

func (d *deployment) log(format string, args ...any) {
	d.t.Logf("%6.2f %s", time.Since(d.began).Seconds(), fmt.Sprintf(format, args...))
}

// configure writes the operators' configuration.
func (d *deployment) configure() {
	value, err := json.Marshal(map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "queue", "host": host, "pathPrefix": prefix, "service": service,
			"targetDurationMs": 1000, "maxAttempts": attempts, "stretch": 2, "priority": 0,
		}},
		"services": []any{map[string]any{"name": service, "admissionCheck": true}},
	})
	if err != nil {
		d.t.Fatal(err)
	}
	if _, err := d.store.Append("op", nil, []spar.Record{{Key: "config", Value: value}}); err != nil {
		d.t.Fatal(err)
	}
}

func (d *deployment) serve(h fasthttp.RequestHandler) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		d.t.Fatal(err)
	}
	common.ServeFastHTTP(d.ctx, l, h, maxBody)
	return l.Addr().String()
}

// proxy puts a proxy before an address.
func (d *deployment) proxy(target string) string {
	p, err := fault.NewProxy(target)
	if err != nil {
		d.t.Fatal(err)
	}
	p.Run(d.ctx)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.proxies = append(d.proxies, p)
	return p.Address()
}

func (d *deployment) ports(n int) []string {
	out, err := stage.FreePorts(n)
	if err != nil {
		d.t.Fatal(err)
	}
	return out
}

func (d *deployment) addEntry(i int, storeAt string) {
	a := d.ports(4)
	p := &process{d: d, program: "entry", name: fmt.Sprintf("entry-%d", i), listen: a[0], ready: a[1]}
	p.write(map[string]any{
		"name": p.name, "domain": "d", "listen": a[0], "ready": a[1], "agents": a[2], "admin": a[3],
		"reach_agents": d.proxy(a[2]), "store": storeAt, "grace_ms": 500,
	})
	d.entries = append(d.entries, p)
	p.start()
}

func (d *deployment) addAgent(i int, storeAt string) {
	a := d.ports(2)
	p := &process{d: d, program: "agent", name: fmt.Sprintf("agent-%d", i)}
	p.write(map[string]any{"name": p.name, "domain": "d", "control": a[0], "admin": a[1], "store": storeAt})
	size := spar.Size{CPUMilli: 4000, MemoryMB: 8000}
	w := worker.NewWorker(p.name, size, func(spar.TaskRef) spar.Size { return taskSize }, d.work, d.record)
	httpd.Beat(d.ctx, w, "d", service, d.proxy(d.serve(httpd.Worker(w))), a[0])
	d.workers, d.agents = append(d.workers, w), append(d.agents, p)
	p.start()
}

// work draws how long a task works and how it ends.
func (d *deployment) work(spar.TaskRef, int64) (time.Duration, spar.Ending) {
	d.mu.Lock()
	defer d.mu.Unlock()
	how := spar.EndDone
	if d.random.Float64() < 0.05 {
		how = spar.EndFailed
	}
	return time.Duration(100+d.random.IntN(1500)) * time.Millisecond, how
}

// settle keeps the workers up to date.
func (d *deployment) settle() {
	for d.ctx.Err() == nil {
		for _, w := range d.workers {
			w.Settle()
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (d *deployment) anyProcess(r *rand.Rand) *process {
	n := r.IntN(len(d.entries) + len(d.agents))
	if n < len(d.entries) {
		return d.entries[n]
	}
	return d.agents[n-len(d.entries)]
}

func (d *deployment) after(wait time.Duration, do func()) {
	d.background(func() {
		time.Sleep(wait)
		do()
	})
}

func (d *deployment) background(do func()) { d.later.Go(do) }

// heal waits for the faults to pass and has everything run.
func (d *deployment) heal() {
	d.later.Wait()
	for _, p := range d.proxies {
		p.SetRules(fault.Rules{})
	}
	for _, p := range append(d.entries, d.agents...) {
		p.signal(syscall.SIGCONT)
		p.start()
	}
}

func (d *deployment) awaitReady() {
	for end := time.Now().Add(readyTime); ; time.Sleep(50 * time.Millisecond) {
		up := 0
		for _, p := range d.entries {
			if a, err := http.Get("http://" + p.ready + "/ready"); err == nil {
				a.Body.Close()
				if a.StatusCode == http.StatusOK {
					up++
				}
			}
		}
		if up == len(d.entries) {
			return
		}
		if time.Now().After(end) {
			d.t.Fatalf("%d of %d entries ready after %s", up, len(d.entries), readyTime)
		}
	}
}

func (d *deployment) expectSound() {
	d.t.Helper()
	if b := d.record.Found(); len(b) > 0 {
		d.t.Fatalf("after %s: %v", time.Since(d.began), b)
	}
}

func (p *process) write(settings map[string]any) {
	body, err := json.MarshalIndent(settings, "", "  ")
	if err == nil {
		p.settings = filepath.Join(p.d.dir, p.name+".json")
		err = os.WriteFile(p.settings, body, 0o600)
	}
	if err != nil {
		p.d.t.Fatal(err)
	}
}

func (p *process) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.proc != nil {
		return
	}
	proc, err := stage.StartProc(filepath.Join("..", "..", "bin", p.program), filepath.Join(p.d.dir, p.name+".log"), "batch", "-settings", p.settings)
	if err != nil {
		p.d.t.Errorf("start %s: %v", p.name, err)
		return
	}
	p.proc, p.started = proc, time.Now()
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.proc != nil {
		p.proc.Signal(s)
	}
}

func (p *process) kill() { p.finish(func(s *stage.Proc) { s.Kill() }) }

// end stops the process by plan.
func (p *process) end() {
	p.finish(func(s *stage.Proc) {
		begun, age := time.Now(), time.Since(p.started)
		// A process that is still starting ends by the signal itself (seed 107:
		// exit code -1 within 257 µs of a stop right after a start).
		if !s.Stop() && age > startTime {
			p.d.t.Errorf("%s did not stop by plan: exit code %d after %s", p.name, s.ExitCode(), time.Since(begun))
		}
	})
}

func (p *process) finish(how func(*stage.Proc)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.proc != nil {
		how(p.proc)
		p.proc = nil
	}
}
