package sim

import (
	"context"
	"math/rand/v2"
	"time"

	"puffincrank/internal/standin/checker"
)

// dayFault is a kind of fault or planned operation of a simulated day.
type dayFault struct {
	name string
	core int // how much of the control plane it disturbs; see the constants below
	do   func(a faultRun)
}

// faultRun is one run of a day fault. It has its own random source, so that overlapping
// faults stay reproducible.
type faultRun struct {
	*site
	*rand.Rand
	heldCores *[]*ControlMachine // control-plane machines that it has reserved
}

// How much of the control plane a fault disturbs.
const (
	noCore = iota
	oneCore
	allCores
)

func (a faultRun) ms(minimum, spread int) time.Duration {
	return time.Duration(minimum+a.IntN(spread)) * time.Millisecond
}

// takeMachine reserves a random eligible machine that no other fault has reserved. It
// returns nil if there is none; a nil filter accepts any machine.
func (a faultRun) takeMachine(eligible func(*machine) bool) *machine {
	machines := a.all()
	a.Shuffle(len(machines), func(i, j int) { machines[i], machines[j] = machines[j], machines[i] })
	a.siteMu.Lock()
	defer a.siteMu.Unlock()
	for _, m := range machines {
		if !m.inTrouble && (eligible == nil || eligible(m)) {
			m.inTrouble = true
			return m
		}
	}
	return nil
}

func (a faultRun) releaseMachine(m *machine) {
	a.siteMu.Lock()
	m.inTrouble = false
	a.siteMu.Unlock()
}

// takeShare reserves a share of the machines, one at least.
func (a faultRun) takeShare(share float64) (taken []*machine) {
	for range max(int(share*float64(len(a.all()))), 1) {
		if m := a.takeMachine(nil); m != nil {
			taken = append(taken, m)
		}
	}
	return taken
}

// spareable reports whether the service of a machine keeps at least two workers without
// it.
func (a faultRun) spareable(m *machine) bool {
	others := 0
	for _, o := range a.site.machines {
		if o != m && o.service == m.service && !o.removed.Load() && !o.inTrouble {
			others++
		}
	}
	return others >= 2
}

// retire takes a machine away for good after its worker has ended: its node is asked
// to shut down and killed after the grace period.
func (a faultRun) retire(m *machine) {
	defer a.recorder.Faults.Begin(m.name, checker.Planned+"end")()
	a.stopNode(m)
	m.removed.Store(true)
	m.client.Paused.Store(true)
	Wait(200 * time.Millisecond)
	m.client.Close()
}

// stopNode asks a node to shut down and kills its process after it has ended or the
// grace period has passed.
func (a faultRun) stopNode(m *machine) {
	process, _ := a.processesOf(m.Node)
	if process == nil {
		return
	}
	a.recorder.StopSignaled(m.name)
	stopped := make(chan struct{})
	a.g.Go("stop-node", func(context.Context) { process.Stop(); close(stopped) })
	select {
	case <-stopped:
	case <-time.After(a.deployment.bounds.Grace):
		a.say("%s did not shut down within its grace period", m.name)
	}
	a.KillNode(m.Node)
}

// killAndRestart kills a node without warning, so that its requests in flight are
// lost, and starts it again.
func (a faultRun) killAndRestart(m *machine) {
	endRecord := a.recorder.Faults.Begin(m.name, "killed")
	a.KillNode(m.Node)
	Wait(a.ms(200, 800))
	a.startNode(m)
	endRecord()
}

// powerCycle cuts the power of a machine, which ends its node and its worker, and restores
// it.
func (a faultRun) powerCycle(m *machine) {
	endRecord := a.recorder.Faults.Begin(m.name, "without power")
	a.setPower(m.Host, false)
	m.worker.Kill()
	a.KillNode(m.Node)
	Wait(a.ms(500, 3000))
	a.setPower(m.Host, true)
	a.startNode(m)
	endRecord()
	a.startWorker(m)
}
