package lab

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	service = "returnsdesk"
	host    = "clip.example"
	prefix  = "/checkin/"
)

// errNotRun says that a case could not be brought about.
var errNotRun = errors.New("the case couldn't run")

// children are the processes that run now, to be ended if the case is interrupted.
var children processes

type processes struct {
	mu   sync.Mutex
	list map[*os.Process]bool
}

func (p *processes) add(o *os.Process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.list == nil {
		p.list = map[*os.Process]bool{}
	}
	p.list[o] = true
}

func (p *processes) remove(o *os.Process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.list, o)
}

func (p *processes) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for o := range p.list {
		o.Kill()
	}
}

// System is a small deployment: entries, agents, and stand-ins for the store and the workers.
type System struct {
	rec     *Record
	truth   *Truth
	repo    string
	dir     string
	store   string
	queue   *Store
	Entries []*Entry
	Agents  []*Process
	Workers []*Worker
}

// Process is a program of the project that can be started again.
type Process struct {
	sys      *System
	Name     string
	program  string
	settings string
	extra    []string
	mu       sync.Mutex
	cmd      *exec.Cmd
	done     chan struct{}
	log      *os.File
}

// Entry is an entry with its addresses.
type Entry struct {
	*Process
	Listen, Ready, Admin string
}

// The ports of a case lie below those that the system gives to outgoing connections, so
// that none of these takes one before its process listens.
const firstPort, lastPort = 14000, 32000

// lastUsed is the last port that freePorts has returned.
var lastUsed = firstPort + rand.IntN(lastPort-firstPort)

// freePorts returns loopback addresses with free ports, other ones at each call.
func freePorts(n int) ([]string, error) {
	var out []string
	for tries := 0; len(out) < n; tries++ {
		if tries > lastPort-firstPort {
			return nil, fmt.Errorf("%w: no free port", errNotRun)
		}
		if lastUsed++; lastUsed >= lastPort {
			lastUsed = firstPort
		}
		address := fmt.Sprintf("127.0.0.1:%d", lastUsed)
		l, err := net.Listen("tcp4", address)
		if err != nil {
			continue
		}
		l.Close()
		out = append(out, address)
	}
	return out, nil
}

// options of a deployment.
type options struct {
	entries, workers int
	capacity         Size
	// control returns the address to which a worker sends its reports, given that of its
	// agent; app the address that it reports, given its own. Both may be proxies.
	control func(i int, agent string) string
	app     func(i int, worker string) string
}

// newSystem starts a deployment and waits until it is ready.
func newSystem(rec *Record, repo string, o options) (*System, error) {
	dir, err := os.MkdirTemp("", "lab-")
	if err != nil {
		return nil, err
	}
	s := &System{rec: rec, truth: &Truth{rec: rec}, repo: repo, dir: dir, queue: NewStore()}
	s.queue.Put("keyed.op", "config", configuration(1))
	if s.store, err = s.queue.Serve(); err != nil {
		return s, err
	}
	for i := range o.entries {
		if err := s.addEntry(i); err != nil {
			return s, err
		}
	}
	for i := range o.workers {
		if err := s.addWorker(i, o); err != nil {
			return s, err
		}
	}
	return s, s.awaitReady()
}

func configuration(version int) []byte {
	body, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "checkin", "host": host, "pathPrefix": prefix, "service": service, "priority": 0,
			"maxAttempts": 3, "stretch": 2.0, "targetDurationMs": 1000,
		}},
		"services": []any{map[string]any{"name": service, "admissionCheck": true}},
		"limits":   map[string]any{"maxBodyBytes": 262144},
	})
	return body
}

func zone(i int) string { return "ga-east-" + string(rune('a'+i%3)) }

// common fields of the settings, as the deploy file's templates fill them in.
func (s *System) addEntry(i int) error {
	a, err := freePorts(4)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("front-%s-%d", zone(i), 1+i/3)
	settings := map[string]any{
		"log_level": "info", "admin": a[3], "name": name, "domain": zone(i), "listen": a[0], "ready": a[1], "agents": a[2],
		"adviser": "", "store": s.store,
		"owner": map[string]any{"max_lease_ms": maxHold.Milliseconds(), "least_ttl_ms": 1000, "partitions": partitions},
	}
	p := &Process{sys: s, Name: name, program: "target/entry", extra: []string{
		"-set", "owner.record_bytes=" + strconv.Itoa(maxRecord), "-set", "owner.call_bytes=" + strconv.Itoa(maxCall),
		"-set", "limits.memory_mb=284", "-set", "limits.descriptors=4100",
	}}
	s.Entries = append(s.Entries, &Entry{Process: p, Listen: a[0], Ready: a[1], Admin: a[3]})
	return p.write(settings)
}

