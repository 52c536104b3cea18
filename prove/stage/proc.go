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
func StartProc(path, logPath string, args ...string) (*Proc, error) {
	f, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	cmd := exec.Command(path, args...)
	cmd.Stdout, cmd.Stderr = f, f
	// A process group of its own keeps the terminal's Ctrl-C from the process,
	// so that the stage stops it. Pdeathsig kills it if the stage's process
	// dies first.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &Proc{cmd: cmd, done: make(chan struct{})}
	go func() {
		cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// Signal sends a signal to the process.
func (p *Proc) Signal(sig syscall.Signal) error { return p.cmd.Process.Signal(sig) }

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

// Exited reports whether the process has exited.
func (p *Proc) Exited() bool {
	select {
	case <-p.done:
		return true
	default:
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
