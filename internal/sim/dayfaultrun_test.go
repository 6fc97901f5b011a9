package sim

import (
	"context"
	"math/rand/v2"
	"time"

	"puffincrank/internal/standin/checker"
)

// trouble is a kind of fault or planned operation of a simulated day.
type trouble struct {
	name string
	core int // how much of the control plane it disturbs; see the constants below
	do   func(a act)
}

// act is one run of a day fault. It has its own random source, so that overlapping
// faults stay reproducible.
type act struct {
	*site
	*rand.Rand
	core *[]*Core // control-plane machines that it has reserved
}

// How much of the control plane a fault disturbs.
const (
	none = iota
	single
	whole
)

func (a act) ms(minimum, spread int) time.Duration {
	return time.Duration(minimum+a.IntN(spread)) * time.Millisecond
}

// take reserves a random eligible machine that no other fault has reserved. It
// returns nil if there is none; a nil filter accepts any machine.
func (a act) take(eligible func(*machine) bool) *machine {
	machines := a.all()
	a.Shuffle(len(machines), func(i, j int) { machines[i], machines[j] = machines[j], machines[i] })
	a.smu.Lock()
	defer a.smu.Unlock()
	for _, m := range machines {
		if !m.busy && (eligible == nil || eligible(m)) {
			m.busy = true
			return m
		}
	}
	return nil
}

func (a act) free(m *machine) {
	a.smu.Lock()
	m.busy = false
	a.smu.Unlock()
}

// some reserves a share of the machines, one at least.
func (a act) some(share float64) (taken []*machine) {
	for range max(int(share*float64(len(a.all()))), 1) {
		if m := a.take(nil); m != nil {
			taken = append(taken, m)
		}
	}
	return taken
}

// enough reports whether the service of a machine keeps at least two workers without
// it.
func (a act) enough(m *machine) bool {
	others := 0
	for _, o := range a.site.machines {
		if o != m && o.service == m.service && !o.gone.Load() && !o.busy {
			others++
		}
	}
	return others >= 2
}

// retire takes a machine away for good after its worker has ended: its node is asked
// to shut down and killed after the grace period.
func (a act) retire(m *machine) {
	defer a.wit.Touch.Begin(m.name, checker.Planned+"end")()
	a.stopNode(m)
	m.gone.Store(true)
	m.c.Out.Store(true)
	Wait(200 * time.Millisecond)
	m.c.Close()
}

// stopNode asks a node to shut down and kills its process after it has ended or the
// grace period has passed.
func (a act) stopNode(m *machine) {
	process, _ := a.now(m.Node)
	if process == nil {
		return
	}
	a.wit.Term(m.name)
	stopped := make(chan struct{})
	a.g.Go("stop-node", func(context.Context) { process.Stop(); close(stopped) })
	select {
	case <-stopped:
	case <-time.After(a.d.bounds.Grace):
		a.say("%s did not shut down within its grace period", m.name)
	}
	a.KillNode(m.Node)
}

// killAndRestart kills a node without warning, so that its requests in flight are
// lost, and starts it again.
func (a act) killAndRestart(m *machine) {
	endRecord := a.wit.Touch.Begin(m.name, "killed")
	a.KillNode(m.Node)
	Wait(a.ms(200, 800))
	a.boot(m)
	endRecord()
}

// out cuts the power of a machine, which ends its node and its worker, and restores
// it.
func (a act) out(m *machine) {
	endRecord := a.wit.Touch.Begin(m.name, "without power")
	a.powered(m.Host, false)
	m.w.Kill()
	a.KillNode(m.Node)
	Wait(a.ms(500, 3000))
	a.powered(m.Host, true)
	a.boot(m)
	endRecord()
	a.startWorker(m)
}
