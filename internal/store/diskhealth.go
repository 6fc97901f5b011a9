package store

import (
	"context"
	"time"

	"puffincrank/internal/disk"
	"puffincrank/internal/event"
	"puffincrank/internal/fault"
	"puffincrank/internal/paxos"
)

// writeDurably runs a write to disk, measures it and records whether the disk
// is healthy.
func (s *Store) writeDurably(write func() error) error {
	started := time.Now()
	s.mu.Lock()
	s.writesStarted++
	id := s.writesStarted
	s.writesInFlight[id] = started
	s.mu.Unlock()
	err := write()
	elapsed := time.Since(started)
	s.mu.Lock()
	delete(s.writesInFlight, id)
	s.mu.Unlock()
	if err != nil && fault.Is(err, fault.Stale) {
		return err
	}
	if err != nil {
		s.recordDiskFailure(err)
		return err
	}
	slow := elapsed > s.Settings.MaxSyncTime()
	s.mu.Lock()
	wasFailing := s.diskFailing
	s.diskFailing, s.lastWriteFailed = slow, false
	if slow {
		s.noCampaignUntil = time.Now().Add(s.Settings.RecoveryBound / 3)
	}
	s.mu.Unlock()
	if slow && !wasFailing {
		s.env.Log.Emit(event.DiskFailing, "sync_ms", elapsed.Milliseconds())
	}
	if wasFailing && !slow {
		s.env.Log.Emit(event.DiskRecovered, "sync_ms", elapsed.Milliseconds())
	}
	return nil
}

// diskStalled reports whether a write has been in flight for longer than
// MaxSyncTime: requests that need the disk are then refused at once instead of
// waiting as well. mu is held.
func (s *Store) diskStalled() bool {
	for _, started := range s.writesInFlight {
		if time.Since(started) > s.Settings.MaxSyncTime() {
			return true
		}
	}
	return false
}

// recordDiskFailure records a refused write, of which nothing is acknowledged.
func (s *Store) recordDiskFailure(err error) {
	s.mu.Lock()
	wasFailing, now := s.diskFailing, time.Now()
	s.diskFailing, s.lastWriteFailed = true, true
	s.noCampaignUntil = now.Add(s.Settings.RecoveryBound / 3)
	// At most once in a while: if the disk is full again right away, another
	// snapshot does not help.
	freeSpace := disk.IsFull(err) && now.Sub(s.spaceFreedAt) > s.Settings.RecoveryBound/3
	if freeSpace {
		s.spaceFreedAt = now
	}
	s.mu.Unlock()
	if !wasFailing {
		s.env.Log.Emit(event.DiskFailing, "why", err.Error())
	}
	// Space is reserved for a snapshot, and the snapshot frees the files that
	// it makes obsolete.
	if freeSpace {
		s.startSnapshot(0)
	}
}

// checkDisk transfers the leadership while this store's disk is slow or
// failing and another member's is not. It is called at each heartbeat
// interval, since a stalled write reports nothing.
func (s *Store) checkDisk() {
	s.mu.Lock()
	term, stalled := s.leadership, s.diskStalled()
	failing := stalled || s.diskFailing
	if stalled {
		s.noCampaignUntil = time.Now().Add(s.Settings.RecoveryBound / 3)
	}
	s.mu.Unlock()
	if term == nil || !failing || !term.hasHealthierMember() || !term.diskTransferStarted.CompareAndSwap(false, true) {
		return
	}
	// In another goroutine, since the transfer waits for the voters.
	s.tasks.Go("resign", func(context.Context) { s.transferLeadership("own disk hangs, is slow or refuses") })
}

// hasHealthierMember reports whether another connected member has a healthy
// disk.
func (t *leadership) hasHealthierMember() bool {
	members, _, _ := t.store.members()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range members {
		if contact := t.contacts[m.ID]; m.ID != t.store.acceptor.Identity().ID && !contact.diskFailing && time.Since(contact.at) < t.store.Settings.Lease() {
			return true
		}
	}
	return false
}

// snapshotIfDue writes a snapshot when the log has too many files or bytes.
func (s *Store) snapshotIfDue() {
	now := time.Now()
	s.mu.Lock()
	// A failed snapshot is not retried at each entry.
	retain := s.entriesToRetain()
	wait := now.Before(s.snapshotRetryAt)
	s.mu.Unlock()
	if retain > 0 && !wait {
		s.startSnapshot(retain)
	}
}

// entriesToRetain returns how many entries a snapshot written now would leave
// in the log, 0 if none is due; mu is held.
func (s *Store) entriesToRetain() uint64 {
	last := s.acceptor.LatestSnapshot()
	if last == nil {
		return retainedEntries
	}
	since := s.appliedIndex - last.Index
	if s.logBytes >= s.Settings.StateBytes()/logBoundDivisor && s.appliedIndex%largeLogInterval == 0 && since > 0 {
		// The entries are large: few of them must not fill the disk.
		return largeLogInterval
	}
	affordable := s.stateBytes <= snapshotChunk || s.logBytes >= s.stateBytes/snapshotLogDivisor || since >= maxSnapshotInterval
	if s.appliedIndex%snapshotInterval == 0 && since >= snapshotInterval && affordable {
		return retainedEntries
	}
	return 0
}

// startSnapshot starts to write a snapshot of the current state, after which
// the files that it makes obsolete are dropped, except for some of the newest
// entries. Nobody waits for it: a stalled disk must not hold up the entries
// that the others accept. applyLock is held, or the replica is certain to keep
// its membership.
func (s *Store) startSnapshot(retain uint64) {
	if !s.snapshotLock.TryLock() {
		return
	}
	s.mu.Lock()
	last := s.acceptor.LatestSnapshot()
	if s.state == nil || last != nil && last.Index >= s.appliedIndex {
		s.mu.Unlock()
		s.snapshotLock.Unlock()
		return
	}
	retain = max(retain, s.entriesKeptForTransfer(s.appliedIndex))
	snapshot, err := s.packState()
	replica := s.acceptor.Identity().ID
	s.mu.Unlock()
	started := err == nil && s.tasks.Go("checkpoint", func(context.Context) {
		defer s.snapshotLock.Unlock()
		s.saveSnapshot(replica, *snapshot, retain)
	})
	if !started {
		s.snapshotLock.Unlock()
	}
}

// saveSnapshot writes a snapshot to disk; snapshotLock is held.
func (s *Store) saveSnapshot(replica string, snapshot paxos.Snapshot, retain uint64) {
	if s.writeDurably(func() error { return s.acceptor.SaveSnapshot(replica, snapshot, retain) }) != nil {
		s.mu.Lock()
		s.snapshotRetryAt = time.Now().Add(s.Settings.Lease())
		s.mu.Unlock()
		return
	}
	s.env.Log.Emit(event.SnapshotWritten, "slot", snapshot.Index, "bytes", len(snapshot.State))
	_ = s.acceptor.ReserveSpace(len(snapshot.State)*2 + 64<<10)
}
