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

// Disk is an in-memory directory that distinguishes synced bytes from unsynced ones.
type Disk struct {
	mu          sync.Mutex
	files       map[string]*node // the contents that the process sees
	durable     map[string]*node // the directory as of its last sync
	syncDelay   time.Duration
	freeBytes   int // bytes that can still be written if limited is set
	limited     bool
	Syncs       int
	pauseGate   *pauseGate // of the process that uses the disk
	syncGate    *pauseGate // holds back the syncs of files whose names begin with heldPrefix
	heldPrefix  string     // prefix of the names of files whose syncs can hang
	failing     bool
	powerLosses int // number of power losses so far
}

type node struct {
	data   []byte
	synced []byte
}

// NewDisk returns an empty disk.
func NewDisk() *Disk {
	return &Disk{pauseGate: &pauseGate{}, syncGate: &pauseGate{}, files: map[string]*node{}, durable: map[string]*node{}}
}

// errNoSpace is the kernel's error for a full disk.
var errNoSpace error = syscall.ENOSPC

var errIO = errors.New("input/output error")

// SetSyncDelay sets the duration of each sync.
func (d *Disk) SetSyncDelay(delay time.Duration) {
	d.mu.Lock()
	d.syncDelay = delay
	d.mu.Unlock()
}

// HangSyncs blocks or unblocks the syncs of files whose names begin with prefix; an empty prefix
// matches all files.
func (d *Disk) HangSyncs(prefix string, on bool) {
	d.mu.Lock()
	d.heldPrefix = prefix
	d.mu.Unlock()
	d.syncGate.setPaused(on)
}

// FailWrites makes every write and sync fail, or succeed again.
func (d *Disk) FailWrites(on bool) {
	d.mu.Lock()
	d.failing = on
	d.mu.Unlock()
}

// LimitFreeBytes limits the bytes that can still be written; a negative number removes the limit.
func (d *Disk) LimitFreeBytes(bytes int) {
	d.mu.Lock()
	d.limited, d.freeBytes = bytes >= 0, bytes
	d.mu.Unlock()
}

// Wipe deletes all files, synced or not.
func (d *Disk) Wipe() {
	d.mu.Lock()
	d.files, d.durable = map[string]*node{}, map[string]*node{}
	d.mu.Unlock()
}

// Corrupt corrupts a file: it truncates it to half its size if truncate is set, and otherwise
// flips a bit of its last byte. It reports whether the file existed with at least two
// bytes.
func (d *Disk) Corrupt(name string, truncate bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	damaged := d.files[name]
	if damaged == nil || len(damaged.data) < 2 {
		return false
	}
	data := append([]byte(nil), damaged.data...)
	if truncate {
		data = data[:len(data)/2]
	} else {
		data[len(data)-1] ^= 0x40
	}
	damaged.data, damaged.synced = data, data
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

// waitForSync blocks for the duration of a sync. The name is empty for a sync of the
// directory itself.
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
	d.pauseGate.waitWhilePaused()
}

func (f *file) Sync() error {
	f.disk.waitForSync(f.name)
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.disk.failing {
		return errIO
	}
	f.node.synced = append([]byte{}, f.node.data...)
	f.disk.Syncs++
	return nil
}

func (f *file) Close() error { return nil }

// Create opens a new file, replacing an earlier one of that name.
func (d *Disk) Create(name string) (disk.File, error) {
	d.pauseGate.waitWhilePaused()
	d.mu.Lock()
	defer d.mu.Unlock()
	n := &node{}
	d.files[name] = n
	return &file{d, n, name}, nil
}

// Rename renames a file. The change survives a power loss only after the directory is
// synced.
func (d *Disk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.files[from]
	if n == nil {
		return fs.ErrNotExist
	}
	delete(d.files, from)
	d.files[to] = n
	return nil
}

// Remove deletes a file and frees the bytes that it took.
func (d *Disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.files[name]
	if n == nil {
		return fs.ErrNotExist
	}
	d.freeBytes += len(n.data)
	delete(d.files, name)
	return nil
}

// SyncDir makes all names durable.
func (d *Disk) SyncDir() error {
	d.waitForSync("")
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.failing {
		return errIO
	}
	d.Syncs++
	d.durable = maps.Clone(d.files)
	return nil
}

// Read returns the content of a file.
func (d *Disk) Read(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.files[name]
	if n == nil {
		return nil, fs.ErrNotExist
	}
	return append([]byte(nil), n.data...), nil
}

// List returns the names of all files in order.
func (d *Disk) List() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var names []string
	for name := range d.files {
		names = append(names, name)
	}
	sort.Strings(names)
	return names, nil
}
