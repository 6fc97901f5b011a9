package paxos

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"puffincrank/internal/disk"
	"puffincrank/internal/fault"
)

// withoutState is the snapshot without its state.
func (c *Snapshot) withoutState() *Snapshot {
	return &Snapshot{Format: c.Format, Index: c.Index, Digest: c.Digest}
}

// ReadSnapshot reads the newest snapshot whole from the disk; nil when there is
// none. No other snapshot is written meanwhile.
func (a *Acceptor) ReadSnapshot() (*Snapshot, error) {
	a.snapshotLock.Lock()
	defer a.snapshotLock.Unlock()
	point := a.LatestSnapshot()
	if point == nil {
		return nil, nil
	}
	data, err := disk.Load(a.fs, snapshotName(point.Index))
	if err != nil {
		return nil, err
	}
	var c Snapshot
	if err := msgpack.Unmarshal(data, &c); err != nil {
		return nil, fault.Wrap(fault.Stale, err, "read snapshot")
	}
	return &c, nil
}

// snapshotName is the file of the snapshot after an index.
func snapshotName(index uint64) string { return fmt.Sprintf("c-%016x", index) }

// SaveSnapshot writes a snapshot and drops the files that it makes needless, but
// for the spare newest entries, which slow peers may still want. It holds up
// no promise and no entry: who is the identity that the state belongs to, and
// one that is older than what stands, or of a replica that lost its place
// meanwhile, is passed over.
func (a *Acceptor) SaveSnapshot(who string, c Snapshot, spare uint64) error {
	a.snapshotLock.Lock()
	defer a.snapshotLock.Unlock()
	a.mu.Lock()
	late := a.identity.ID != who || a.latest != nil && a.latest.Index > c.Index
	a.mu.Unlock()
	if late {
		return nil
	}
	return a.writeSnapshot(c, spare)
}

// writeSnapshot keeps a snapshot; snapshotLock is held.
func (a *Acceptor) writeSnapshot(c Snapshot, spare uint64) error {
	c.Format = Format
	name := snapshotName(c.Index)
	if err := a.save(name, &c); err != nil {
		// Room was kept free for just this: give it back and try once more.
		if !disk.IsFull(err) || a.fs.Remove(reserveName) != nil {
			return err
		}
		a.mu.Lock()
		a.reservedBytes = 0
		a.mu.Unlock()
		if err := a.save(name, &c); err != nil {
			return err
		}
	}
	a.mu.Lock()
	old := a.latest
	a.latest = c.withoutState()
	var drop []string
	if old != nil && old.Index != c.Index {
		drop = append(drop, snapshotName(old.Index))
	}
	if c.Index > spare {
		drop = append(drop, a.compact(c.Index-spare)...)
	}
	a.mu.Unlock()
	a.removeFiles(drop)
	return nil
}

// compact forgets entries and names their files; mu is held.
func (a *Acceptor) compact(to uint64) (files []string) {
	for s := range a.entries {
		if s <= to {
			files = append(files, entryName(s))
			delete(a.entries, s)
			delete(a.sums, s)
		}
	}
	a.compactedTo = max(a.compactedTo, to)
	return files
}

// removeFiles removes files that are needless; one that comes back changes nothing.
func (a *Acceptor) removeFiles(files []string) {
	for _, n := range files {
		_ = a.fs.Remove(n)
	}
}

// InstallSnapshot puts a snapshot from a peer in place of all that is here.
func (a *Acceptor) InstallSnapshot(c Snapshot) error {
	a.snapshotLock.Lock()
	defer a.snapshotLock.Unlock()
	if err := a.writeSnapshot(c, 0); err != nil {
		return err
	}
	a.mu.Lock()
	a.compactedTo = c.Index
	a.mu.Unlock()
	return nil
}

// reserveName is the file that keeps room for a snapshot on a full disk.
const reserveName = "r-reserve"

// ReserveSpace keeps room for a snapshot of so many bytes, so that a full disk can
// be freed by one. It is written anew only when it is too small.
func (a *Acceptor) ReserveSpace(size int) error {
	a.snapshotLock.Lock()
	defer a.snapshotLock.Unlock()
	a.mu.Lock()
	enough := a.reservedBytes >= size
	a.mu.Unlock()
	if enough {
		return nil
	}
	if err := disk.Save(a.fs, reserveName, make([]byte, size)); err != nil {
		return err
	}
	a.mu.Lock()
	a.reservedBytes = size
	a.mu.Unlock()
	return nil
}