func (s *System) addWorker(i int, o options) error {
	a, err := freePorts(3)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("side-%s-%d", zone(i), 1+i/3)
	p := &Process{sys: s, Name: name, program: "target/agent", extra: []string{"-set", "limits.memory_mb=152", "-set", "limits.descriptors=4096"}}
	s.Agents = append(s.Agents, p)
	if err := p.write(map[string]any{
		"log_level": "info", "admin": a[1], "name": name, "domain": zone(i), "control": a[0], "store": s.store,
	}); err != nil {
		return err
	}
	control, app := a[0], a[2]
	if o.control != nil {
		control = o.control(i, control)
	}
	w := NewWorker(s.rec, s.truth, zone(i), service, app, control, o.capacity)
	if o.app != nil {
		w.address = app
		w.reported = o.app(i, app)
	}
	s.Workers = append(s.Workers, w)
	return w.Boot(fmt.Sprintf("i-%d-1", i+1))
}

func (p *Process) write(settings map[string]any) error {
	body, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	p.settings = filepath.Join(p.sys.dir, p.Name+".json")
	if err := os.WriteFile(p.settings, body, 0o600); err != nil {
		return err
	}
	return p.Start()
}

// Start starts the program as the deploy file says.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.log == nil {
		f, err := os.Create(filepath.Join(p.sys.dir, p.Name+".log"))
		if err != nil {
			return err
		}
		p.log = f
	}
	cmd := exec.Command(filepath.Join(p.sys.repo, p.program), append([]string{"batch", "-settings", p.settings}, p.extra...)...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = p.sys.repo, p.log, p.log
	if err := cmd.Start(); err != nil {
		return err
	}
	children.add(cmd.Process)
	done := make(chan struct{})
	go func() {
		cmd.Wait()
		children.remove(cmd.Process)
		close(done)
	}()
	p.cmd, p.done = cmd, done
	p.sys.rec.Log("%s starts as process %d", p.Name, cmd.Process.Pid)
	return nil
}

// Kill ends the process at once.
func (p *Process) Kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.done
	p.sys.rec.Log("%s is killed", p.Name)
	p.cmd = nil
}

// Stop sends SIGTERM and waits until the process has ended.
func (p *Process) Stop(limit time.Duration) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.done:
	case <-time.After(limit):
		return fmt.Errorf("%w: %s does not stop", errNotRun, p.Name)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = nil
	p.sys.rec.Log("%s has stopped", p.Name)
	return nil
}

// Signal sends a signal.
func (p *Process) Signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return os.ErrProcessDone
	}
	p.sys.rec.Log("%s gets the signal %s", p.Name, s)
	return p.cmd.Process.Signal(s)
}

// Close ends all processes and removes the folder, but for the logs if KEEP is set.
func (s *System) Close() {
	for _, w := range s.Workers {
		w.End("the case is over")
	}
	for _, p := range s.Agents {
		p.Kill()
	}
	for _, e := range s.Entries {
		e.Kill()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs in", s.dir)
	}
}

func (s *System) awaitReady() error {
	ready := func() bool {
		for _, e := range s.Entries {
			a, err := http.Get("http://" + e.Ready + "/ready")
			if err != nil {
				return false
			}
			a.Body.Close()
			if a.StatusCode != http.StatusOK {
				return false
			}
		}
		for _, w := range s.Workers {
			if w.Holds() < 2 {
				return false
			}
		}
		return true
	}
	if !await(20*time.Second, ready) {
		return fmt.Errorf("%w: not ready after 20 s", errNotRun)
	}
	s.rec.Log("the system is ready")
	return nil
}

func await(limit time.Duration, f func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return f()
}

// step is a step of a job.
type step map[string]any

// Call makes a client's call to an entry.
func (s *System) Call(method, entry, id string, body any, limit time.Duration) (int, string, error) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	q, err := http.NewRequest(method, "http://"+entry+prefix+id, bytes.NewReader(data))
	if err != nil {
		return 0, "", err
	}
	q.Host = host
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("Time-Remaining", strconv.FormatInt(limit.Milliseconds(), 10))
	c := &http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := c.Do(q)
	if err != nil {
		return 0, "", err
	}
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	return a.StatusCode, strings.TrimSpace(string(text)), err
}

// Submit hands a job in, at one entry after the other until it is accepted.
func (s *System) Submit(id, spec string, steps []step) error {
	body := map[string]any{"taskSpec": spec, "steps": steps}
	for i := range 8 {
		e := s.Entries[i%len(s.Entries)]
		code, _, err := s.Call(http.MethodPost, e.Listen, id, body, 3*time.Second)
		s.rec.Log("POST %s%s at %s: answer %d, error %v", prefix, id, e.Name, code, err)
		if code == http.StatusOK {
			return nil
		}
		if code >= 400 && code < 500 && code != http.StatusTooManyRequests {
			return fmt.Errorf("job %s is answered with %d", id, code)
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("%w: job %s is not accepted", errNotRun, id)
}

// State asks for a job's state at one entry after the other.
func (s *System) State(id string) string {
	for i := range len(s.Entries) {
		code, text, err := s.Call(http.MethodGet, s.Entries[i].Listen, id, nil, 2*time.Second)
		if err == nil && code == http.StatusOK {
			return text
		}
		if err == nil && code == http.StatusGone {
			return "410"
		}
	}
	return "no answer"
}
