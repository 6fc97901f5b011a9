package store

import (
	"bytes"
	"context"
	"slices"

	"puffincrank/internal/event"
	"puffincrank/internal/fault"
	"puffincrank/internal/paxos"
	"puffincrank/internal/transport"
)

// snapshotInterval is the least number of entries between two snapshots, and
// retainedEntries how many older ones are kept for slow members. Snapshots are
// taken at indexes that are multiples of snapshotInterval, so that those of
// different members are equal byte for byte.
const (
	snapshotInterval = 256
	retainedEntries  = 256
)

// Writing a snapshot costs its whole size. So a large state is written only
// after entries of 1/snapshotLogDivisor of its size, or after
// maxSnapshotInterval entries.
const (
	snapshotLogDivisor  = 2
	maxSnapshotInterval = 16 * snapshotInterval
)

// Once the log is larger than 1/logBoundDivisor of the bound on the state, a
// snapshot is written at the next multiple of largeLogInterval, whatever the
// number of entries.
const (
	logBoundDivisor  = 2
	largeLogInterval = 8
)

// learnAsync starts to extend the applied state to an index that is known to
// be chosen. If another goroutine holds applyLock, the next heartbeat brings
// the rest.
func (s *Store) learnAsync(index uint64, digest []byte, from string) {
	s.mu.Lock()
	behind := s.appliedIndex < index && s.leadership == nil
	s.mu.Unlock()
	if !behind || !s.applyLock.TryLock() {
		return
	}
	started := s.tasks.Go("learn", func(ctx context.Context) {
		defer s.applyLock.Unlock()
		s.learnUpTo(ctx, index, digest, from)
	})
	if !started {
		s.applyLock.Unlock()
	}
}

// learnUpTo applies this store's own entries if their chain of digests proves
// them chosen, and fetches them otherwise; applyLock is held.
func (s *Store) learnUpTo(ctx context.Context, index uint64, digest []byte, from string) {
	if chain := s.acceptor.Chain(s.appliedIndex, s.appliedDigest, index, digest); chain != nil {
		for i := range chain {
			if !s.applyChosen(&chain[i]) {
				return
			}
		}
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.Settings.ConfigBound)
	defer cancel()
	_ = s.fetchMissing(ctx, from, index)
}

// applyChosen applies one chosen entry. An entry that this program cannot read
// stops the replica's state at the one before, which readiness then shows.
func (s *Store) applyChosen(entry *paxos.Entry) bool {
	if _, err := s.apply(entry); err != nil {
		s.env.Log.Emit(event.ForeignData, "slot", entry.Index, "why", err.Error())
		return false
	}
	s.snapshotIfDue()
	return true
}

// fetchMissing fetches chosen entries from a peer; applyLock is held.
func (s *Store) fetchMissing(ctx context.Context, from string, to uint64) error {
	for first := true; ; first = false {
		s.mu.Lock()
		request := fetchRequest{After: s.appliedIndex, PreviousDigest: s.appliedDigest, AcceptsChunks: true}
		isEmpty := s.state == nil
		s.mu.Unlock()
		if isEmpty {
			request.PreviousDigest = nil
		}
		response, err := transport.Call[fetchResponse](ctx, s.node, from, "store.fetch", request)
		if err != nil {
			return err
		}
		if response.Snapshot != nil {
			if err := s.installSnapshot(*response.Snapshot, event.Refilled); err != nil {
				return err
			}
		}
		if response.Header != nil {
			if err := s.fetchSnapshot(s.tasks.Context(), from, *response.Header); err != nil {
				return err
			}
		}
		if err := s.learnEntries(response.Entries); err != nil {
			return err
		}
		if count := len(response.Entries); count > 0 {
			s.env.Log.Emit(event.EntriesFetched, "from", from, "versions", count, "slot", s.appliedIndex)
		}
		if s.appliedIndex >= response.Applied || s.appliedIndex >= to && to > 0 || (len(response.Entries) == 0 && !first) {
			return nil
		}
	}
}

// learnEntries stores and applies chosen entries that follow the applied
// state; applyLock is held.
func (s *Store) learnEntries(entries []paxos.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	if entries[0].Index != s.appliedIndex+1 || !bytes.Equal(entries[0].Previous, s.appliedDigest) || !isChain(entries) {
		return fault.New(fault.Stale, "the peer's entry %d does not follow the applied one", entries[0].Index)
	}
	for batch := range slices.Chunk(entries, learnBatchSize) {
		if err := s.writeDurably(func() error { return s.acceptor.Learn(batch...) }); err != nil {
			return err
		}
		for i := range batch {
			if !s.applyChosen(&batch[i]) {
				return fault.New(fault.Input, "entry %d can't be applied", batch[i].Index)
			}
		}
	}
	return nil
}

// learnBatchSize is how many entries are stored with one sync of the folder:
// few enough that a healthy disk is not taken for a slow one.
const learnBatchSize = 16

// onFetch returns what is applied here: entries while they are kept, a
// snapshot otherwise.
func (s *Store) onFetch(_ context.Context, _ transport.Hello, request fetchRequest) (fetchResponse, error) {
	s.mu.Lock()
	if s.state == nil {
		s.mu.Unlock()
		return fetchResponse{}, fault.New(fault.Refused, "empty")
	}
	response := fetchResponse{Applied: s.appliedIndex}
	upToDate := request.PreviousDigest != nil && request.After >= s.appliedIndex
	if !upToDate {
		response.Entries = s.entriesAfter(request)
	}
	large := s.maxStateSize() > snapshotChunk
	s.mu.Unlock()
	if upToDate || len(response.Entries) > 0 {
		return response, nil
	}
	after := request.After
	if request.PreviousDigest == nil {
		after = 0
	}
	if large && request.AcceptsChunks {
		header, err := s.announceSnapshot(after)
		response.Header = header
		return response, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot, err := s.packState()
	response.Snapshot = snapshot
	return response, err
}

// The bounds on the entries in one response, in number and as
// 1/fetchFrameDivisor of a frame's bytes. At least one entry is always sent.
const (
	maxFetchEntries   = 128
	fetchFrameDivisor = 4
)

// entriesAfter returns the applied entries that follow the requester's state:
// none if they are not all kept, or if the requester's newest entry differs
// from the one here. mu is held.
func (s *Store) entriesAfter(request fetchRequest) (entries []paxos.Entry) {
	if request.PreviousDigest == nil || !s.acceptor.HoldsAfter(request.After) {
		return nil
	}
	size := 0
	for _, e := range s.acceptor.EntriesAfter(request.After, min(maxFetchEntries, int(s.appliedIndex-request.After))) {
		size += len(e.Batch)
		if e.Index > s.appliedIndex || len(entries) > 0 && size > s.Settings.MaxFrameBytes/fetchFrameDivisor {
			break
		}
		entries = append(entries, e)
	}
	if len(entries) == 0 || entries[0].Index != request.After+1 || !bytes.Equal(entries[0].Previous, request.PreviousDigest) || !isChain(entries) {
		return nil
	}
	return entries
}

// isChain reports whether each entry follows the one before by index and
// digest.
func isChain(entries []paxos.Entry) bool {
	for i := 1; i < len(entries); i++ {
		if entries[i].Index != entries[i-1].Index+1 || !bytes.Equal(entries[i].Previous, entries[i-1].Digest()) {
			return false
		}
	}
	return true
}

// snapshotOf returns the snapshot with the packed applied state; mu is held.
func (s *Store) snapshotOf(encoded []byte) paxos.Snapshot {
	return paxos.Snapshot{Index: s.appliedIndex, Digest: s.appliedDigest, State: encoded}
}
