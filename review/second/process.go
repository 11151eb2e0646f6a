package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const sigterm = syscall.SIGTERM

// Process is one process of the system, started the way the deploy file says.
type Process struct {
	Name string
	// Output is the path of the file that collects what the process prints.
	Output string

	program string
	role    string
	env     []string
	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{}
}

// newProcess returns a process of a role with a settings file.
func newProcess(dir, name, program, role, settings string, env ...string) *Process {
	return &Process{
		Name: name, Output: filepath.Join(dir, name+".log"), program: program, role: role,
		env: append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + dir, "LANG=C.UTF-8", "LEDGESILL_CONFIG=" + settings}, env...),
	}
}

// Start starts the process.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.Output, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(p.program, p.role)
	cmd.Env, cmd.Stdout, cmd.Stderr = p.env, log, log
	// The process ends with this one, whatever happens to it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("starting %s: %w", p.Name, err)
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go func() {
		_ = cmd.Wait() // processes are ended by signals
		close(done)
	}()
	return nil
}

// PID returns the id of the running process; zero before the first start.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Signal sends a signal to the process if it runs.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s) // fails only if it has ended
	}
}

// HasEnded reports whether the process has ended.
func (p *Process) HasEnded() bool {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// Wait waits for the end of the process, at most for a time, and reports whether it has ended.
func (p *Process) Wait(limit time.Duration) bool {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done == nil {
		return true
	}
	select {
	case <-done:
		return true
	case <-time.After(limit):
		return false
	}
}

// Stop kills the process and waits for its end.
func (p *Process) Stop() {
	p.Signal(syscall.SIGCONT)
	p.Signal(syscall.SIGKILL)
	p.Wait(5 * time.Second)
}
