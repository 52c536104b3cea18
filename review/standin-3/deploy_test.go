package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// timeLimit is how long a case may take.
const timeLimit = 115 * time.Second

// deployment is a small deployment of the project's own processes with stand-ins around.
type deployment struct {
	dir, record string
	begun       time.Time
	store       *store
	storeAddr   string
	config      int64
	entries     []*process
	agents      []*process
	// ending is held when the processes are ended; none is started after that.
	ending sync.Mutex
	mu     sync.Mutex
	out    *os.File
}

// process is an entry or an agent, started with the command of the deploy file.
type process struct {
	d                         *deployment
	name, role, settings      string
	front, ready, admin, ctrl string
	memoryMB                  int
	mu                        sync.Mutex
	cmd                       *exec.Cmd
	done                      chan struct{}
}

func newDeployment(record string) *deployment {
	dir, err := os.MkdirTemp("", "review-")
	check(err)
	out, err := os.Create(record)
	check(err)
	d := &deployment{dir: dir, begun: time.Now(), store: newStore(), out: out}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case s := <-stop:
			d.note("stopped by %v", s)
		case <-time.After(timeLimit):
			d.note("not over after %s", timeLimit)
		}
		d.end(2)
	}()
	d.storeAddr = d.serve(d.store.handler())
	return d
}

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
}

// note writes a line to the record.
func (d *deployment) note(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	line := fmt.Sprintf("%8.3f %s\n", time.Since(d.begun).Seconds(), fmt.Sprintf(format, args...))
	io.WriteString(d.out, line)
	io.WriteString(os.Stdout, line)
}

// serve serves a handler on a free port of the loopback interface.
func (d *deployment) serve(h http.Handler) string {
	l, err := net.Listen("tcp4", freeAddr())
	check(err)
	go (&http.Server{Handler: h}).Serve(l)
	return l.Addr().String()
}

var (
	portsMu sync.Mutex
	ports   = map[int]bool{}
	// loopback is an address of the loopback network that no other run has.
	loopback = fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), 1+rand.IntN(250), 1+rand.IntN(250))
)

// freeAddr returns an address with a port that is free now. It is below the ports that the
// system gives to connections, so that none takes it before a process listens there.
func freeAddr() string {
	portsMu.Lock()
	defer portsMu.Unlock()
	for {
		port := 15000 + rand.IntN(17000)
		address := fmt.Sprintf("%s:%d", loopback, port)
		if ports[port] {
			continue
		}
		l, err := net.Listen("tcp4", address)
		if err != nil {
			continue
		}
		l.Close()
		ports[port] = true
		return address
	}
}

// queue is a route of the operator's configuration.
type queue struct {
	Name        string  `json:"name"`
	Host        string  `json:"host"`
	Prefix      string  `json:"pathPrefix"`
	Kind        string  `json:"kind"`
	TimeoutMS   int     `json:"timeoutMs"`
	TargetMS    int     `json:"targetDurationMs"`
	Priority    int     `json:"priority"`
	Service     string  `json:"service"`
	MaxAttempts int     `json:"maxAttempts"`
	Stretch     float64 `json:"stretch"`
}

// service is the service of all workers here.
const service = "desk"

