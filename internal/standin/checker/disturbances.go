package checker

import (
	"sync"
	"time"
)

// Disturbance is a period in which a fault or an operation disturbs a machine or the control
// plane. To is zero while it lasts.
type Disturbance struct {
	From, To time.Time
	Kind     string
}

func (s *Disturbance) overlaps(from, to time.Time) bool {
	return !s.From.After(to) && (s.To.IsZero() || !s.To.Before(from))
}

// Disturbances records all disturbances of a test run, and thereby which machines were
// connected to a majority of the control plane. A machine is connected at a given time if
// neither it nor the control plane was disturbed then or during the bound before.
type Disturbances struct {
	mu             sync.Mutex
	bound          time.Duration
	byMachine      map[string][]*Disturbance // by the machine that is disturbed
	controlPlane   []*Disturbance            // those that unsettle the control plane
	noMajority     []*Disturbance            // those in which no undisturbed majority of the control plane is connected
	slowedMachines map[string][]*Disturbance // those of byMachine in which the machine only runs slowly
	all            []*Disturbance
}

func newDisturbances(bound time.Duration) *Disturbances {
	return &Disturbances{bound: bound, byMachine: map[string][]*Disturbance{}, slowedMachines: map[string][]*Disturbance{}}
}

// Begin records the start of a disturbance of a machine. The returned function ends it.
func (t *Disturbances) Begin(machine, kind string) func() {
	t.mu.Lock()
	defer t.mu.Unlock()
	disturbance := &Disturbance{From: time.Now(), Kind: kind}
	t.byMachine[machine] = append(t.byMachine[machine], disturbance)
	if kind == Slowed {
		t.slowedMachines[machine] = append(t.slowedMachines[machine], disturbance)
	}
	t.all = append(t.all, disturbance)
	return t.endFunc(disturbance)
}

// Slowed is the kind of a disturbance in which a machine runs, but slowly.
const Slowed = "slowed"

// Planned is the prefix of the kinds of planned operations on a machine. They leave the
// period calm, but the machine does not count as connected during them.
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

// Core records an instant that unsettles the control plane.
func (t *Disturbances) Core(kind string) { t.CoreWhile(kind)() }

// CoreWhile records the start of a period in which the control plane is unsettled. The
// returned function ends it.
func (t *Disturbances) CoreWhile(kind string) func() {
	t.mu.Lock()
	defer t.mu.Unlock()
	disturbance := &Disturbance{From: time.Now(), Kind: kind}
	t.controlPlane = append(t.controlPlane, disturbance)
	t.all = append(t.all, disturbance)
	return t.endFunc(disturbance)
}

// Minority records the start of a period in which no undisturbed majority of the control
// plane is connected. The returned function ends it.
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

// ConnectedAt reports whether a machine was connected at the given time.
func (t *Disturbances) ConnectedAt(machine string, at time.Time) bool {
	return t.connected(machine, at, at)
}

// connected reports whether a machine was connected for the whole period.
func (t *Disturbances) connected(machine string, from, to time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	from = from.Add(-t.bound)
	return !anyOverlaps(t.byMachine[machine], from, to) && !anyOverlaps(t.controlPlane, from, to)
}

// undisturbed reports whether a machine itself was undisturbed for the whole period while a
// majority of the control plane was available, even if the control plane was unsettled.
func (t *Disturbances) undisturbed(machine string, from, to time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	from = from.Add(-t.bound)
	return !anyOverlaps(t.byMachine[machine], from, to) && !anyOverlaps(t.noMajority, from, to)
}

// slowed reports whether a machine was slowed during part of the period.
func (t *Disturbances) slowed(machine string, from, to time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return anyOverlaps(t.slowedMachines[machine], from, to)
}

// calm reports whether there was no unplanned disturbance anywhere during the period.
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

// controlPlaneSettled reports whether the control plane was settled for the whole period.
func (t *Disturbances) controlPlaneSettled(from, to time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !anyOverlaps(t.controlPlane, from.Add(-t.bound), to)
}

// calmStarts lists the times in the period at which a calm stretch may begin: its start, and
// the end of each disturbance plus the bound.
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
