// Package paxos is the durable acceptor of multi-decree Paxos: promises, accepted
// entries and snapshots, each in its own file, and the rule by which an entry is known
// to be chosen. Indexes are decided one at a time, so an entry accepted at index n
// proves that index n-1 was decided; its Previous is the digest of the chosen value.
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

// Digest identifies the value of an entry, independently of its ballot.
func (e *Entry) Digest() []byte {
	hasher := sha256.New()
	_ = binary.Write(hasher, binary.BigEndian, e.Index)
	hasher.Write(e.Previous)
	hasher.Write(e.Batch)
	return hasher.Sum(nil)
}

// Identity identifies a replica. It is lost with the replica's disk and never reused.
type Identity struct {
	Format    int    `msgpack:"f"`
	ID        string `msgpack:"i"`
	ClusterID string `msgpack:"m"`
}

// Snapshot is the state after the entry at Index, whose digest is Digest.
type Snapshot struct {
	Format int    `msgpack:"f"`
	Index  uint64 `msgpack:"s"`
	Digest []byte `msgpack:"h"`
	State  []byte `msgpack:"d"`
}

// Acceptor manages the files of one replica.
type Acceptor struct {
	fs             disk.FS
	snapshotLock   task.Lock  // serializes snapshots; taken before writeLock
	writeLock      task.Lock  // serializes writes of promises and entries; taken before mu
	mu             sync.Mutex // guards the fields below; never held during a write
	entries        map[uint64]*Entry
	digests        map[uint64][]byte
	compactedTo    uint64 // the highest index whose entry is not retained
	identity       Identity
	promised       ballot.Number
	latestSnapshot *Snapshot // without its state, which is only on disk
	reservedBytes  int       // size of the reserve file, 0 if not known
	damagedUpTo    uint64    // the highest index whose entry file was damaged
	DamagedFiles   []string  // the names of the files found damaged by Open
	// Observe is notified of each promise and accepted entry once it is durable.
	Observe trace.Observer
}

// Open reads the folder of a replica. If the identity, a promise or the only snapshot is
// damaged, the replica becomes empty: its old votes are lost and must not count again.
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
	// The renames must be durable: a damaged file must not reappear under a reused name.
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

// load reads one file. A damaged one is quarantined, see there for essential.
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

// quarantine renames a damaged file and reports whether it is essential. An entry is
// not, as peers hold it too, and neither is a snapshot as long as there is another.
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

// deriveState sets the fields that depend on all files together.
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

// reset removes all files of the replica and makes it empty.
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
		return fault.Wrap(fault.Input, err, "encode "+name)
	}
	return disk.Save(a.fs, name, encoded)
}

// SetIdentity stores the identity durably.
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

// Identity returns the replica's identity, empty if it has none.
func (a *Acceptor) Identity() Identity {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.identity
}

// Promised returns the highest promised ballot.
func (a *Acceptor) Promised() ballot.Number {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.promised
}

// LatestSnapshot returns the newest snapshot without its state, or nil.
func (a *Acceptor) LatestSnapshot() *Snapshot {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.latestSnapshot
}

// DamagedUpTo returns the highest index whose entry file was found damaged, or 0.
func (a *Acceptor) DamagedUpTo() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.damagedUpTo
}
