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

func (d *Disturbance) overlaps(from, to time.Time) bool {
	return !d.From.After(to) && (d.To.IsZero() || !d.To.Before(from))
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
func (d *Disturbances) Begin(machine, kind string) func() {
	d.mu.Lock()
	defer d.mu.Unlock()
	disturbance := &Disturbance{From: time.Now(), Kind: kind}
	d.byMachine[machine] = append(d.byMachine[machine], disturbance)
	if kind == Slowed {
		d.slowedMachines[machine] = append(d.slowedMachines[machine], disturbance)
	}
	d.all = append(d.all, disturbance)
	return d.endFunc(disturbance)
}

// Slowed is the kind of a disturbance in which a machine runs, but slowly.
const Slowed = "slowed"

// Planned is the prefix of the kinds of planned operations on a machine. They leave the
// period calm, but the machine does not count as connected during them.
const Planned = "planned "

func (d *Disturbances) endFunc(disturbance *Disturbance) func() {
	return func() {
		d.mu.Lock()
		if disturbance.To.IsZero() {
			disturbance.To = time.Now()
		}
		d.mu.Unlock()
	}
}

// Unsettle records an instant that unsettles the control plane.
func (d *Disturbances) Unsettle(kind string) { d.UnsettleWhile(kind)() }

// UnsettleWhile records the start of a period in which the control plane is unsettled. The
// returned function ends it.
func (d *Disturbances) UnsettleWhile(kind string) func() {
	d.mu.Lock()
	defer d.mu.Unlock()
	disturbance := &Disturbance{From: time.Now(), Kind: kind}
	d.controlPlane = append(d.controlPlane, disturbance)
	d.all = append(d.all, disturbance)
	return d.endFunc(disturbance)
}

// NoMajority records the start of a period in which no undisturbed majority of the control
// plane is connected. The returned function ends it.
func (d *Disturbances) NoMajority() func() {
	d.mu.Lock()
	defer d.mu.Unlock()
	disturbance := &Disturbance{From: time.Now(), Kind: "no majority"}
	d.noMajority = append(d.noMajority, disturbance)
	d.controlPlane = append(d.controlPlane, disturbance)
	return d.endFunc(disturbance)
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
func (d *Disturbances) ConnectedAt(machine string, at time.Time) bool {
	return d.connected(machine, at, at)
}

// connected reports whether a machine was connected for the whole period.
func (d *Disturbances) connected(machine string, from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	from = from.Add(-d.bound)
	return !anyOverlaps(d.byMachine[machine], from, to) && !anyOverlaps(d.controlPlane, from, to)
}

// undisturbed reports whether a machine itself was undisturbed for the whole period while a
// majority of the control plane was available, even if the control plane was unsettled.
func (d *Disturbances) undisturbed(machine string, from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	from = from.Add(-d.bound)
	return !anyOverlaps(d.byMachine[machine], from, to) && !anyOverlaps(d.noMajority, from, to)
}

// slowed reports whether a machine was slowed during part of the period.
func (d *Disturbances) slowed(machine string, from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return anyOverlaps(d.slowedMachines[machine], from, to)
}

// calm reports whether there was no unplanned disturbance anywhere during the period.
func (d *Disturbances) calm(from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, disturbance := range d.all {
		if (len(disturbance.Kind) < len(Planned) || disturbance.Kind[:len(Planned)] != Planned) && disturbance.overlaps(from, to) {
			return false
		}
	}
	return true
}

// controlPlaneSettled reports whether the control plane was settled for the whole period.
func (d *Disturbances) controlPlaneSettled(from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !anyOverlaps(d.controlPlane, from.Add(-d.bound), to)
}

// calmStarts lists the times in the period at which a calm stretch may begin: its start, and
// the end of each disturbance plus the bound.
func (d *Disturbances) calmStarts(from, to time.Time) []time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	starts := []time.Time{from}
	for _, disturbance := range d.all {
		if at := disturbance.To.Add(d.bound + 1); !disturbance.To.IsZero() && at.After(from) && at.Before(to) {
			starts = append(starts, at)
		}
	}
	return starts
}
