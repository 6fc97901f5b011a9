package store

import (
	"encoding/hex"
	"sync"
	"time"

	"puffincrank/internal/event"
	"puffincrank/internal/paxos"
)

// digestShown is how many bytes of an entry's digest the log shows: enough to tell
// two entries of one slot apart.
const digestShown = 6

// chosenLog bounds the lines on chosen entries: each change of the configuration
// has one, of all other entries one a beat is told.
type chosenLog struct {
	mu      sync.Mutex
	version uint64    // of the configuration that the newest line told
	told    time.Time // when that was
	skipped int
}

// due tells whether an entry after which a configuration version stands is told,
// and how many before it were not.
func (c *chosenLog) due(version uint64, span time.Duration) (skipped int, due bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if version == c.version && now.Sub(c.told) < span {
		c.skipped++
		return 0, false
	}
	skipped, c.version, c.told, c.skipped = c.skipped, version, now, 0
	return skipped, true
}

// tellChosen logs an entry that is about to be acknowledged, with the members that
// said that it is on their disks; learn is held.
func (s *Store) tellChosen(e *paxos.Entry, acceptors []string) {
	s.mu.Lock()
	version := s.state.Config().Version
	s.mu.Unlock()
	if skipped, due := s.chosenLog.due(version, s.Settings.HeartbeatInterval()); due {
		s.e.Log.Emit(event.Chosen, "slot", e.Index, "digest", shortDigest(e.Digest()), "version", version, "ballot", e.Ballot.String(), "held_by", acceptors, "more", skipped)
	}
}

// tellOpened logs what this store's disk held when it started.
func (s *Store) tellOpened() {
	s.mu.Lock()
	slot, sum, version := s.slot, s.sum, uint64(0)
	if s.state != nil {
		version = s.state.Config().Version
	}
	s.mu.Unlock()
	s.e.Log.Emit(event.Reopened, "replica", s.acc.Identity().ID, "applied", slot, "digest", shortDigest(sum), "version", version, "accepted", s.acc.HighestIndex(), "promised", s.acc.Promised().String())
}

func shortDigest(sum []byte) string { return hex.EncodeToString(sum[:min(len(sum), digestShown)]) }
