package store

import (
	"bytes"
	"context"
	"crypto/sha256"
	"hash/crc32"

	"puffincrank/internal/event"
	"puffincrank/internal/fault"
	"puffincrank/internal/paxos"
	"puffincrank/internal/transport"
)

// download is a snapshot that is being fetched. What has come is kept when the
// sender goes, and fetching goes on with whoever announces the same snapshot.
type download struct {
	head snapshotHead
	data []byte
}

// fetchSnapshot fetches an announced snapshot and installs it; learn is held. It
// goes on for as long as chunks come, whatever the caller's own time is: a large
// state takes longer than a call.
func (s *Store) fetchSnapshot(ctx context.Context, from string, head snapshotHead) error {
	if head.Format > paxos.Format {
		return s.badSnapshot(from, "it is of format %d, newer than %d", head.Format, paxos.Format)
	}
	if head.Size <= 0 || head.Size > s.largestSnapshot() || len(head.ID) != sha256.Size {
		return s.badSnapshot(from, "its announced size is %d", head.Size)
	}
	if s.loading == nil || !bytes.Equal(s.loading.head.ID, head.ID) || s.loading.head.Size != head.Size {
		s.loading = &download{head: head, data: make([]byte, 0, head.Size)}
	}
	for len(s.loading.data) < head.Size {
		if err := s.fetchChunk(ctx, from, s.loading); err != nil {
			return err
		}
	}
	whole := s.loading.data
	s.loading = nil
	if sum := sha256.Sum256(whole); !bytes.Equal(sum[:], head.ID) {
		return s.badSnapshot(from, "it fails its checksum")
	}
	return s.install(paxos.Snapshot{Format: head.Format, Index: head.Slot, Digest: head.Sum, State: whole}, event.Refilled)
}

// largestSnapshot bounds what is taken from another replica: its own bound may be
// somewhat above ours.
func (s *Store) largestSnapshot() int { return 2 * s.Settings.StateBytes() }

// fetchChunk fetches the next chunk. It goes as bulk, so heartbeats and
// proposals pass it on a thin link.
func (s *Store) fetchChunk(ctx context.Context, from string, d *download) error {
	ctx, end := context.WithTimeout(transport.WithLane(ctx, transport.LaneBulk), 2*s.Settings.ConfigBound)
	defer end()
	ask := chunkAsk{ID: d.head.ID, Offset: len(d.data)}
	got, err := transport.Call[chunkGot](ctx, s.n, from, "store.snapshot", ask)
	if err != nil {
		return err
	}
	fits := len(got.Data) > 0 && len(got.Data) <= snapshotChunk && len(d.data)+len(got.Data) <= d.head.Size
	switch {
	case !bytes.Equal(got.ID, ask.ID):
		return s.badSnapshot(from, "a chunk is of another snapshot")
	case got.Offset != ask.Offset || !fits:
		return s.badSnapshot(from, "a chunk at %d with %d bytes came in place of %d", got.Offset, len(got.Data), ask.Offset)
	case crc32.ChecksumIEEE(got.Data) != got.Checksum:
		return s.badSnapshot(from, "the chunk at %d fails its checksum", got.Offset)
	}
	d.data = append(d.data, got.Data...)
	return nil
}

// badSnapshot drops what has come and names the fault.
func (s *Store) badSnapshot(from, format string, a ...any) error {
	s.loading = nil
	err := fault.New(fault.Input, "snapshot from "+from+": "+format, a...)
	s.e.Log.Emit(event.SnapshotBad, "from", from, "why", err.Error())
	return err
}
