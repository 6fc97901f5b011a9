package sim

import (
	"math/rand/v2"
	"sort"
)

// Power loses all that was not synced. Every second time the folder is as the
// process last saw it, though it was not synced, and new files are torn.
func (d *Disk) Power() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.outs++; d.outs%2 == 0 {
		d.safe = map[string]*node{}
		for k, f := range d.now {
			if f.saved == nil {
				f.saved = append([]byte(nil), f.data[:len(f.data)/2]...)
			}
			d.safe[k] = f
		}
	}
	d.now = map[string]*node{}
	for k, f := range d.safe {
		n := &node{data: append([]byte(nil), f.saved...), saved: f.saved}
		d.now[k], d.safe[k] = n, n
	}
}

// PowerByNames loses all that was not synced, as Power does. Of the names that were
// made, renamed or removed since the folder was synced each lasts or is lost by
// itself, also that of a file with a sync of its own: of a renamed file the old name,
// the new one, both or neither.
func (d *Disk) PowerByNames(chance *rand.Rand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	after := map[string]*node{}
	for _, name := range d.changedNames() {
		f := d.folder[name]
		if chance.IntN(2) == 0 {
			f = d.now[name]
		}
		if f != nil {
			after[name] = f.afterPower()
		}
	}
	d.now, d.safe, d.folder = map[string]*node{}, map[string]*node{}, map[string]*node{}
	for name, f := range after {
		d.now[name], d.safe[name], d.folder[name] = f, f, f
	}
}

// changedNames lists all names, before and after the changes since the folder was
// synced, in order.
func (d *Disk) changedNames() (out []string) {
	for name := range d.now {
		out = append(out, name)
	}
	for name := range d.folder {
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
