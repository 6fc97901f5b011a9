package store

import (
	"bytes"
	"context"
	"crypto/sha256"
	"hash/crc32"
	"time"

	"puffincrank/internal/fault"
	"puffincrank/internal/paxos"
	"puffincrank/internal/transport"
)

// snapshotChunk is how many bytes of a snapshot travel in one message. A state
// that is not larger travels whole with the answer that announces it.
const snapshotChunk = 128 << 10

// snapshotLogFactor bounds the log that is kept for a transfer under way, as a
// multiple of the bound on the state. A transfer slower than that begins anew
// with a newer snapshot.
const snapshotLogFactor = 1

// snapshotHead announces a snapshot that travels in chunks.
type snapshotHead struct {
	ID     []byte `msgpack:"i"` // SHA-256 of its bytes
	Slot   uint64 `msgpack:"s"`
	Sum    []byte `msgpack:"h"` // the identity of the entry at Slot
	Size   int    `msgpack:"z"`
	Format int    `msgpack:"f,omitempty"` // of the stored files
}

// chunkAsk asks for the bytes of a snapshot from an offset on.
type chunkAsk struct {
	ID     []byte `msgpack:"i"`
	Offset int    `msgpack:"o"`
}

// chunkGot is one chunk.
type chunkGot struct {
	ID       []byte `msgpack:"i"`
	Offset   int    `msgpack:"o"`
	Data     []byte `msgpack:"d"`
	Checksum uint32 `msgpack:"c"` // CRC-32 of Data
}

// image is a snapshot that is being sent: a stable copy, which neither changes of
// the state nor compaction touch.
type image struct {
	head  snapshotHead
	data  []byte
	asked time.Time // when a chunk of it was last asked for
}

// inUse tells whether somebody still fetches the image.
func (m *image) inUse(idle time.Duration) bool { return m != nil && time.Since(m.asked) < idle }

// snapshotIdle is how long an image is kept after it was last asked for: longer
// than the cut or the election that may come in the middle of a transfer.
func (s *Store) snapshotIdle() time.Duration { return 2 * s.Settings.CatchUpBound }

// announce gives the head of a snapshot that reaches beyond a slot, and from
// which on this replica holds the whole log.
func (s *Store) announce(after uint64) (*snapshotHead, error) {
	s.imaging.Lock()
	defer s.imaging.Unlock()
	s.mu.Lock()
	now := s.image
	s.mu.Unlock()
	if now.inUse(s.snapshotIdle()) && now.head.Slot > after && s.acc.HoldsAfter(now.head.Slot) {
		s.touchImage(now)
		return &now.head, nil
	}
	point, err := s.stableSnapshot(after)
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(point.State)
	made := &image{head: snapshotHead{ID: sum[:], Slot: point.Index, Sum: point.Digest, Size: len(point.State), Format: paxos.Format}, data: point.State, asked: time.Now()}
	s.mu.Lock()
	s.image = made
	s.mu.Unlock()
	return &made.head, nil
}

// stableSnapshot reads the newest checkpoint from the disk or, when that does not
// reach beyond a slot, packs the state of now.
func (s *Store) stableSnapshot(after uint64) (*paxos.Snapshot, error) {
	if point := s.acc.LatestSnapshot(); point != nil && point.Index > after {
		if whole, err := s.acc.ReadSnapshot(); err == nil && whole != nil && whole.Index > after {
			return whole, nil
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.packState()
}

// packState packs the state of now; mu is held.
func (s *Store) packState() (*paxos.Snapshot, error) {
	raw, err := s.state.Pack()
	if err != nil {
		return nil, err
	}
	s.measured(len(raw))
	point := s.checkpointOf(raw)
	return &point, nil
}

func (s *Store) touchImage(m *image) {
	s.mu.Lock()
	m.asked = time.Now()
	s.mu.Unlock()
}

// onChunk gives a chunk of the image that is being sent. Another image is refused
// by name: its receiver asks for a new announcement.
func (s *Store) onChunk(_ context.Context, _ transport.Hello, in chunkAsk) (chunkGot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.image
	if m == nil || !bytes.Equal(m.head.ID, in.ID) {
		return chunkGot{}, fault.New(fault.Stale, "snapshot %x is not sent from here", in.ID)
	}
	if in.Offset < 0 || in.Offset >= len(m.data) {
		return chunkGot{}, fault.New(fault.Refused, "offset %d is outside of a snapshot of %d bytes", in.Offset, len(m.data))
	}
	m.asked = time.Now()
	data := m.data[in.Offset:min(in.Offset+snapshotChunk, len(m.data))]
	return chunkGot{ID: m.head.ID, Offset: in.Offset, Data: data, Checksum: crc32.ChecksumIEEE(data)}, nil
}

// dropImage lets go of an image that nobody fetches any more; mu is held.
func (s *Store) dropImage() {
	if s.image != nil && !s.image.inUse(s.snapshotIdle()) {
		s.image = nil
	}
}

// keptForTransfer is how many entries before a checkpoint's slot must stay in the
// log, so that whoever installs the image that is being sent can follow it up; mu
// is held.
func (s *Store) keptForTransfer(slot uint64) uint64 {
	s.dropImage()
	if s.image == nil || s.image.head.Slot >= slot {
		return 0
	}
	if s.logBytes > snapshotLogFactor*s.Settings.StateBytes() {
		s.image = nil
		return 0
	}
	return slot - s.image.head.Slot
}
