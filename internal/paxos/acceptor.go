// Package paxos is the durable part of multi-decree Paxos: promises, accepted
// versions and checkpoints, each one file, and the rule by which a version is
// known to be chosen. One slot is decided at a time, so a version accepted in
// slot n says that slot n-1 was chosen; its Prev names which value that was.
package paxos

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"sync"

	"github.com/vmihailenco/msgpack/v5"

	"puffincrank/internal/ballot"
	"puffincrank/internal/disk"
	"puffincrank/internal/fault"
	"puffincrank/internal/task"
	"puffincrank/internal/trace"
)

// Format is the version of the stored files.
const Format = 1

// Entry is one version: the batch of commands of one slot.
type Entry struct {
	Format int           `msgpack:"f"`
	Slot   uint64        `msgpack:"s"`
	Prev   []byte        `msgpack:"p"`
	Batch  []byte        `msgpack:"b"`
	Num    ballot.Number `msgpack:"n"`
}

// Sum is the identity of the value, whatever ballot it was accepted by.
func (e *Entry) Sum() []byte {
	h := sha256.New()
	_ = binary.Write(h, binary.BigEndian, e.Slot)
	h.Write(e.Prev)
	h.Write(e.Batch)
	return h.Sum(nil)
}

// Identity names a replica: lost with its disk, never given again.
type Identity struct {
	Format int    `msgpack:"f"`
	ID     string `msgpack:"i"`
	Mesh   string `msgpack:"m"`
}

// Checkpoint is the state after a slot.
type Checkpoint struct {
	Format int    `msgpack:"f"`
	Slot   uint64 `msgpack:"s"`
	Sum    []byte `msgpack:"h"`
	State  []byte `msgpack:"d"`
}

// Acceptor holds the files of one replica.
type Acceptor struct {
	fs      disk.FS
	big     task.Lock  // one checkpoint at a time; taken before io
	io      task.Lock  // one promise or version at a time; taken before mu
	mu      sync.Mutex // the fields below, never held over a write
	entries map[uint64]*Entry
	sums    map[uint64][]byte
	low     uint64 // the highest slot that was trimmed
	me      Identity
	vow     ballot.Number
	point   *Checkpoint // without its state, which stays on the disk
	spare   int         // bytes that are kept free for a checkpoint, as far as known
	harmed  uint64      // the highest slot whose file was damaged
	Notes   []string    // what was found damaged at start
	// Observe is told of each promise and each accepted entry once it is durable.
	Observe trace.Observer
}

// Open reads the folder of a replica. A damaged identity, promise or only
// checkpoint makes the replica empty: its old votes must not be lent again.
func Open(fs disk.FS) (*Acceptor, error) {
	a := &Acceptor{fs: fs, big: task.NewLock(), io: task.NewLock(), entries: map[uint64]*Entry{}, sums: map[uint64][]byte{}}
	if err := disk.Adopt(fs, "v-"); err != nil {
		return nil, err
	}
	names, err := disk.Names(fs, "")
	if err != nil {
		return nil, err
	}
	lost := false
	for _, n := range names {
		if len(n) < 2 || n[1] != '-' {
			continue
		}
		var into any
		var e Entry
		var c Checkpoint
		switch n[0] {
		case 'i':
			into = &a.me
		case 'p':
			into = &a.vow
		case 'v':
			into = &e
		case 'c':
			into = &c
		default:
			continue
		}
		data, err := disk.Load(fs, n)
		if fault.Is(err, fault.Disk) {
			return nil, err
		}
		if err == nil {
			err = msgpack.Unmarshal(data, into)
		}
		if err != nil {
			a.Notes = append(a.Notes, n)
			if n[0] == 'v' {
				var slot uint64
				_, _ = fmt.Sscanf(n, "v-%x", &slot)
				a.harmed = max(a.harmed, slot)
			} else if n[0] != 'c' {
				lost = true
			}
			_ = fs.Rename(n, "bad-"+n)
			continue
		}
		if f := max(e.Format, c.Format, a.me.Format); f > Format {
			return nil, fault.New(fault.Input, "file %s is of format %d, newer than %d", n, f, Format)
		}
		if n[0] == 'v' {
			a.entries[e.Slot], a.sums[e.Slot] = &e, e.Sum()
		}
		if n[0] == 'c' && (a.point == nil || c.Slot > a.point.Slot) {
			a.point = c.head()
		}
	}
	// What was put aside must not come back under a name that is used anew.
	if len(a.Notes) > 0 {
		if err := fs.SyncDir(); err != nil {
			return nil, fault.Wrap(fault.Disk, err, "put aside")
		}
	}
	if a.point == nil && (len(a.entries) > 0 || len(a.Notes) > 0) {
		lost = true
	}
	if lost {
		a.clear()
		return a, nil
	}
	for _, e := range a.entries {
		if a.vow.Less(e.Num) {
			a.vow = e.Num
		}
	}
	if a.point != nil {
		a.low = a.point.Slot
		for s := a.point.Slot; a.entries[s] != nil; s-- {
			a.low = s - 1
		}
	}
	return a, nil
}

func (a *Acceptor) clear() {
	names, _ := disk.Names(a.fs, "")
	for _, n := range names {
		if len(n) > 2 && n[1] == '-' {
			_ = a.fs.Remove(n)
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.entries, a.sums = map[uint64]*Entry{}, map[uint64][]byte{}
	a.me, a.vow, a.point, a.harmed, a.low, a.spare = Identity{}, ballot.Number{}, nil, 0, 0, 0
}

func (a *Acceptor) save(name string, v any) error { return a.saveBy(disk.Save, name, v) }

func (a *Acceptor) saveBy(save func(disk.FS, string, []byte) error, name string, v any) error {
	b, err := msgpack.Marshal(v)
	if err != nil {
		return fault.Wrap(fault.Input, err, "pack "+name)
	}
	return save(a.fs, name, b)
}

// Name keeps the identity.
func (a *Acceptor) Name(id Identity) error {
	id.Format = Format
	a.io.Lock()
	defer a.io.Unlock()
	if err := a.save("i-identity", &id); err != nil {
		return err
	}
	a.mu.Lock()
	a.me = id
	a.mu.Unlock()
	return nil
}

// Me gives the identity.
func (a *Acceptor) Me() Identity {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.me
}

// Vow gives the highest promise.
func (a *Acceptor) Vow() ballot.Number {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.vow
}

// Point gives the newest checkpoint without its state, or nil.
func (a *Acceptor) Point() *Checkpoint {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.point
}

// Harmed gives the highest slot whose file was found damaged.
func (a *Acceptor) Harmed() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.harmed
}
