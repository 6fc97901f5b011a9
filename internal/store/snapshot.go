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

// snapshotChunk is how many bytes of a snapshot are sent in one message. A
// state that is not larger is sent whole in the response that would announce
// it.
const snapshotChunk = 128 << 10

// snapshotLogFactor bounds the log that is kept for a transfer in progress, as
// a multiple of the bound on the state. A transfer that falls further behind
// starts again with a newer snapshot.
const snapshotLogFactor = 1

// snapshotHeader announces a snapshot that is sent in chunks.
type snapshotHeader struct {
	ID     []byte `msgpack:"i"` // SHA-256 of the snapshot
	Index  uint64 `msgpack:"s"`
	Digest []byte `msgpack:"h"` // the identity of the entry at Index
	Size   int    `msgpack:"z"`
	Format int    `msgpack:"f,omitempty"` // version of the stored files
}

// chunkRequest asks for a chunk of a snapshot, starting at an offset.
type chunkRequest struct {
	ID     []byte `msgpack:"i"`
	Offset int    `msgpack:"o"`
}

// chunkResponse is one chunk.
type chunkResponse struct {
	ID       []byte `msgpack:"i"`
	Offset   int    `msgpack:"o"`
	Data     []byte `msgpack:"d"`
	Checksum uint32 `msgpack:"c"` // CRC-32 of Data
}

// outgoingSnapshot is a snapshot that is being sent: a stable copy, which is
// affected neither by changes of the state nor by compaction.
type outgoingSnapshot struct {
	header        snapshotHeader
	data          []byte
	lastRequested time.Time // when a chunk was last requested
}

// inUse reports whether the snapshot is still being fetched.
func (m *outgoingSnapshot) inUse(idle time.Duration) bool {
	return m != nil && time.Since(m.lastRequested) < idle
}

// snapshotIdleTimeout is how long a snapshot is kept after its last request:
// longer than a network partition or an election in the middle of a transfer.
func (s *Store) snapshotIdleTimeout() time.Duration { return 2 * s.Settings.CatchUpBound }

// announceSnapshot returns the header of a snapshot of a state after the given
// index, such that this replica holds the whole log from the snapshot on.
func (s *Store) announceSnapshot(after uint64) (*snapshotHeader, error) {
	s.transferLock.Lock()
	defer s.transferLock.Unlock()
	s.mu.Lock()
	current := s.outgoing
	s.mu.Unlock()
	if current.inUse(s.snapshotIdleTimeout()) && current.header.Index > after && s.acceptor.HoldsAfter(current.header.Index) {
		s.touchSnapshot(current)
		return &current.header, nil
	}
	snapshot, err := s.stableSnapshot(after)
	if err != nil {
		return nil, err
	}
	digest := sha256.Sum256(snapshot.State)
	created := &outgoingSnapshot{header: snapshotHeader{ID: digest[:], Index: snapshot.Index, Digest: snapshot.Digest, Size: len(snapshot.State), Format: paxos.Format}, data: snapshot.State, lastRequested: time.Now()}
	s.mu.Lock()
	s.outgoing = created
	s.mu.Unlock()
	return &created.header, nil
}

// stableSnapshot reads the newest snapshot from disk or, if that is not newer
// than the given index, packs the current state.
func (s *Store) stableSnapshot(after uint64) (*paxos.Snapshot, error) {
	if snapshot := s.acceptor.LatestSnapshot(); snapshot != nil && snapshot.Index > after {
		if full, err := s.acceptor.ReadSnapshot(); err == nil && full != nil && full.Index > after {
			return full, nil
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.packState()
}

// packState packs the current state; mu is held.
func (s *Store) packState() (*paxos.Snapshot, error) {
	encoded, err := s.state.Pack()
	if err != nil {
		return nil, err
	}
	s.recordSize(len(encoded))
	snapshot := s.snapshotOf(encoded)
	return &snapshot, nil
}

func (s *Store) touchSnapshot(snapshot *outgoingSnapshot) {
	s.mu.Lock()
	snapshot.lastRequested = time.Now()
	s.mu.Unlock()
}

// onChunk returns a chunk of the snapshot that is being sent. A request for
// another one is refused as stale: its sender asks for a new announcement.
func (s *Store) onChunk(_ context.Context, _ transport.Hello, request chunkRequest) (chunkResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot := s.outgoing
	if snapshot == nil || !bytes.Equal(snapshot.header.ID, request.ID) {
		return chunkResponse{}, fault.New(fault.Stale, "snapshot %x is not sent from here", request.ID)
	}
	if request.Offset < 0 || request.Offset >= len(snapshot.data) {
		return chunkResponse{}, fault.New(fault.Refused, "offset %d is outside of a snapshot of %d bytes", request.Offset, len(snapshot.data))
	}
	snapshot.lastRequested = time.Now()
	data := snapshot.data[request.Offset:min(request.Offset+snapshotChunk, len(snapshot.data))]
	return chunkResponse{ID: snapshot.header.ID, Offset: request.Offset, Data: data, Checksum: crc32.ChecksumIEEE(data)}, nil
}

// dropIdleSnapshot drops a snapshot that is no longer fetched; mu is held.
func (s *Store) dropIdleSnapshot() {
	if s.outgoing != nil && !s.outgoing.inUse(s.snapshotIdleTimeout()) {
		s.outgoing = nil
	}
}

// entriesKeptForTransfer returns how many entries before a new snapshot's
// index must stay in the log, so that a replica can catch up after it has
// installed the outgoing snapshot; mu is held.
func (s *Store) entriesKeptForTransfer(index uint64) uint64 {
	s.dropIdleSnapshot()
	if s.outgoing == nil || s.outgoing.header.Index >= index {
		return 0
	}
	if s.logBytes > snapshotLogFactor*s.Settings.StateBytes() {
		s.outgoing = nil
		return 0
	}
	return index - s.outgoing.header.Index
}
