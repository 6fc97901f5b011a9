package soak

import (
	"context"
	"syscall"
	"time"

	"puffincrank/internal/fleetrun/process"
)

// endedBySignal is the exit code of a process that a signal ended.
const endedBySignal = -1

// down stops everything in order and checks that it ends so.
func (f *fleet) down() {
	var nodes, others []*process.Process
	for _, m := range f.machines {
		nodes = append(nodes, m.node)
	}
	for _, c := range f.cores {
		others = append(others, c.registry, c.store)
	}
	f.stopAll(nodes)
	for _, m := range f.machines {
		m.at().Kill()
	}
	f.stopAll(others)
}

func (f *fleet) stopAll(all []*process.Process) {
	over := make(chan struct{}, len(all))
	for _, p := range all {
		f.g.Go("stop", func(context.Context) { f.stop(p); over <- struct{}{} })
	}
	for range all {
		<-over
	}
}

// hasPorts is what a process logs when its ports are open.
const hasPorts = `"name":"started"`

// stop ends one process in order. One whose runtime has not come as far as to catch
// signals ends by the signal itself; nothing can have reached it, since it has no
// ports yet.
func (f *fleet) stop(p *process.Process) {
	code, took := p.Stop(syscall.SIGTERM, f.wit.B.Grace+time.Second)
	if code == endedBySignal && !p.HasLogged(hasPorts) {
		f.say("%s was told to end before it had begun", p.Name)
		return
	}
	if code != 0 || took > f.wit.B.Grace {
		f.blame("%s was told to end and ended with %d after %v", p.Name, code, took.Round(time.Millisecond))
	}
}

// end kills what is left.
func (f *fleet) end() {
	for _, m := range f.machines {
		m.node.Stop(syscall.SIGKILL, time.Second)
		if w := m.at(); w != nil {
			w.Kill()
		}
	}
	for _, c := range f.cores {
		c.registry.Stop(syscall.SIGKILL, time.Second)
		c.store.Stop(syscall.SIGKILL, time.Second)
	}
	f.g.Cancel()
	f.g.Stop()
}
