package sim

import (
	"math/rand/v2"
	"sort"
)

// Power loses all that was not synced. Of the names that were made, renamed or
// removed since the folder was synced none lasts at the first loss, all do at the
// second, and at later ones each lasts or is lost by itself.
func (d *Disk) Power() {
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
		d.PowerByNames(rand.New(rand.NewPCG(uint64(losses), 77)))
	}
}

// PowerByNames loses all that was not synced, as Power does. Of the names that were
// made, renamed or removed since the folder was synced each lasts or is lost by
// itself, also that of a file with a sync of its own: of a renamed file the old name,
// the new one, both or neither.
func (d *Disk) PowerByNames(random *rand.Rand) {
	d.dropUnsynced(func() bool { return random.IntN(2) == 0 })
}

// dropUnsynced leaves of each name what it was when the folder was synced last, or what it
// is now if lasts says so. A file that was not synced is torn.
func (d *Disk) dropUnsynced(keepsCurrent func() bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	after := map[string]*node{}
	for _, name := range d.allNames() {
		file := d.safe[name]
		if keepsCurrent() {
			file = d.now[name]
		}
		if file != nil {
			after[name] = file.afterPowerLoss()
		}
	}
	d.now, d.safe = map[string]*node{}, map[string]*node{}
	for name, file := range after {
		d.now[name], d.safe[name] = file, file
	}
}

// allNames lists all names, before and after the changes since the folder was
// synced, in order.
func (d *Disk) allNames() (names []string) {
	for name := range d.now {
		names = append(names, name)
	}
	for name := range d.safe {
		if d.now[name] == nil {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// afterPowerLoss is what is left of a file: what was synced, or half of one that never was.
func (f *node) afterPowerLoss() *node {
	remaining := f.saved
	if remaining == nil {
		remaining = f.data[:len(f.data)/2]
	}
	remaining = append([]byte{}, remaining...)
	return &node{data: remaining, saved: remaining}
}
