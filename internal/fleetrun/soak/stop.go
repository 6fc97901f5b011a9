package soak

import (
	"context"
	"syscall"
	"time"

	"puffincrank/internal/fleetrun/process"
)

// endedBySignal is the exit code of a process that was ended by a signal.
const endedBySignal = -1

// shutDown shuts down all processes gracefully and checks that they exit as expected.
func (f *fleet) shutDown() {
	var proxies, others []*process.Process
	for _, m := range f.machines {
		proxies = append(proxies, m.proxy)
	}
	for _, c := range f.controlMachines {
		others = append(others, c.registry, c.store)
	}
	f.stopAll(proxies)
	for _, m := range f.machines {
		m.currentWorker().Kill()
	}
	f.stopAll(others)
}

func (f *fleet) stopAll(processes []*process.Process) {
	stopped := make(chan struct{}, len(processes))
	for _, p := range processes {
		f.tasks.Go("stop", func(context.Context) { f.stopGracefully(p); stopped <- struct{}{} })
	}
	for range processes {
		<-stopped
	}
}

// startedEvent is logged by a process when its ports are open.
const startedEvent = `"name":"started"`

// stopGracefully shuts down one process and checks its exit code and time. A process that
// does not yet catch signals is ended by the signal itself; that is allowed, since its
// ports are not open and no request can have reached it.
func (f *fleet) stopGracefully(p *process.Process) {
	code, took := p.Stop(syscall.SIGTERM, f.recorder.Bounds.Grace+time.Second)
	if code == endedBySignal && !p.HasLogged(startedEvent) {
		f.logf("%s was told to end before it had begun", p.Name)
		return
	}
	if code != 0 || took > f.recorder.Bounds.Grace {
		f.reportViolation("%s was told to end and ended with %d after %v", p.Name, code, took.Round(time.Millisecond))
	}
}

// killAll kills all remaining processes and workers.
func (f *fleet) killAll() {
	for _, m := range f.machines {
		m.proxy.Stop(syscall.SIGKILL, time.Second)
		if w := m.currentWorker(); w != nil {
			w.Kill()
		}
	}
	for _, c := range f.controlMachines {
		c.registry.Stop(syscall.SIGKILL, time.Second)
		c.store.Stop(syscall.SIGKILL, time.Second)
	}
	f.tasks.Cancel()
	f.tasks.Stop()
}
