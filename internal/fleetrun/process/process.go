// Package process starts, signals and watches the real processes of a test run.
package process

import (
	"context"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"puffincrank/internal/task"
)

// Process is one that may be started again and again. It dies with its parent.
type Process struct {
	Name string
	// Command makes the command of the next start.
	Command func() *exec.Cmd
	// Log is the file that standard output and standard error are added to.
	Log string
	// Ended is told of each end that nobody asked for; unset, nobody is.
	Ended func(p *Process, code int)

	mu    sync.Mutex
	cmd   *exec.Cmd
	over  chan struct{}
	asked bool  // its end was
	from  int64 // where the log of its newest start begins
	cpu   time.Duration
	code  int
}

// Start starts the process; the group waits for it.
func (p *Process) Start(g *task.Group) error {
	log, err := os.OpenFile(p.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	info, err := log.Stat()
	if err != nil {
		_ = log.Close()
		return err
	}
	cmd := p.Command()
	cmd.Stderr, cmd.Stdout = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return err
	}
	over := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.over, p.asked, p.from = cmd, over, false, info.Size()
	p.mu.Unlock()
	g.Go("wait-process", func(context.Context) {
		_ = cmd.Wait()
		_ = log.Close()
		p.ended(cmd, over)
	})
	return nil
}

func (p *Process) ended(cmd *exec.Cmd, over chan struct{}) {
	p.mu.Lock()
	p.cpu += cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
	p.code = cmd.ProcessState.ExitCode()
	asked, code := p.asked, p.code
	p.mu.Unlock()
	close(over)
	if !asked && p.Ended != nil {
		p.Ended(p, code)
	}
}

// Signal sends a signal to the process that was started last.
func (p *Process) Signal(s syscall.Signal) { p.SignalTo(p.ID(), s) }

// SignalTo sends a signal to a process by its number, as long as none was started
// after it.
func (p *Process) SignalTo(id int, s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil || p.cmd.Process.Pid != id {
		return
	}
	if s == syscall.SIGTERM || s == syscall.SIGKILL || s == syscall.SIGINT {
		p.asked = true
	}
	_ = p.cmd.Process.Signal(s)
}

// End signals and waits, and kills what has not ended within the bound. The result
// is the exit code and how long it took.
func (p *Process) End(s syscall.Signal, bound time.Duration) (int, time.Duration) {
	from := time.Now()
	p.mu.Lock()
	over := p.over
	p.mu.Unlock()
	if over == nil {
		return 0, 0
	}
	p.Signal(s)
	t := time.NewTimer(bound)
	defer t.Stop()
	select {
	case <-over:
	case <-t.C:
		p.Signal(syscall.SIGKILL)
		<-over
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.code, time.Since(from)
}

// Logged tells whether its newest start has logged a text.
func (p *Process) Logged(text string) bool {
	p.mu.Lock()
	from := p.from
	p.mu.Unlock()
	raw, err := os.ReadFile(p.Log)
	return err == nil && int64(len(raw)) > from && strings.Contains(string(raw[from:]), text)
}

// ID is the number of the process that was started last, 0 if none was.
func (p *Process) ID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// CPU is the processor time of all its starts that have ended.
func (p *Process) CPU() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cpu
}
