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
	d.outs++
	outs := d.outs
	d.mu.Unlock()
	switch outs {
	case 1:
		d.lose(func() bool { return false })
	case 2:
		d.lose(func() bool { return true })
	default:
		d.PowerByNames(rand.New(rand.NewPCG(uint64(outs), 77)))
	}
}

// PowerByNames loses all that was not synced, as Power does. Of the names that were
// made, renamed or removed since the folder was synced each lasts or is lost by
// itself, also that of a file with a sync of its own: of a renamed file the old name,
// the new one, both or neither.
func (d *Disk) PowerByNames(chance *rand.Rand) {
	d.lose(func() bool { return chance.IntN(2) == 0 })
}

// lose leaves of each name what it was when the folder was synced last, or what it
// is now if lasts says so. A file that was not synced is torn.
func (d *Disk) lose(lasts func() bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	after := map[string]*node{}
	for _, name := range d.changedNames() {
		f := d.safe[name]
		if lasts() {
			f = d.now[name]
		}
		if f != nil {
			after[name] = f.afterPower()
		}
	}
	d.now, d.safe = map[string]*node{}, map[string]*node{}
	for name, f := range after {
		d.now[name], d.safe[name] = f, f
	}
}

// changedNames lists all names, before and after the changes since the folder was
// synced, in order.
func (d *Disk) changedNames() (out []string) {
	for name := range d.now {
		out = append(out, name)
	}
	for name := range d.safe {
		if d.now[name] == nil {
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out
}

// afterPower is what is left of a file: what was synced, or half of one that never was.
func (f *node) afterPower() *node {
	left := f.saved
	if left == nil {
		left = f.data[:len(f.data)/2]
	}
	left = append([]byte{}, left...)
	return &node{data: left, saved: left}
}
