// Package process starts, signals and supervises the real processes of a test run.
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

// Process is a process that can be started repeatedly. It is killed when its parent ends.
type Process struct {
	Name string
	// Command returns the command of the next start.
	Command func() *exec.Cmd
	// Log is the file to which standard output and standard error are appended.
	Log string
	// OnUnexpectedExit, if set, is called when the process ends without a stop signal.
	OnUnexpectedExit func(p *Process, code int)

	mu            sync.Mutex
	cmd           *exec.Cmd
	exited        chan struct{}
	stopRequested bool  // a stop signal was sent
	logOffset     int64 // where the log of the latest start begins
	cpu           time.Duration
	exitCode      int
}

// Start starts the process. A task of the group waits for its end.
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
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited, p.stopRequested, p.logOffset = cmd, exited, false, info.Size()
	p.mu.Unlock()
	g.Go("wait-process", func(context.Context) {
		_ = cmd.Wait()
		_ = log.Close()
		p.recordExit(cmd, exited)
	})
	return nil
}

func (p *Process) recordExit(cmd *exec.Cmd, exited chan struct{}) {
	p.mu.Lock()
	p.cpu += cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
	p.exitCode = cmd.ProcessState.ExitCode()
	requested, code := p.stopRequested, p.exitCode
	p.mu.Unlock()
	close(exited)
	if !requested && p.OnUnexpectedExit != nil {
		p.OnUnexpectedExit(p, code)
	}
}

// Signal sends a signal to the process that was started last.
func (p *Process) Signal(signal syscall.Signal) { p.SignalTo(p.PID(), signal) }

// SignalTo sends a signal to the process with this PID, unless another one was started
// after it.
func (p *Process) SignalTo(pid int, signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil || p.cmd.Process.Pid != pid {
		return
	}
	if signal == syscall.SIGTERM || signal == syscall.SIGKILL || signal == syscall.SIGINT {
		p.stopRequested = true
	}
	_ = p.cmd.Process.Signal(signal)
}

// Stop sends a signal, waits for the end of the process, and kills it after the timeout.
// It returns the exit code and the time taken.
func (p *Process) Stop(signal syscall.Signal, timeout time.Duration) (int, time.Duration) {
	begin := time.Now()
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return 0, 0
	}
	p.Signal(signal)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-exited:
	case <-timer.C:
		p.Signal(syscall.SIGKILL)
		<-exited
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exitCode, time.Since(begin)
}

// HasLogged returns whether the process has logged a text since its latest start.
func (p *Process) HasLogged(text string) bool {
	p.mu.Lock()
	offset := p.logOffset
	p.mu.Unlock()
	content, err := os.ReadFile(p.Log)
	return err == nil && int64(len(content)) > offset && strings.Contains(string(content[offset:]), text)
}

// PID returns the PID of the process that was started last, 0 if none was.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// CPU returns the processor time of all earlier starts that have ended.
func (p *Process) CPU() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cpu
}
