package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"puffincrank/internal/standin/checker"
)

// stopNode stops a node in order and starts it again.
func (f *fleet) stopNode(m *machine, r *rand.Rand) {
	f.wit.Term(m.name)
	f.stop(m.node)
	pause(span(r, time.Millisecond, 400*time.Millisecond))
	f.startNode(m)
}

func (f *fleet) roll(r *rand.Rand) {
	for range 1 + r.IntN(3) {
		f.with(r, checker.Planned+"roll", func(m *machine) { f.stopNode(m, r) })
		pause(span(r, time.Millisecond, 500*time.Millisecond))
	}
}

// rollAtOnce stops several nodes whose stops overlap, some told to read their settings
// right before or meanwhile.
func (f *fleet) rollAtOnce(r *rand.Rand) {
	var over sync.WaitGroup
	for range 2 + r.IntN(1+len(f.machines)/6) {
		own := rand.New(rand.NewPCG(r.Uint64(), 94))
		over.Add(1)
		f.g.Go("roll-at-once", func(context.Context) {
			defer over.Done()
			f.with(own, checker.Planned+"roll", func(m *machine) { f.stopBesideSettings(m, own) })
		})
		pause(span(r, time.Millisecond, 700*time.Millisecond))
	}
	over.Wait()
}

// rollInSteps stops one node after the other, each a step after the one before it is
// told to end: where a request came and where it is at work both end, one a step or
// several after the other.
func (f *fleet) rollInSteps(r *rand.Rand) {
	var over sync.WaitGroup
	step := span(r, 700*time.Millisecond, 1300*time.Millisecond)
	for range 3 + r.IntN(1+len(f.machines)/3) {
		own := rand.New(rand.NewPCG(r.Uint64(), 95))
		over.Add(1)
		f.g.Go("roll-in-steps", func(context.Context) {
			defer over.Done()
			f.with(own, checker.Planned+"roll", func(m *machine) { f.stopBesideSettings(m, own) })
		})
		pause(step)
	}
	over.Wait()
}

// stopBesideSettings stops a node that is told to read its settings before, meanwhile
// or not at all, or to end once more.
func (f *fleet) stopBesideSettings(m *machine, r *rand.Rand) {
	when := r.IntN(4)
	if when == 0 {
		f.reread(m)
		pause(span(r, time.Millisecond, 300*time.Millisecond))
	}
	if when == 1 {
		late := span(r, time.Millisecond, 2*time.Second)
		f.g.Go("settings-in-stop", func(context.Context) {
			pause(late)
			m.node.Signal(syscall.SIGHUP)
		})
	}
	if when == 2 {
		late, id := span(r, time.Millisecond, 4*time.Second), m.node.PID()
		f.g.Go("told-again", func(context.Context) {
			pause(late)
			m.node.SignalTo(id, syscall.SIGTERM)
		})
	}
	f.stopNode(m, r)
}

func (f *fleet) killNode(r *rand.Rand) {
	f.with(r, "killed", func(m *machine) { f.crash(m, r) })
}

func (f *fleet) crash(m *machine, r *rand.Rand) {
	m.node.Stop(syscall.SIGKILL, time.Second)
	pause(span(r, 50*time.Millisecond, time.Second))
	f.startNode(m)
}

func (f *fleet) freezeNode(r *rand.Rand) {
	f.with(r, "frozen", func(m *machine) {
		m.node.Signal(syscall.SIGSTOP)
		pause(span(r, 100*time.Millisecond, 4*time.Second))
		m.node.Signal(syscall.SIGCONT)
	})
}

func (f *fleet) freezeLeaving(r *rand.Rand) {
	f.with(r, "frozen", func(m *machine) {
		left := make(chan struct{})
		m.node.Signal(syscall.SIGSTOP)
		f.g.Go("leave", func(context.Context) { m.at().Leave(context.Background()); close(left) })
		pause(span(r, 100*time.Millisecond, 3*time.Second))
		m.node.Signal(syscall.SIGCONT)
		<-left
		f.startWorker(m)
	})
}

// hangup has nodes read their settings again, several times in a row; what they
// read has other seeds where core machines were replaced.
func (f *fleet) hangup(r *rand.Rand) {
	for range 2 + r.IntN(4) {
		f.with(r, "", func(m *machine) { f.reread(m) })
		pause(span(r, time.Millisecond, 300*time.Millisecond))
	}
}

func (f *fleet) reread(m *machine) {
	if err := f.nodeSettings(m); err != nil {
		f.blame("settings of %s: %v", m.name, err)
	}
	f.wit.Hup(m.name)
	m.node.Signal(syscall.SIGHUP)
}

// barrage sends signals that overlap: it is told to read its settings, frozen and
// told to end meanwhile, woken, and told once more.
func (f *fleet) barrage(r *rand.Rand) {
	f.with(r, "barrage", func(m *machine) {
		f.reread(m)
		m.node.Signal(syscall.SIGSTOP)
		f.wit.Term(m.name)
		m.node.Signal(syscall.SIGTERM)
		pause(span(r, time.Millisecond, 800*time.Millisecond))
		m.node.Signal(syscall.SIGCONT)
		for range r.IntN(4) {
			m.node.Signal([]syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGSTOP, syscall.SIGCONT}[r.IntN(4)])
			pause(span(r, time.Millisecond, 200*time.Millisecond))
		}
		m.node.Signal(syscall.SIGCONT)
		f.stop(m.node)
		f.startNode(m)
	})
}

// herd kills many nodes at once.
func (f *fleet) herd(r *rand.Rand) {
	var over sync.WaitGroup
	for range max(1, len(f.machines)/6) {
		seed := r.Uint64()
		over.Add(1)
		f.g.Go("herd", func(context.Context) {
			defer over.Done()
			f.killNode(rand.New(rand.NewPCG(seed, 93)))
		})
	}
	over.Wait()
}