// configure stores the next version of the configuration.
func (d *deployment) configure(admissionCheck bool, queues ...queue) {
	d.config++
	value, err := json.Marshal(map[string]any{
		"version": d.config, "routes": queues,
		"services": []any{map[string]any{"name": service, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "admissionCheck": admissionCheck, "spare": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	check(err)
	d.store.put("op", "config", value)
	d.note("operator: configuration %d is in the store", d.config)
}

func defaultQueue() queue {
	return queue{Name: "r-jobs", Host: "desk.example", Prefix: "/jobs/", Kind: "unsafe", TimeoutMS: 3000, TargetMS: 1000, Service: service, MaxAttempts: 3, Stretch: 2}
}

// addEntry starts an entry with settings as deploy/entry.json has them.
func (d *deployment) addEntry(name string, memoryMB int) *process {
	p := &process{d: d, name: name, role: "entry", front: freeAddr(), ready: freeAddr(), admin: freeAddr(), memoryMB: memoryMB}
	p.write(map[string]any{
		"log_level": "info", "admin": p.admin, "name": name, "domain": "zone-a", "listen": p.front, "ready": p.ready,
		"agents": freeAddr(), "adviser": "", "store": d.storeAddr,
		"owner": map[string]any{"max_lease_ms": 6000, "least_ttl_ms": 1000, "partitions": partitions},
	})
	d.entries = append(d.entries, p)
	p.start()
	return p
}

// addAgent starts an agent with settings as deploy/agent.json has them.
func (d *deployment) addAgent(name string) *process {
	p := &process{d: d, name: name, role: "agent", admin: freeAddr(), ctrl: freeAddr(), memoryMB: 152}
	p.write(map[string]any{"log_level": "info", "admin": p.admin, "name": name, "domain": "zone-a", "control": p.ctrl, "store": d.storeAddr})
	d.agents = append(d.agents, p)
	p.start()
	return p
}

func (p *process) write(settings map[string]any) {
	p.settings = filepath.Join(p.d.dir, p.name+".json")
	out, err := json.Marshal(settings)
	check(err)
	check(os.WriteFile(p.settings, out, 0o600))
}

// start starts the process.
func (p *process) start() {
	p.d.ending.Lock()
	defer p.d.ending.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	args := []string{"batch", "-settings", p.settings}
	if p.role == "entry" {
		args = append(args, "-set", "owner.record_bytes=262144", "-set", "owner.call_bytes=2097152")
	}
	descriptors := 4096
	if p.role == "entry" {
		descriptors = 4100
	}
	args = append(args, "-set", fmt.Sprintf("limits.memory_mb=%d", p.memoryMB), "-set", fmt.Sprintf("limits.descriptors=%d", descriptors))
	log, err := os.OpenFile(filepath.Join(p.d.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	c := exec.Command(filepath.Join("target", p.role), args...)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BERYLSPAR_NODE_FILE=" + p.settings}
	c.Stdout, c.Stderr = log, log
	check(c.Start())
	done := make(chan struct{})
	p.cmd, p.done = c, done
	p.d.note("%s is started, process %d", p.name, c.Process.Pid)
	go func() {
		c.Wait()
		log.Close()
		p.d.note("%s has ended: %v", p.name, c.ProcessState)
		close(done)
	}()
}

// pid returns the process ID, or 0 if the process is not running.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.done:
		return 0
	default:
		return p.cmd.Process.Pid
	}
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	if pid := p.pid(); pid != 0 {
		p.d.note("%s gets %v", p.name, s)
		syscall.Kill(pid, s)
	}
}

// kill kills the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// residentMB returns the resident memory of the process in MB, and its peak.
func (p *process) residentMB() (now, peak int) {
	pid := p.pid()
	if pid == 0 {
		return 0, 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		f := strings.Fields(line)
		if len(f) < 2 {
			continue
		}
		n, _ := strconv.Atoi(f[1])
		switch f[0] {
		case "VmRSS:":
			now = n / 1024
		case "VmHWM:":
			peak = n / 1024
		}
	}
	return now, peak
}

// isReady asks an entry as the balancer does.
func (p *process) isReady() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + p.ready + "/ready")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// awaitReady waits until all entries are ready.
func (d *deployment) awaitReady(limit time.Duration) {
	for end := time.Now().Add(limit); ; time.Sleep(50 * time.Millisecond) {
		all := true
		for _, p := range d.entries {
			all = all && p.isReady()
		}
		if all {
			d.note("all entries are ready")
			return
		}
		if time.Now().After(end) {
			d.note("entries are not ready after %s", limit)
			d.end(2)
		}
	}
}

// end ends all processes and the program.
func (d *deployment) end(code int) {
	d.ending.Lock()
	d.note("result: exit %d", code)
	for _, p := range append(d.entries, d.agents...) {
		if pid := p.pid(); pid != 0 {
			syscall.Kill(pid, syscall.SIGKILL)
			<-p.done
		}
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(d.dir)
	} else {
		d.note("logs are in %s", d.dir)
	}
	d.out.Close()
	os.Exit(code)
}

// call makes a client's request to an entry. It returns 0 without an answer.
func (d *deployment) call(p *process, method, path, host string, body []byte, limit time.Duration) (int, []byte) {
	q, err := http.NewRequest(method, "http://"+p.front+path, strings.NewReader(string(body)))
	check(err)
	q.Host = host
	q.Header.Set("Time-Remaining", strconv.Itoa(int(limit.Milliseconds())))
	if body != nil {
		q.Header.Set("Content-Type", "application/json")
	}
	c := http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := c.Do(q)
	if err != nil {
		return 0, nil
	}
	defer a.Body.Close()
	out, err := io.ReadAll(a.Body)
	if err != nil {
		return 0, nil
	}
	return a.StatusCode, out
}
