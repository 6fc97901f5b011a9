package paxos

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"puffincrank/internal/disk"
	"puffincrank/internal/fault"
)

// withoutState returns a copy of the snapshot without its state.
func (s *Snapshot) withoutState() *Snapshot {
	return &Snapshot{Format: s.Format, Index: s.Index, Digest: s.Digest}
}

// ReadSnapshot reads the newest snapshot with its state from disk. It returns nil if
// there is none. No snapshot is written while it reads.
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
		return nil, fault.Wrap(fault.Stale, err, "decode snapshot")
	}
	return &snapshot, nil
}

// snapshotFile returns the name of the file for the snapshot after an index.
func snapshotFile(index uint64) string { return fmt.Sprintf("c-%016x", index) }

// SaveSnapshot writes a snapshot and removes the files that it supersedes, except the
// newest retained entries up to its index, which slow peers may still request. Promises
// and entries can be written meanwhile. replicaID is the identity under which the state
// was captured: a snapshot is ignored if the replica has since got another identity, or
// if a newer snapshot exists.
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

// writeSnapshot stores a snapshot and compacts the log; snapshotLock is held.
func (a *Acceptor) writeSnapshot(snapshot Snapshot, retained uint64) error {
	snapshot.Format = Format
	name := snapshotFile(snapshot.Index)
	if err := a.save(name, &snapshot); err != nil {
		// The reserve exists for a full disk: remove it and retry once.
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

// compact drops the entries up to an index from memory and returns the names of their
// files; mu is held.
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

// removeFiles removes superseded files. Errors are ignored, since a file that remains
// or reappears after a power loss does no harm.
func (a *Acceptor) removeFiles(files []string) {
	for _, n := range files {
		_ = a.fs.Remove(n)
	}
}

// InstallSnapshot replaces the local snapshot and all entries up to its index with a
// snapshot from a peer.
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

// reserveFile is the file that reserves disk space for a snapshot.
const reserveFile = "r-reserve"

// ReserveSpace reserves disk space for a snapshot of size bytes, so that a snapshot can
// still be written on a full disk and compact the log to free space. The reserve is
// rewritten only when it is too small.
func (a *Acceptor) ReserveSpace(size int) error {
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
