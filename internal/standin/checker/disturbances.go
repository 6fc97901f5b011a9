package checker

import (
	"sync"
	"time"
)

// Disturbance is a time of trouble; To is zero while it lasts.
type Disturbance struct {
	From, To time.Time
	Kind     string
}

func (s *Disturbance) overlaps(from, to time.Time) bool {
	return !s.From.After(to) && (s.To.IsZero() || !s.To.Before(from))
}

// Disturbances knows which machines were in touch when. A machine is in touch at a
// moment if no trouble of its own or of the core was in the bound before it.
type Disturbances struct {
	mu             sync.Mutex
	bound          time.Duration
	byMachine      map[string][]*Disturbance // trouble of one machine
	controlPlane   []*Disturbance            // what unsettles the core
	noMajority     []*Disturbance            // the core without a calm majority
	slowedMachines map[string][]*Disturbance // own ones in which the machine was only slowed
	all            []*Disturbance
}

func newDisturbances(bound time.Duration) *Disturbances {
	return &Disturbances{bound: bound, byMachine: map[string][]*Disturbance{}, slowedMachines: map[string][]*Disturbance{}}
}

// Begin opens a time of trouble at a machine; the result ends it.
func (t *Disturbances) Begin(machine, what string) func() {
	t.mu.Lock()
	defer t.mu.Unlock()
	disturbance := &Disturbance{From: time.Now(), Kind: what}
	t.byMachine[machine] = append(t.byMachine[machine], disturbance)
	if what == Slowed {
		t.slowedMachines[machine] = append(t.slowedMachines[machine], disturbance)
	}
	t.all = append(t.all, disturbance)
	return t.endFunc(disturbance)
}

// Slowed is the trouble in which a machine runs, but late.
const Slowed = "slowed"

// Planned begins the names of what a machine is told to do; it is no unplanned
// trouble, but the machine is not in touch for it.
const Planned = "planned "

func (t *Disturbances) endFunc(disturbance *Disturbance) func() {
	return func() {
		t.mu.Lock()
		if disturbance.To.IsZero() {
			disturbance.To = time.Now()
		}
		t.mu.Unlock()
	}
}

// Core notes a moment that unsettles the core.
func (t *Disturbances) Core(what string) { t.CoreWhile(what)() }

// CoreWhile opens a time in which the core is unsettled.
func (t *Disturbances) CoreWhile(what string) func() {
	t.mu.Lock()
	defer t.mu.Unlock()
	disturbance := &Disturbance{From: time.Now(), Kind: what}
	t.controlPlane = append(t.controlPlane, disturbance)
	t.all = append(t.all, disturbance)
	return t.endFunc(disturbance)
}

// Minority opens a time in which no calm majority of the core is connected.
func (t *Disturbances) Minority() func() {
	t.mu.Lock()
	defer t.mu.Unlock()
	disturbance := &Disturbance{From: time.Now(), Kind: "no majority"}
	t.noMajority = append(t.noMajority, disturbance)
	t.controlPlane = append(t.controlPlane, disturbance)
	return t.endFunc(disturbance)
}

func anyOverlaps(disturbances []*Disturbance, from, to time.Time) bool {
	for _, disturbance := range disturbances {
		if disturbance.overlaps(from, to) {
			return true
		}
	}
	return false
}

// ConnectedAt tells whether a machine was in touch at a moment.
func (t *Disturbances) ConnectedAt(machine string, at time.Time) bool {
	return t.connected(machine, at, at)
}

// connected tells whether a machine was in touch through a time.
func (t *Disturbances) connected(machine string, from, to time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	from = from.Add(-t.bound)
	return !anyOverlaps(t.byMachine[machine], from, to) && !anyOverlaps(t.controlPlane, from, to)
}

// undisturbed tells whether a machine itself was calm through a time while a
// majority of the core ran, whether the core was settled or not.
func (t *Disturbances) undisturbed(machine string, from, to time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	from = from.Add(-t.bound)
	return !anyOverlaps(t.byMachine[machine], from, to) && !anyOverlaps(t.noMajority, from, to)
}

// slowed tells whether a machine was slowed in a time.
func (t *Disturbances) slowed(machine string, from, to time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return anyOverlaps(t.slowedMachines[machine], from, to)
}

// calm tells that no unplanned trouble was anywhere in a time.
func (t *Disturbances) calm(from, to time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, disturbance := range t.all {
		if (len(disturbance.Kind) < len(Planned) || disturbance.Kind[:len(Planned)] != Planned) && disturbance.overlaps(from, to) {
			return false
		}
	}
	return true
}

// controlPlaneSettled tells that the core was settled through a time.
func (t *Disturbances) controlPlaneSettled(from, to time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !anyOverlaps(t.controlPlane, from.Add(-t.bound), to)
}

// calmStarts lists where calm stretches may begin within a time.
func (t *Disturbances) calmStarts(from, to time.Time) []time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	starts := []time.Time{from}
	for _, disturbance := range t.all {
		if at := disturbance.To.Add(t.bound + 1); !disturbance.To.IsZero() && at.After(from) && at.Before(to) {
			starts = append(starts, at)
		}
	}
	return starts
}
