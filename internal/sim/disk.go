package sim

import (
	"errors"
	"io/fs"
	"maps"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"

	"puffincrank/internal/disk"
)

// Disk is a folder in memory that tells synced bytes from unsynced ones.
type Disk struct {
	mu    sync.Mutex
	now   map[string]*node // what the process sees
	safe  map[string]*node // what the folder held when it was synced last
	lag   time.Duration
	room  int // bytes left when bound is set
	bound bool
	Syncs int
	ice   *ice   // of the process that has it
	stuck *ice   // holds the syncs of some files
	which string // how the names of those begin
	deny  bool
	outs  int // losses of power
}

type node struct {
	data  []byte
	saved []byte
}

// NewDisk makes an empty disk.
func NewDisk() *Disk {
	return &Disk{ice: &ice{}, stuck: &ice{}, now: map[string]*node{}, safe: map[string]*node{}}
}

// errFull is what the kernel says of a disk without room.
var errFull error = syscall.ENOSPC

var errBad = errors.New("input/output error")

// Slow sets the time that each sync takes.
func (d *Disk) Slow(lag time.Duration) {
	d.mu.Lock()
	d.lag = lag
	d.mu.Unlock()
}

// Hang holds the syncs of the files whose names begin with which; "" is all.
func (d *Disk) Hang(which string, on bool) {
	d.mu.Lock()
	d.which = which
	d.mu.Unlock()
	d.stuck.set(on)
}

// Deny refuses every write and sync.
func (d *Disk) Deny(on bool) {
	d.mu.Lock()
	d.deny = on
	d.mu.Unlock()
}

// Room bounds the bytes that may still be written; negative frees the disk.
func (d *Disk) Room(n int) {
	d.mu.Lock()
	d.bound, d.room = n >= 0, n
	d.mu.Unlock()
}

// Wipe loses everything.
func (d *Disk) Wipe() {
	d.mu.Lock()
	d.now, d.safe = map[string]*node{}, map[string]*node{}
	d.mu.Unlock()
}

// Harm flips a byte of a file, or cuts it when torn is set.
func (d *Disk) Harm(name string, torn bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.now[name]
	if f == nil || len(f.data) < 2 {
		return false
	}
	b := append([]byte(nil), f.data...)
	if torn {
		b = b[:len(b)/2]
	} else {
		b[len(b)-1] ^= 0x40
	}
	f.data, f.saved = b, b
	return true
}

type file struct {
	d    *Disk
	n    *node
	name string
}

func (f *file) Write(b []byte) (int, error) {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	if f.d.deny {
		return 0, errBad
	}
	if f.d.bound {
		if f.d.room < len(b) {
			return 0, errFull
		}
		f.d.room -= len(b)
	}
	f.n.data = append(f.n.data, b...)
	return len(b), nil
}

// wait is the time that a sync takes; the folder's own name is empty.
func (d *Disk) wait(name string) {
	d.mu.Lock()
	lag, held := d.lag, strings.HasPrefix(name, d.which)
	d.mu.Unlock()
	if lag > 0 {
		time.Sleep(lag)
	}
	if held {
		d.stuck.hold()
	}
	d.ice.hold()
}

func (f *file) Sync() error {
	f.d.wait(f.name)
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	if f.d.deny {
		return errBad
	}
	f.n.saved = append([]byte{}, f.n.data...)
	f.d.Syncs++
	return nil
}

func (f *file) Close() error { return nil }

// Create opens a new file.
func (d *Disk) Create(name string) (disk.File, error) {
	d.ice.hold()
	d.mu.Lock()
	defer d.mu.Unlock()
	n := &node{}
	d.now[name] = n
	return &file{d, n, name}, nil
}

// Rename moves a file; it lasts only once the folder is synced.
func (d *Disk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.now[from]
	if n == nil {
		return fs.ErrNotExist
	}
	delete(d.now, from)
	d.now[to] = n
	return nil
}

// Remove drops a file and gives its room back.
func (d *Disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.now[name]
	if n == nil {
		return fs.ErrNotExist
	}
	d.room += len(n.data)
	delete(d.now, name)
	return nil
}

// SyncDir makes names last.
func (d *Disk) SyncDir() error {
	d.wait("")
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.deny {
		return errBad
	}
	d.Syncs++
	d.safe = maps.Clone(d.now)
	return nil
}

// Read reads a file whole.
func (d *Disk) Read(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.now[name]
	if n == nil {
		return nil, fs.ErrNotExist
	}
	return append([]byte(nil), n.data...), nil
}

// List gives the names.
func (d *Disk) List() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []string
	for k := range d.now {
		out = append(out, k)
	}
	sort.Strings(out)
	return out, nil
}
