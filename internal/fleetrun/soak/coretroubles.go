package soak

import (
	"context"
	"math/rand/v2"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"puffincrank/internal/fleetrun/process"
	"puffincrank/internal/standin/actors"
)

// catchUp is how long a core machine counts as lost after its return.
const catchUp = 4 * time.Second

// one draws a core machine.
func (f *fleet) one(r *rand.Rand) *core {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cores[r.IntN(len(f.cores))]
}

// fell kills both programs of a core machine.
func (f *fleet) fell(c *core) {
	f.unsettled(c, true, "killed "+c.name)
	c.registry.Stop(syscall.SIGKILL, time.Second)
	c.store.Stop(syscall.SIGKILL, time.Second)
}

// back starts a core machine and lets it catch up.
func (f *fleet) back(c *core) {
	f.startCore(c, false)
	pause(catchUp)
}

func (f *fleet) killCore(r *rand.Rand) {
	c := f.one(r)
	f.fell(c)
	pause(span(r, 100*time.Millisecond, 2*time.Second))
	f.back(c)
}

func (f *fleet) stopCore(r *rand.Rand) {
	c := f.one(r)
	f.unsettled(c, true, "stopped "+c.name)
	f.stopAll([]*process.Process{c.registry, c.store})
	f.back(c)
}

func (f *fleet) freezeCore(r *rand.Rand) {
	c := f.one(r)
	p := []*process.Process{c.store, c.registry}[r.IntN(2)]
	f.unsettled(c, true, "frozen "+p.Name)
	p.Signal(syscall.SIGSTOP)
	pause(span(r, 300*time.Millisecond, 4*time.Second))
	p.Signal(syscall.SIGCONT)
	f.unsettled(c, false, "thawed "+p.Name)
	pause(catchUp)
}

func (f *fleet) wipeCore(r *rand.Rand) {
	c := f.one(r)
	f.fell(c)
	f.wipe(c)
	pause(span(r, 100*time.Millisecond, time.Second))
	f.back(c)
}

// replaceCore puts an empty machine at another address in a core machine's place.
func (f *fleet) replaceCore(r *rand.Rand) {
	old := f.one(r)
	if r.IntN(2) == 0 {
		f.unsettled(old, true, "stopped "+old.name)
		f.stopAll([]*process.Process{old.registry, old.store})
	} else {
		f.fell(old)
	}
	f.mu.Lock()
	fresh := f.newCore(old.area)
	for i, c := range f.cores {
		if c == old {
			f.cores[i] = fresh
		}
	}
	f.mu.Unlock()
	f.say("%s takes the place of %s", fresh.name, old.name)
	f.back(fresh)
}

// killAllCore kills every process of the core at once; all come back with their disks.
func (f *fleet) killAllCore(*rand.Rand) {
	f.mu.Lock()
	all := append([]*core(nil), f.cores...)
	f.mu.Unlock()
	for _, c := range all {
		f.fell(c)
	}
	for _, c := range all {
		f.startCore(c, false)
	}
	pause(catchUp)
}

// next makes the draft of a change; numbers climb in uneven steps.
func (f *fleet) next(r *rand.Rand) *actors.Draft {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.draft.Copy()
	d.Number += 1 + uint64(r.IntN(5))
	f.draft = d
	w := &d.Ways[r.IntN(len(d.Ways))]
	w.Left = w.Left * time.Duration(90+r.IntN(21)) / 100
	return d
}

func (f *fleet) change(r *rand.Rand) { f.op.Send(f.g.Context(), f.next(r), "", "") }

// changes sends one change after the other.
func (f *fleet) changes(r *rand.Rand) {
	for range 5 + r.IntN(20) {
		f.change(r)
		pause(span(r, time.Millisecond, 150*time.Millisecond))
	}
}

func (f *fleet) race(r *rand.Rand) {
	one, two := f.next(r), f.next(r)
	over := make(chan struct{})
	f.g.Go("race", func(ctx context.Context) { f.op.Send(ctx, one, "", ""); close(over) })
	f.op.Send(f.g.Context(), two, "", "")
	<-over
}

// wipe empties a store's folder.
func (f *fleet) wipe(c *core) {
	if err := os.RemoveAll(filepath.Join(f.o.Dir, c.name+".store.data")); err != nil {
		f.blame("the disk of %s could not be wiped: %v", c.name, err)
	}
}
