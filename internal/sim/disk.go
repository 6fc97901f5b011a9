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
	mu          sync.Mutex
	now         map[string]*node // what the process sees
	safe        map[string]*node // what the folder held when it was synced last
	syncDelay   time.Duration
	freeBytes   int // bytes left when bound is set
	limited     bool
	Syncs       int
	ice         *pauseGate // of the process that has it
	syncGate    *pauseGate // holds the syncs of some files
	heldPrefix  string     // how the names of those begin
	failing     bool
	powerLosses int // losses of power
}

type node struct {
	data  []byte
	saved []byte
}

// NewDisk makes an empty disk.
func NewDisk() *Disk {
	return &Disk{ice: &pauseGate{}, syncGate: &pauseGate{}, now: map[string]*node{}, safe: map[string]*node{}}
}

// errNoSpace is what the kernel says of a disk without room.
var errNoSpace error = syscall.ENOSPC

var errIO = errors.New("input/output error")

// Slow sets the time that each sync takes.
func (d *Disk) Slow(delay time.Duration) {
	d.mu.Lock()
	d.syncDelay = delay
	d.mu.Unlock()
}

// Hang holds the syncs of the files whose names begin with which; "" is all.
func (d *Disk) Hang(prefix string, on bool) {
	d.mu.Lock()
	d.heldPrefix = prefix
	d.mu.Unlock()
	d.syncGate.setPaused(on)
}

// Deny refuses every write and sync.
func (d *Disk) Deny(on bool) {
	d.mu.Lock()
	d.failing = on
	d.mu.Unlock()
}

// Room bounds the bytes that may still be written; negative frees the disk.
func (d *Disk) Room(bytes int) {
	d.mu.Lock()
	d.limited, d.freeBytes = bytes >= 0, bytes
	d.mu.Unlock()
}

// Wipe loses everything.
func (d *Disk) Wipe() {
	d.mu.Lock()
	d.now, d.safe = map[string]*node{}, map[string]*node{}
	d.mu.Unlock()
}

// Harm flips a byte of a file, or cuts it when torn is set.
func (d *Disk) Harm(name string, truncate bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	damaged := d.now[name]
	if damaged == nil || len(damaged.data) < 2 {
		return false
	}
	data := append([]byte(nil), damaged.data...)
	if truncate {
		data = data[:len(data)/2]
	} else {
		data[len(data)-1] ^= 0x40
	}
	damaged.data, damaged.saved = data, data
	return true
}

type file struct {
	disk *Disk
	node *node
	name string
}

func (f *file) Write(data []byte) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.disk.failing {
		return 0, errIO
	}
	if f.disk.limited {
		if f.disk.freeBytes < len(data) {
			return 0, errNoSpace
		}
		f.disk.freeBytes -= len(data)
	}
	f.node.data = append(f.node.data, data...)
	return len(data), nil
}

// waitForSync is the time that a sync takes; the folder's own name is empty.
func (d *Disk) waitForSync(name string) {
	d.mu.Lock()
	delay, held := d.syncDelay, strings.HasPrefix(name, d.heldPrefix)
	d.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	if held {
		d.syncGate.waitWhilePaused()
	}
	d.ice.waitWhilePaused()
}

func (f *file) Sync() error {
	f.disk.waitForSync(f.name)
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.disk.failing {
		return errIO
	}
	f.node.saved = append([]byte{}, f.node.data...)
	f.disk.Syncs++
	return nil
}

func (f *file) Close() error { return nil }

// Create opens a new file.
func (d *Disk) Create(name string) (disk.File, error) {
	d.ice.waitWhilePaused()
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
	d.freeBytes += len(n.data)
	delete(d.now, name)
	return nil
}

// SyncDir makes names last.
func (d *Disk) SyncDir() error {
	d.waitForSync("")
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.failing {
		return errIO
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
	var names []string
	for name := range d.now {
		names = append(names, name)
	}
	sort.Strings(names)
	return names, nil
}
