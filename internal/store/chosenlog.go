package store

import (
	"encoding/hex"
	"sync"
	"time"

	"puffincrank/internal/event"
	"puffincrank/internal/paxos"
)

// loggedDigestBytes is how many bytes of an entry's digest the log shows: enough to tell
// two entries of one slot apart.
const loggedDigestBytes = 6

// chosenLog bounds the lines on chosen entries: each change of the configuration
// has one, of all other entries one a beat is told.
type chosenLog struct {
	mu       sync.Mutex
	version  uint64    // of the configuration that the newest line told
	loggedAt time.Time // when that was
	skipped  int
}

// due tells whether an entry after which a configuration version stands is told,
// and how many before it were not.
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

// logChosen logs an entry that is about to be acknowledged, with the members that
// said that it is on their disks; learn is held.
func (s *Store) logChosen(entry *paxos.Entry, acceptors []string) {
	s.mu.Lock()
	version := s.state.Config().Version
	s.mu.Unlock()
	if skipped, due := s.chosenLog.due(version, s.Settings.HeartbeatInterval()); due {
		s.env.Log.Emit(event.Chosen, "slot", entry.Index, "digest", shortDigest(entry.Digest()), "version", version, "ballot", entry.Ballot.String(), "held_by", acceptors, "more", skipped)
	}
}

// logOpened logs what this store's disk held when it started.
func (s *Store) logOpened() {
	s.mu.Lock()
	index, digest, version := s.appliedIndex, s.appliedDigest, uint64(0)
	if s.state != nil {
		version = s.state.Config().Version
	}
	s.mu.Unlock()
	s.env.Log.Emit(event.Reopened, "replica", s.acceptor.Identity().ID, "applied", index, "digest", shortDigest(digest), "version", version, "accepted", s.acceptor.Top(), "promised", s.acceptor.Promised().String())
}

func shortDigest(digest []byte) string {
	return hex.EncodeToString(digest[:min(len(digest), loggedDigestBytes)])
}
