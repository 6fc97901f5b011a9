package store

import (
	"encoding/hex"
	"sync"
	"time"

	"puffincrank/internal/event"
	"puffincrank/internal/paxos"
)

// loggedDigestBytes is how many bytes of an entry's digest are logged: enough
// to tell two entries at one index apart.
const loggedDigestBytes = 6

// chosenLog limits the log lines on chosen entries: one for each change of the
// configuration, and for all other entries one per heartbeat interval.
type chosenLog struct {
	mu       sync.Mutex
	version  uint64    // the configuration version that was last logged
	loggedAt time.Time // when the newest line was logged
	skipped  int
}

// due reports whether an entry is logged after which a configuration version
// is current, and how many entries before it were skipped.
func (c *chosenLog) due(version uint64, interval time.Duration) (skipped int, due bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if version == c.version && now.Sub(c.loggedAt) < interval {
		c.skipped++
		return 0, false
	}
	skipped, c.version, c.loggedAt, c.skipped = c.skipped, version, now, 0
	return skipped, true
}

// logChosen logs an entry that is about to be acknowledged, with the members
// that have synced it to disk; applyLock is held.
func (s *Store) logChosen(entry *paxos.Entry, acceptors []string) {
	s.mu.Lock()
	version := s.state.Config().Version
	s.mu.Unlock()
	if skipped, due := s.chosenLog.due(version, s.Settings.HeartbeatInterval()); due {
		s.env.Log.Emit(event.Chosen, "slot", entry.Index, "digest", shortDigest(entry.Digest()), "version", version, "ballot", entry.Ballot.String(), "held_by", acceptors, "more", skipped)
	}
}

// logOpened logs what this store's disk held at the start.
func (s *Store) logOpened() {
	s.mu.Lock()
	index, digest, version := s.appliedIndex, s.appliedDigest, uint64(0)
	if s.state != nil {
		version = s.state.Config().Version
	}
	s.mu.Unlock()
	s.env.Log.Emit(event.Reopened, "replica", s.acceptor.Identity().ID, "applied", index, "digest", shortDigest(digest), "version", version, "accepted", s.acceptor.HighestIndex(), "promised", s.acceptor.Promised().String())
}

func shortDigest(digest []byte) string {
	return hex.EncodeToString(digest[:min(len(digest), loggedDigestBytes)])
}
