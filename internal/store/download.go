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

// download is a snapshot that is being fetched. The chunks received are kept
// when the sender fails, and the download continues from any store that
// announces the same snapshot.
type download struct {
	header snapshotHeader
	data   []byte
}

// fetchSnapshot fetches an announced snapshot and installs it. It continues
// for as long as chunks arrive, whatever the caller's deadline: a large state
// takes longer than a call. applyLock is held.
func (s *Store) fetchSnapshot(ctx context.Context, from string, header snapshotHeader) error {
	if header.Format > paxos.Format {
		return s.badSnapshot(from, "it is of format %d, newer than %d", header.Format, paxos.Format)
	}
	if header.Size <= 0 || header.Size > s.largestSnapshot() || len(header.ID) != sha256.Size {
		return s.badSnapshot(from, "its announced size is %d", header.Size)
	}
	if s.incoming == nil || !bytes.Equal(s.incoming.header.ID, header.ID) || s.incoming.header.Size != header.Size {
		s.incoming = &download{header: header, data: make([]byte, 0, header.Size)}
	}
	for len(s.incoming.data) < header.Size {
		if err := s.fetchChunk(ctx, from, s.incoming); err != nil {
			return err
		}
	}
	state := s.incoming.data
	s.incoming = nil
	if digest := sha256.Sum256(state); !bytes.Equal(digest[:], header.ID) {
		return s.badSnapshot(from, "it fails its checksum")
	}
	return s.installSnapshot(paxos.Snapshot{Format: header.Format, Index: header.Index, Digest: header.Digest, State: state}, event.Refilled)
}

// largestSnapshot bounds the size of a snapshot that is accepted from another
// replica, whose own bound may be somewhat above this one's.
func (s *Store) largestSnapshot() int { return 2 * s.Settings.StateBytes() }

// fetchChunk fetches the next chunk. It uses the bulk lane, so heartbeats and
// proposals overtake it on a slow link.
func (s *Store) fetchChunk(ctx context.Context, from string, transfer *download) error {
	ctx, cancel := context.WithTimeout(transport.WithLane(ctx, transport.LaneBulk), 2*s.Settings.ConfigBound)
	defer cancel()
	request := chunkRequest{ID: transfer.header.ID, Offset: len(transfer.data)}
	response, err := transport.Call[chunkResponse](ctx, s.node, from, "store.snapshot", request)
	if err != nil {
		return err
	}
	fits := len(response.Data) > 0 && len(response.Data) <= snapshotChunk && len(transfer.data)+len(response.Data) <= transfer.header.Size
	switch {
	case !bytes.Equal(response.ID, request.ID):
		return s.badSnapshot(from, "a chunk is of another snapshot")
	case response.Offset != request.Offset || !fits:
		return s.badSnapshot(from, "a chunk at %d with %d bytes came in place of %d", response.Offset, len(response.Data), request.Offset)
	case crc32.ChecksumIEEE(response.Data) != response.Checksum:
		return s.badSnapshot(from, "the chunk at %d fails its checksum", response.Offset)
	}
	transfer.data = append(transfer.data, response.Data...)
	return nil
}

// badSnapshot discards the download, and logs and returns the fault.
func (s *Store) badSnapshot(from, format string, args ...any) error {
	s.incoming = nil
	err := fault.New(fault.Input, "snapshot from "+from+": "+format, args...)
	s.env.Log.Emit(event.SnapshotBad, "from", from, "why", err.Error())
	return err
}
