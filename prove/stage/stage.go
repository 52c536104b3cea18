// Package stage starts a deployment of real processes on this machine: the
// platform's stand-in, entries and agents. It stops only processes that it
// started.
package stage

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Plan describes the deployment to start.
type Plan struct {
	// Bin is the folder of the built programs.
	Bin string
	// Dir is the folder for settings and logs; empty for a temporary one.
	Dir     string
	Domains []string
	Entries int
	Workers int
	Service string
	// Processors and MemoryMB are the total size of a worker; batch work may
	// use three quarters of it.
	Processors       int64
	MemoryMB         int64
	ServiceUS        int64
	Slots            int
	RetainMS         int64
	AppendsPerSecond int64
	// EntryOverrides and AgentOverrides replace fields of the settings of
	// entries and agents.
	EntryOverrides map[string]any
	AgentOverrides map[string]any
	// DialAddress returns the address that one process uses to reach another,
	// such as that of a proxy in tests. If it is nil, processes connect
	// directly.
	DialAddress func(from, to, address string) string
}

// Stage is a running deployment.
type Stage struct {
	plan          Plan
	dir           string
	removeDir     bool
	platform      string
	mu            sync.Mutex
	procs         map[string]*Proc
	entries       []*Entry
	agents        []*Agent
	settingsPaths map[string]string
}

// Entry holds the name, addresses and domain of an entry.
type Entry struct {
	Name, Listen, Control, Admin, Domain string
}

// Agent holds the worker name, addresses and domain of an agent.
type Agent struct {
	Worker, Listen, Control, Admin, Backend, Domain string
}

const readyTimeout = 15 * time.Second

// Open starts a deployment and waits until the stand-in answers and all entries
// are ready.
func Open(ctx context.Context, p Plan) (*Stage, error) {
	s := &Stage{plan: p, dir: p.Dir, procs: map[string]*Proc{}, settingsPaths: map[string]string{}}
	if s.dir == "" {
		dir, err := os.MkdirTemp("", "berylspar")
		if err != nil {
			return nil, err
		}
		s.dir, s.removeDir = dir, true
	}
	if err := s.open(ctx); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Stage) open(ctx context.Context) error {
	if err := s.allocateAndWriteSettings(); err != nil {
		return err
	}
	if err := s.startStandIn(ctx); err != nil {
		return err
	}
	for _, e := range s.entries {
		if err := s.Start("entry", e.Name); err != nil {
			return err
		}
	}
	for _, a := range s.agents {
		if err := s.Start("agent", a.Worker); err != nil {
			return err
		}
	}
	for _, e := range s.entries {
		if err := s.AwaitReady(ctx, e.Admin); err != nil {
			return err
		}
	}
	return nil
}

// allocateAndWriteSettings assigns addresses and writes all settings files.
func (s *Stage) allocateAndWriteSettings() error {
	addresses, err := FreePorts(1 + 3*s.plan.Entries + 4*s.plan.Workers)
	if err != nil {
		return err
	}
	nextAddress := func() string {
		address := addresses[0]
		addresses = addresses[1:]
		return address
	}
	s.platform = nextAddress()
	for i := range s.plan.Entries {
		s.entries = append(s.entries, &Entry{Name: fmt.Sprintf("entry-%d", i+1), Listen: nextAddress(), Control: nextAddress(), Admin: nextAddress(), Domain: s.domainAt(i)})
	}
	for i := range s.plan.Workers {
		s.agents = append(s.agents, &Agent{Worker: fmt.Sprintf("worker-%d", i+1), Listen: nextAddress(), Control: nextAddress(), Admin: nextAddress(), Backend: nextAddress(), Domain: s.domainAt(i)})
	}
	return s.writeAllSettings()
}

func (s *Stage) domainAt(i int) string { return s.plan.Domains[i%len(s.plan.Domains)] }

func (s *Stage) dialAddress(from, to, address string) string {
	if s.plan.DialAddress == nil {
		return address
	}
	return s.plan.DialAddress(from, to, address)
}

func (s *Stage) writeAllSettings() error {
	if err := s.writeSettings("stand", s.standInSettings()); err != nil {
		return err
	}
	for _, e := range s.entries {
		if err := s.writeSettings(e.Name, s.entrySettings(e)); err != nil {
			return err
		}
	}
	for _, a := range s.agents {
		if err := s.writeSettings(a.Worker, s.agentSettings(a)); err != nil {
			return err
		}
	}
	return nil
}

func (s *Stage) writeSettings(name string, settings map[string]any) error {
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	path := filepath.Join(s.dir, name+".json")
	s.settingsPaths[name] = path
	return os.WriteFile(path, data, 0o600)
}

// Entries returns the entries of the deployment.
func (s *Stage) Entries() []*Entry { return s.entries }

// Agents returns the agents of the deployment.
func (s *Stage) Agents() []*Agent { return s.agents }

// PlatformAddress returns the address of the platform's stand-in.
func (s *Stage) PlatformAddress() string { return s.platform }

// Close stops all processes, gracefully where possible, and removes a temporary
// folder.
func (s *Stage) Close() error {
	s.mu.Lock()
	procs := make([]*Proc, 0, len(s.procs))
	for _, p := range s.procs {
		procs = append(procs, p)
	}
	s.mu.Unlock()
	var stopping sync.WaitGroup
	for _, p := range procs {
		stopping.Go(func() { p.Stop() })
	}
	stopping.Wait()
	if s.removeDir {
		return os.RemoveAll(s.dir)
	}
	return nil
}

// Proc returns a process by name: stand, entry-N or worker-N.
func (s *Stage) Proc(name string) *Proc {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.procs[name]
}

// Start starts a program under a process name, with the settings file of that
// name.
func (s *Stage) Start(program, name string) error {
	p, err := StartProc(filepath.Join(s.plan.Bin, program), filepath.Join(s.dir, name+".log"), "-settings", s.settingsPaths[name])
	if err != nil {
		return errors.Wrapf(err, "start %s", name)
	}
	s.mu.Lock()
	s.procs[name] = p
	s.mu.Unlock()
	return nil
}

// LogPath returns the path of the file with the output of a process.
func (s *Stage) LogPath(name string) string { return filepath.Join(s.dir, name+".log") }

// Log returns the output of a process, for failure reports.
func (s *Stage) Log(name string) string {
	data, err := os.ReadFile(s.LogPath(name))
	if err != nil {
		return err.Error()
	}
	return string(data)
}
