package stage

import (
	"os"
	"os/exec"
	"syscall"
	"time"
)

// endLimit is how long a planned stop may take before the process is killed.
const stopTimeout = 12 * time.Second

// Proc is a process that the stage started.
type Proc struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// StartProc starts a program whose output goes to a log file.
func StartProc(path, log string, args ...string) (*Proc, error) {
	f, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	c := exec.Command(path, args...)
	c.Stdout, c.Stderr = f, f
	// A process group of its own keeps a Ctrl-C of the terminal away from it;
	// the stage ends it. It dies with the stage in any case.
	c.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return nil, err
	}
	p := &Proc{cmd: c, done: make(chan struct{})}
	go func() {
		c.Wait()
		close(p.done)
	}()
	return p, nil
}

// Signal sends a signal to the process.
func (p *Proc) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Kill ends the process at once and waits for it.
func (p *Proc) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// End stops the process by plan, or kills it when that takes too long. It tells
// whether the stop was by plan.
func (p *Proc) Stop() bool {
	p.Signal(syscall.SIGCONT)
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode() == 0
	case <-time.After(stopTimeout):
		p.Kill()
		return false
	}
}

// PID is the id of the process.
func (p *Proc) PID() int { return p.cmd.Process.Pid }

// ExitCode waits for the end and returns the exit code.
func (p *Proc) ExitCode() int {
	<-p.done
	return p.cmd.ProcessState.ExitCode()
}
