// Package paxos is the durable part of multi-decree Paxos: promises, accepted
// entries and snapshots, each one file, and the rule by which an entry is
// known to be chosen. One index is decided at a time, so an entry accepted at
// index n says that index n-1 was chosen; its Previous names which value that was.
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

// Entry is one entry of the log: the batch of commands at one index.
type Entry struct {
	Format   int           `msgpack:"f"`
	Index    uint64        `msgpack:"s"`
	Previous []byte        `msgpack:"p"`
	Batch    []byte        `msgpack:"b"`
	Ballot   ballot.Number `msgpack:"n"`
}

// Digest is the identity of the value, whatever ballot it was accepted by.
func (e *Entry) Digest() []byte {
	hasher := sha256.New()
	_ = binary.Write(hasher, binary.BigEndian, e.Index)
	hasher.Write(e.Previous)
	hasher.Write(e.Batch)
	return hasher.Sum(nil)
}

// Identity names a replica: lost with its disk, never given again.
type Identity struct {
	Format    int    `msgpack:"f"`
	ID        string `msgpack:"i"`
	ClusterID string `msgpack:"m"`
}

// Snapshot is the state after an index.
type Snapshot struct {
	Format int    `msgpack:"f"`
	Index  uint64 `msgpack:"s"`
	Digest []byte `msgpack:"h"`
	State  []byte `msgpack:"d"`
}

// Acceptor holds the files of one replica.
type Acceptor struct {
	fs             disk.FS
	snapshotLock   task.Lock  // one snapshot at a time; taken before writeLock
	writeLock      task.Lock  // one promise or entry at a time; taken before mu
	mu             sync.Mutex // the fields below, never held over a write
	entries        map[uint64]*Entry
	digests        map[uint64][]byte
	compactedTo    uint64 // the highest index that was compacted
	identity       Identity
	promised       ballot.Number
	latestSnapshot *Snapshot // without its state, which stays on the disk
	reservedBytes  int       // bytes that are kept free for a snapshot, as far as known
	damagedUpTo    uint64    // the highest index whose file was damaged
	DamagedFiles   []string  // what was found damaged at start
	// Observe is told of each promise and each accepted entry once it is durable.
	Observe trace.Observer
}

// Open reads the folder of a replica. A damaged identity, promise or only
// snapshot makes the replica empty: its old votes must not be lent again.
func Open(fs disk.FS) (*Acceptor, error) {
	acceptor := &Acceptor{fs: fs, snapshotLock: task.NewLock(), writeLock: task.NewLock(), entries: map[uint64]*Entry{}, digests: map[uint64][]byte{}}
	if err := disk.AdoptUnrenamed(fs, "v-"); err != nil {
		return nil, err
	}
	names, err := disk.Names(fs, "")
	if err != nil {
		return nil, err
	}
	unusable := false
	for _, name := range names {
		essential, err := acceptor.load(name)
		if err != nil {
			return nil, err
		}
		unusable = unusable || essential
	}
	// What was put aside must not come back under a name that is used anew.
	if len(acceptor.DamagedFiles) > 0 {
		if err := fs.SyncDir(); err != nil {
			return nil, fault.Wrap(fault.Disk, err, "put aside")
		}
	}
	if acceptor.latestSnapshot == nil && (len(acceptor.entries) > 0 || len(acceptor.DamagedFiles) > 0) {
		unusable = true
	}
	if unusable {
		acceptor.reset()
		return acceptor, nil
	}
	acceptor.deriveState()
	return acceptor, nil
}

// load takes up one file of the folder. A damaged one is put aside; lost tells
// that the replica can't do without it.
func (a *Acceptor) load(name string) (essential bool, err error) {
	if len(name) < 2 || name[1] != '-' {
		return false, nil
	}
	var entry Entry
	var snapshot Snapshot
	var target any
	switch name[0] {
	case 'i':
		target = &a.identity
	case 'p':
		target = &a.promised
	case 'v':
		target = &entry
	case 'c':
		target = &snapshot
	default:
		return false, nil
	}
	data, err := disk.Load(a.fs, name)
	if fault.Is(err, fault.Disk) {
		return false, err
	}
	if err == nil {
		err = msgpack.Unmarshal(data, target)
	}
	if err != nil {
		return a.quarantine(name), nil
	}
	if format := max(entry.Format, snapshot.Format, a.identity.Format); format > Format {
		return false, fault.New(fault.Input, "file %s is of format %d, newer than %d", name, format, Format)
	}
	if name[0] == 'v' {
		a.entries[entry.Index], a.digests[entry.Index] = &entry, entry.Digest()
	}
	if name[0] == 'c' && (a.latestSnapshot == nil || snapshot.Index > a.latestSnapshot.Index) {
		a.latestSnapshot = snapshot.withoutState()
	}
	return false, nil
}

// quarantine renames a damaged file, and tells whether the replica can't do without
// it: it can without an entry, which others hold, or one of several snapshots.
func (a *Acceptor) quarantine(name string) (essential bool) {
	a.DamagedFiles = append(a.DamagedFiles, name)
	_ = a.fs.Rename(name, "bad-"+name)
	if name[0] != 'v' {
		return name[0] != 'c'
	}
	var index uint64
	_, _ = fmt.Sscanf(name, "v-%x", &index)
	a.damagedUpTo = max(a.damagedUpTo, index)
	return false
}

// deriveState works out what follows from all the files together.
func (a *Acceptor) deriveState() {
	for _, e := range a.entries {
		if a.promised.Less(e.Ballot) {
			a.promised = e.Ballot
		}
	}
	if a.latestSnapshot == nil {
		return
	}
	a.compactedTo = a.latestSnapshot.Index
	for index := a.latestSnapshot.Index; a.entries[index] != nil; index-- {
		a.compactedTo = index - 1
	}
}

func (a *Acceptor) reset() {
	names, _ := disk.Names(a.fs, "")
	for _, n := range names {
		if len(n) > 2 && n[1] == '-' {
			_ = a.fs.Remove(n)
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.entries, a.digests = map[uint64]*Entry{}, map[uint64][]byte{}
	a.identity, a.promised, a.latestSnapshot, a.damagedUpTo, a.compactedTo, a.reservedBytes = Identity{}, ballot.Number{}, nil, 0, 0, 0
}

func (a *Acceptor) save(name string, value any) error {
	encoded, err := msgpack.Marshal(value)
	if err != nil {
		return fault.Wrap(fault.Input, err, "pack "+name)
	}
	return disk.Save(a.fs, name, encoded)
}

// SetIdentity keeps the identity.
func (a *Acceptor) SetIdentity(id Identity) error {
	id.Format = Format
	a.writeLock.Lock()
	defer a.writeLock.Unlock()
	if err := a.save("i-identity", &id); err != nil {
		return err
	}
	a.mu.Lock()
	a.identity = id
	a.mu.Unlock()
	return nil
}

// Identity gives the identity.
func (a *Acceptor) Identity() Identity {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.identity
}

// Promised gives the highest promise.
func (a *Acceptor) Promised() ballot.Number {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.promised
}

// LatestSnapshot gives the newest snapshot without its state, or nil.
func (a *Acceptor) LatestSnapshot() *Snapshot {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.latestSnapshot
}

// DamagedUpTo gives the highest index whose file was found damaged.
func (a *Acceptor) DamagedUpTo() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.damagedUpTo
}
