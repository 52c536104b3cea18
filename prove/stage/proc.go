package stage

import (
	"os"
	"os/exec"
	"syscall"
	"time"
)

// stopTimeout is how long a process may take to stop after SIGTERM before it is
// killed.
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
	// In a process group of its own it does not receive a Ctrl-C of the terminal;
	// the stage stops it. Pdeathsig kills it if the stage's process dies first.
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

// Kill kills the process and waits until it has exited.
func (p *Proc) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Stop sends SIGTERM and kills the process if it has not exited after
// stopTimeout. It reports whether the process exited by itself with code 0.
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

// PID returns the process id.
func (p *Proc) PID() int { return p.cmd.Process.Pid }

// ExitCode waits until the process has exited and returns its exit code.
func (p *Proc) ExitCode() int {
	<-p.done
	return p.cmd.ProcessState.ExitCode()
}
