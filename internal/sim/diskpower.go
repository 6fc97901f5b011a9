package sim

import (
	"math/rand/v2"
	"sort"
)

// LosePower simulates a power loss, which drops everything that was not synced. Names that were
// created, renamed or removed since the last directory sync are all reverted at the first
// loss, all kept at the second, and kept or reverted at random, each by itself, at later
// losses.
func (d *Disk) LosePower() {
	d.mu.Lock()
	d.powerLosses++
	losses := d.powerLosses
	d.mu.Unlock()
	switch losses {
	case 1:
		d.dropUnsynced(func() bool { return false })
	case 2:
		d.dropUnsynced(func() bool { return true })
	default:
		d.LosePowerByName(rand.New(rand.NewPCG(uint64(losses), 77)))
	}
}

// LosePowerByName simulates a power loss as Power does, except that each name that was
// created, renamed or removed since the last directory sync is kept or reverted at random
// by itself, even if the file's own content was synced. Of a renamed file the old name, the
// new one, both or neither can remain.
func (d *Disk) LosePowerByName(random *rand.Rand) {
	d.dropUnsynced(func() bool { return random.IntN(2) == 0 })
}

// dropUnsynced reverts each name to its state at the last directory sync, or keeps its
// current state if keepsCurrent says so. A file whose content was never synced is
// truncated.
func (d *Disk) dropUnsynced(keepsCurrent func() bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	after := map[string]*node{}
	for _, name := range d.allNames() {
		file := d.durable[name]
		if keepsCurrent() {
			file = d.files[name]
		}
		if file != nil {
			after[name] = file.afterPowerLoss()
		}
	}
	d.files, d.durable = map[string]*node{}, map[string]*node{}
	for name, file := range after {
		d.files[name], d.durable[name] = file, file
	}
}

// allNames returns all current names and those of the last directory sync, in order.
func (d *Disk) allNames() (names []string) {
	for name := range d.files {
		names = append(names, name)
	}
	for name := range d.durable {
		if d.files[name] == nil {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// afterPowerLoss returns what is left of a file: the synced content, or half of the content
// of a file that was never synced.
func (f *node) afterPowerLoss() *node {
	remaining := f.synced
	if remaining == nil {
		remaining = f.data[:len(f.data)/2]
	}
	remaining = append([]byte{}, remaining...)
	return &node{data: remaining, synced: remaining}
}
