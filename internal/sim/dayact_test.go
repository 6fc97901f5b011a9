package sim

import (
	"context"
	"math/rand/v2"
	"time"

	"puffincrank/internal/standin/checker"
)

// trouble is one thing that may happen on a day.
type trouble struct {
	name string
	core int // how much of the core it takes: nothing, one machine, or the whole
	do   func(a act)
}

// act is one trouble's own source of chance, so that several may overlap.
type act struct {
	*site
	*rand.Rand
	core *[]*Core // machines of the core that it has in hand
}

// How much of the core a trouble takes.
const (
	none = iota
	single
	whole
)

func (a act) ms(minimum, spread int) time.Duration {
	return time.Duration(minimum+a.IntN(spread)) * time.Millisecond
}

// take picks a machine that no other trouble has in hand; nil if there is none.
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

// some takes a part of the machines.
func (a act) some(share float64) (taken []*machine) {
	for range max(int(share*float64(len(a.all()))), 1) {
		if m := a.take(nil); m != nil {
			taken = append(taken, m)
		}
	}
	return taken
}

// enough tells that a service keeps two workers without a machine.
func (a act) enough(m *machine) bool {
	others := 0
	for _, o := range a.site.machines {
		if o != m && o.service == m.service && !o.gone.Load() && !o.busy {
			others++
		}
	}
	return others >= 2
}

// retire ends a machine in order after its worker has ended: its node is told
// to end, and is killed after the grace.
func (a act) retire(m *machine) {
	defer a.wit.Touch.Begin(m.name, checker.Planned+"end")()
	a.stopNode(m)
	m.gone.Store(true)
	m.c.Out.Store(true)
	Wait(200 * time.Millisecond)
	m.c.Close()
}

// stopNode tells a node to end and kills it after the grace.
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
		a.say("%s did not end in its grace", m.name)
	}
	a.KillNode(m.Node)
}

// killAndRestart ends a node at once; what it was doing is lost.
func (a act) killAndRestart(m *machine) {
	endRecord := a.wit.Touch.Begin(m.name, "killed")
	a.KillNode(m.Node)
	Wait(a.ms(200, 800))
	a.boot(m)
	endRecord()
}

// out takes a machine's power, the worker's with it, and gives it back.
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
