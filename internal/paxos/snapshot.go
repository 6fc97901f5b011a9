package paxos

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"puffincrank/internal/disk"
	"puffincrank/internal/fault"
)

// withoutState is the snapshot without its state.
func (s *Snapshot) withoutState() *Snapshot {
	return &Snapshot{Format: s.Format, Index: s.Index, Digest: s.Digest}
}

// ReadSnapshot reads the newest snapshot whole from the disk; nil when there is
// none. No other snapshot is written meanwhile.
func (a *Acceptor) ReadSnapshot() (*Snapshot, error) {
	a.snapshotLock.Lock()
	defer a.snapshotLock.Unlock()
	latest := a.LatestSnapshot()
	if latest == nil {
		return nil, nil
	}
	data, err := disk.Load(a.fs, snapshotFile(latest.Index))
	if err != nil {
		return nil, err
	}
	var snapshot Snapshot
	if err := msgpack.Unmarshal(data, &snapshot); err != nil {
		return nil, fault.Wrap(fault.Stale, err, "read snapshot")
	}
	return &snapshot, nil
}

// snapshotFile is the file of the snapshot after an index.
func snapshotFile(index uint64) string { return fmt.Sprintf("c-%016x", index) }

// SaveSnapshot writes a snapshot and drops the files that it makes needless, but
// for the spare newest entries, which slow peers may still want. It holds up
// no promise and no entry: who is the identity that the state belongs to, and
// one that is older than what stands, or of a replica that lost its place
// meanwhile, is passed over.
func (a *Acceptor) SaveSnapshot(replicaID string, snapshot Snapshot, retained uint64) error {
	a.snapshotLock.Lock()
	defer a.snapshotLock.Unlock()
	a.mu.Lock()
	outdated := a.identity.ID != replicaID || a.latestSnapshot != nil && a.latestSnapshot.Index > snapshot.Index
	a.mu.Unlock()
	if outdated {
		return nil
	}
	return a.writeSnapshot(snapshot, retained)
}

// writeSnapshot keeps a snapshot; snapshotLock is held.
func (a *Acceptor) writeSnapshot(snapshot Snapshot, retained uint64) error {
	snapshot.Format = Format
	name := snapshotFile(snapshot.Index)
	if err := a.save(name, &snapshot); err != nil {
		// Room was kept free for just this: give it back and try once more.
		if !disk.IsFull(err) || a.fs.Remove(reserveFile) != nil {
			return err
		}
		a.mu.Lock()
		a.reservedBytes = 0
		a.mu.Unlock()
		if err := a.save(name, &snapshot); err != nil {
			return err
		}
	}
	a.mu.Lock()
	previous := a.latestSnapshot
	a.latestSnapshot = snapshot.withoutState()
	var obsolete []string
	if previous != nil && previous.Index != snapshot.Index {
		obsolete = append(obsolete, snapshotFile(previous.Index))
	}
	if snapshot.Index > retained {
		obsolete = append(obsolete, a.compact(snapshot.Index-retained)...)
	}
	a.mu.Unlock()
	a.removeFiles(obsolete)
	return nil
}

// compact forgets entries and names their files; mu is held.
func (a *Acceptor) compact(upTo uint64) (files []string) {
	for index := range a.entries {
		if index <= upTo {
			files = append(files, entryFile(index))
			delete(a.entries, index)
			delete(a.digests, index)
		}
	}
	a.compactedTo = max(a.compactedTo, upTo)
	return files
}

// removeFiles removes files that are needless; one that comes back changes nothing.
func (a *Acceptor) removeFiles(files []string) {
	for _, n := range files {
		_ = a.fs.Remove(n)
	}
}

// InstallSnapshot puts a snapshot from a peer in place of all that is here.
func (a *Acceptor) InstallSnapshot(snapshot Snapshot) error {
	a.snapshotLock.Lock()
	defer a.snapshotLock.Unlock()
	if err := a.writeSnapshot(snapshot, 0); err != nil {
		return err
	}
	a.mu.Lock()
	a.compactedTo = snapshot.Index
	a.mu.Unlock()
	return nil
}

// reserveFile is the file that keeps room for a snapshot on a full disk.
const reserveFile = "r-reserve"

// Reserve keeps room for a snapshot of so many bytes, so that a full disk can
// be freed by one. It is written anew only when it is too small.
func (a *Acceptor) Reserve(size int) error {
	a.snapshotLock.Lock()
	defer a.snapshotLock.Unlock()
	a.mu.Lock()
	enough := a.reservedBytes >= size
	a.mu.Unlock()
	if enough {
		return nil
	}
	if err := disk.Save(a.fs, reserveFile, make([]byte, size)); err != nil {
		return err
	}
	a.mu.Lock()
	a.reservedBytes = size
	a.mu.Unlock()
	return nil
}
