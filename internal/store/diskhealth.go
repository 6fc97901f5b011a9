package store

import (
	"context"
	"time"

	"puffincrank/internal/disk"
	"puffincrank/internal/event"
	"puffincrank/internal/fault"
	"puffincrank/internal/paxos"
)

// writeDurably runs a write to disk, times it and notes whether the disk is well.
func (s *Store) writeDurably(f func() error) error {
	from := time.Now()
	s.mu.Lock()
	s.writesBegun++
	id := s.writesBegun
	s.writesUnderWay[id] = from
	s.mu.Unlock()
	err := f()
	took := time.Since(from)
	s.mu.Lock()
	delete(s.writesUnderWay, id)
	s.mu.Unlock()
	if err != nil && fault.Is(err, fault.Stale) {
		return err
	}
	if err != nil {
		s.diskFailed(err)
		return err
	}
	slow := took > s.Settings.MaxSyncTime()
	s.mu.Lock()
	was := s.diskIll
	s.diskIll, s.lastWriteFailed = slow, false
	if slow {
		s.restsUntil = time.Now().Add(s.Settings.RecoveryBound / 3)
	}
	s.mu.Unlock()
	if slow && !was {
		s.e.Log.Emit(event.DiskFailing, "sync_ms", took.Milliseconds())
	}
	if was && !slow {
		s.e.Log.Emit(event.DiskRecovered, "sync_ms", took.Milliseconds())
	}
	return nil
}

// diskHangs tells that a write has been under way for too long: whoever waits for it
// is told no at once, instead of waiting as well. mu is held.
func (s *Store) diskHangs() bool {
	for _, from := range s.writesUnderWay {
		if time.Since(from) > s.Settings.MaxSyncTime() {
			return true
		}
	}
	return false
}

// diskFailed notes a disk that refused: nothing of it is acknowledged.
func (s *Store) diskFailed(err error) {
	s.mu.Lock()
	was, now := s.diskIll, time.Now()
	s.diskIll, s.lastWriteFailed = true, true
	s.restsUntil = now.Add(s.Settings.RecoveryBound / 3)
	// Once in a while: what is full again right away is not helped by another.
	ease := disk.IsFull(err) && now.Sub(s.easedAt) > s.Settings.RecoveryBound/3
	if ease {
		s.easedAt = now
	}
	s.mu.Unlock()
	if !was {
		s.e.Log.Emit(event.DiskFailing, "why", err.Error())
	}
	// A checkpoint has its room kept free, and frees what it makes needless.
	if ease {
		s.writePoint(0)
	}
}

// watchDisk gives the leadership up while the own disk is worse than another's: looked at
// at each beat, since a write that hangs says nothing.
func (s *Store) watchDisk() {
	s.mu.Lock()
	t, hung := s.leadership, s.diskHangs()
	ill := hung || s.diskIll
	if hung {
		s.restsUntil = time.Now().Add(s.Settings.RecoveryBound / 3)
	}
	s.mu.Unlock()
	if t == nil || !ill || !t.hasHealthierMember() || !t.leaves.CompareAndSwap(false, true) {
		return
	}
	// From another goroutine, since resign waits for the voters.
	s.g.Go("resign", func(context.Context) { s.transferLeadership("own disk hangs, is slow or refuses") })
}

// hasHealthierMember tells whether another member in touch has a disk that is well.
func (t *leadership) hasHealthierMember() bool {
	all, _, _ := t.s.members()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range all {
		if w := t.contacts[m.ID]; m.ID != t.s.acc.Identity().ID && !w.ill && time.Since(w.at) < t.s.Settings.Lease() {
			return true
		}
	}
	return false
}

// checkpoint bounds the count of files and the bytes of the log.
func (s *Store) checkpoint() {
	now := time.Now()
	s.mu.Lock()
	// One that failed is not tried again at each entry.
	keep := s.checkpointDue()
	wait := now.Before(s.checkpointAfter)
	s.mu.Unlock()
	if keep > 0 && !wait {
		s.writePoint(keep)
	}
}

// checkpointDue tells how many entries a checkpoint of now would leave in the log,
// 0 when none is due; mu is held.
func (s *Store) checkpointDue() uint64 {
	last := s.acc.LatestSnapshot()
	if last == nil {
		return keptEntries
	}
	since := s.slot - last.Index
	if s.logBytes >= s.Settings.StateBytes()/logPart && s.slot%spanOfLarge == 0 && since > 0 {
		// The entries are large: few of them must not fill the disk.
		return spanOfLarge
	}
	small := s.stateBytes <= snapshotChunk || s.logBytes >= s.stateBytes/checkpointBytes || since >= spanMost
	if s.slot%checkpointSpan == 0 && since >= checkpointSpan && small {
		return keptEntries
	}
	return 0
}

// writePoint writes a checkpoint of the state of now, and drops the files that it makes
// needless but for some of the newest entries. Nobody waits for it: a disk that
// hangs must not stop the entries of the others. learn is held, or the replica's
// place is certain otherwise.
func (s *Store) writePoint(keep uint64) {
	if !s.checkpointing.TryLock() {
		return
	}
	s.mu.Lock()
	last := s.acc.LatestSnapshot()
	if s.state == nil || last != nil && last.Index >= s.slot {
		s.mu.Unlock()
		s.checkpointing.Unlock()
		return
	}
	keep = max(keep, s.keptForTransfer(s.slot))
	c, err := s.packState()
	who := s.acc.Identity().ID
	s.mu.Unlock()
	ok := err == nil && s.g.Go("checkpoint", func(context.Context) {
		defer s.checkpointing.Unlock()
		s.writeCheckpoint(who, *c, keep)
	})
	if !ok {
		s.checkpointing.Unlock()
	}
}

// writeCheckpoint keeps a checkpoint on the disk; points is held.
func (s *Store) writeCheckpoint(who string, c paxos.Snapshot, keep uint64) {
	if s.writeDurably(func() error { return s.acc.SaveSnapshot(who, c, keep) }) != nil {
		s.mu.Lock()
		s.checkpointAfter = time.Now().Add(s.Settings.Lease())
		s.mu.Unlock()
		return
	}
	s.e.Log.Emit(event.SnapshotWritten, "slot", c.Index, "bytes", len(c.State))
	_ = s.acc.ReserveSpace(len(c.State)*2 + 64<<10)
}
