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

// catchUpTime is how long a control plane machine counts as lost after its restart.
const catchUpTime = 4 * time.Second

// randomControlMachine draws a machine of the control plane.
func (f *fleet) randomControlMachine(r *rand.Rand) *controlMachine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.controlMachines[r.IntN(len(f.controlMachines))]
}

// killBoth kills both programs of a control plane machine.
func (f *fleet) killBoth(machine *controlMachine) {
	f.recordControlChange(machine, true, "killed "+machine.name)
	machine.registry.Stop(syscall.SIGKILL, time.Second)
	machine.store.Stop(syscall.SIGKILL, time.Second)
}

// startAndCatchUp starts a control plane machine and gives it time to catch up.
func (f *fleet) startAndCatchUp(machine *controlMachine) {
	f.startControlMachine(machine, false)
	sleep(catchUpTime)
}

func (f *fleet) killControlMachine(r *rand.Rand) {
	machine := f.randomControlMachine(r)
	f.killBoth(machine)
	sleep(randomDuration(r, 100*time.Millisecond, 2*time.Second))
	f.startAndCatchUp(machine)
}

func (f *fleet) stopControlMachine(r *rand.Rand) {
	machine := f.randomControlMachine(r)
	f.recordControlChange(machine, true, "stopped "+machine.name)
	f.stopAll([]*process.Process{machine.registry, machine.store})
	f.startAndCatchUp(machine)
}

func (f *fleet) pauseControlProcess(r *rand.Rand) {
	machine := f.randomControlMachine(r)
	p := []*process.Process{machine.store, machine.registry}[r.IntN(2)]
	f.recordControlChange(machine, true, "frozen "+p.Name)
	p.Signal(syscall.SIGSTOP)
	sleep(randomDuration(r, 300*time.Millisecond, 4*time.Second))
	p.Signal(syscall.SIGCONT)
	f.recordControlChange(machine, false, "thawed "+p.Name)
	sleep(catchUpTime)
}

func (f *fleet) wipeControlMachine(r *rand.Rand) {
	machine := f.randomControlMachine(r)
	f.killBoth(machine)
	f.wipeStore(machine)
	sleep(randomDuration(r, 100*time.Millisecond, time.Second))
	f.startAndCatchUp(machine)
}

// replaceControlMachine replaces a control plane machine with an empty one at another
// address.
func (f *fleet) replaceControlMachine(r *rand.Rand) {
	old := f.randomControlMachine(r)
	if r.IntN(2) == 0 {
		f.recordControlChange(old, true, "stopped "+old.name)
		f.stopAll([]*process.Process{old.registry, old.store})
	} else {
		f.killBoth(old)
	}
	f.mu.Lock()
	replacement := f.newControlMachine(old.zone)
	for i, c := range f.controlMachines {
		if c == old {
			f.controlMachines[i] = replacement
		}
	}
	f.mu.Unlock()
	f.logf("%s takes the place of %s", replacement.name, old.name)
	f.startAndCatchUp(replacement)
}

// killControlPlane kills all processes of the control plane and starts them again with
// their data.
func (f *fleet) killControlPlane(*rand.Rand) {
	f.mu.Lock()
	machines := append([]*controlMachine(nil), f.controlMachines...)
	f.mu.Unlock()
	for _, c := range machines {
		f.killBoth(c)
	}
	for _, c := range machines {
		f.startControlMachine(c, false)
	}
	sleep(catchUpTime)
}

// nextDraft returns the draft of the next change. Its version number rises by a random step
// and the timeout of one of its routes changes by up to 10 %.
func (f *fleet) nextDraft(r *rand.Rand) *actors.Draft {
	f.mu.Lock()
	defer f.mu.Unlock()
	draft := f.draft.Copy()
	draft.Number += 1 + uint64(r.IntN(5))
	f.draft = draft
	route := &draft.Routes[r.IntN(len(f.lines))]
	route.Timeout = route.Timeout * time.Duration(90+r.IntN(21)) / 100
	return draft
}

func (f *fleet) changeConfig(r *rand.Rand) {
	f.operator.Send(f.tasks.Context(), f.nextDraft(r), "", "")
}

// changeConfigRepeatedly sends a series of changes one after another.
func (f *fleet) changeConfigRepeatedly(r *rand.Rand) {
	for range 5 + r.IntN(20) {
		f.changeConfig(r)
		sleep(randomDuration(r, time.Millisecond, 150*time.Millisecond))
	}
}

// changeConfigConcurrently sends two changes at the same time.
func (f *fleet) changeConfigConcurrently(r *rand.Rand) {
	first, second := f.nextDraft(r), f.nextDraft(r)
	firstDone := make(chan struct{})
	f.tasks.Go("race", func(ctx context.Context) { f.operator.Send(ctx, first, "", ""); close(firstDone) })
	f.operator.Send(f.tasks.Context(), second, "", "")
	<-firstDone
}

// wipeStore removes the data of a store.
func (f *fleet) wipeStore(machine *controlMachine) {
	if err := os.RemoveAll(filepath.Join(f.options.Dir, machine.name+".store.data")); err != nil {
		f.reportViolation("the disk of %s could not be wiped: %v", machine.name, err)
	}
}
