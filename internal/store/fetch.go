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

// How many entries lie between two checkpoints at the least, and how many older
// ones are kept for slow members. Checkpoints are taken at slots that are
// multiples of span, so that those of different members are equal byte for byte.
const (
	checkpointSpan = 256
	keptEntries    = 256
)

// checkpointBytes is how many bytes of entries lie between two checkpoints of a
// large state at the least, as a part of its size, and spanMost how many entries
// at the most: writing a checkpoint costs its whole size.
const (
	checkpointBytes = 2
	spanMost        = 16 * checkpointSpan
)

// logPart is the part of the bound on the state that the log may have before a
// checkpoint is written at a multiple of spanOfLarge, whatever its count.
const (
	logPart     = 2
	spanOfLarge = 8
)

// learnSoon extends the applied state to a slot that is known to be chosen.
// One learner at a time is enough; the next beat brings the rest.
func (s *Store) learnSoon(slot uint64, sum []byte, from string) {
	s.mu.Lock()
	behind := s.slot < slot && s.leadership == nil
	s.mu.Unlock()
	if !behind || !s.applying.TryLock() {
		return
	}
	ok := s.g.Go("learn", func(ctx context.Context) {
		defer s.applying.Unlock()
		s.learnTo(ctx, slot, sum, from)
	})
	if !ok {
		s.applying.Unlock()
	}
}

// learnTo applies the own entries if they are proved chosen by their chain,
// and fetches them otherwise; learn is held.
func (s *Store) learnTo(ctx context.Context, slot uint64, sum []byte, from string) {
	if chain := s.acc.Chain(s.slot, s.sum, slot, sum); chain != nil {
		for i := range chain {
			if !s.applyChosen(&chain[i]) {
				return
			}
		}
		return
	}
	ctx, end := context.WithTimeout(ctx, s.Settings.ConfigBound)
	defer end()
	_ = s.fetchMissing(ctx, from, slot)
}

// applyChosen applies one chosen version; a version that this program can't read
// stops the replica's state where it is, which readiness then shows.
func (s *Store) applyChosen(e *paxos.Entry) bool {
	if _, err := s.apply(e); err != nil {
		s.e.Log.Emit(event.ForeignData, "slot", e.Index, "why", err.Error())
		return false
	}
	s.checkpoint()
	return true
}

// fetchMissing fetches chosen entries from a peer; learn is held.
func (s *Store) fetchMissing(ctx context.Context, from string, to uint64) error {
	for first := true; ; first = false {
		s.mu.Lock()
		ask := fetchRequest{After: s.slot, Prev: s.sum, Chunks: true}
		none := s.state == nil
		s.mu.Unlock()
		if none {
			ask.Prev = nil
		}
		got, err := transport.Call[fetchResponse](ctx, s.n, from, "store.fetch", ask)
		if err != nil {
			return err
		}
		if got.Point != nil {
			if err := s.install(*got.Point, event.Refilled); err != nil {
				return err
			}
		}
		if got.Head != nil {
			if err := s.fetchSnapshot(s.g.Context(), from, *got.Head); err != nil {
				return err
			}
		}
		if err := s.learnAll(got.Entries); err != nil {
			return err
		}
		if n := len(got.Entries); n > 0 {
			s.e.Log.Emit(event.EntriesFetched, "from", from, "versions", n, "slot", s.slot)
		}
		if s.slot >= got.Top || s.slot >= to && to > 0 || (len(got.Entries) == 0 && !first) {
			return nil
		}
	}
}

// learnAll keeps and applies chosen entries that follow what is applied; learn is held.
func (s *Store) learnAll(all []paxos.Entry) error {
	if len(all) == 0 {
		return nil
	}
	if all[0].Index != s.slot+1 || !bytes.Equal(all[0].Previous, s.sum) || !rowed(all) {
		return fault.New(fault.Stale, "fellow's version %d does not follow ours", all[0].Index)
	}
	for part := range slices.Chunk(all, learnedAtOnce) {
		if err := s.writeDurably(func() error { return s.acc.Learn(part...) }); err != nil {
			return err
		}
		for i := range part {
			if !s.applyChosen(&part[i]) {
				return fault.New(fault.Input, "version %d can't be applied", part[i].Index)
			}
		}
	}
	return nil
}

// learnedAtOnce is how many entries are kept with one sync of the folder: few enough
// that a disk that is well is not taken for a slow one.
const learnedAtOnce = 16

// onFetch hands out what is applied here: entries while they are kept, a
// snapshot otherwise.
func (s *Store) onFetch(_ context.Context, _ transport.Hello, in fetchRequest) (fetchResponse, error) {
	s.mu.Lock()
	if s.state == nil {
		s.mu.Unlock()
		return fetchResponse{}, fault.New(fault.Refused, "empty")
	}
	got := fetchResponse{Top: s.slot}
	known := in.Prev != nil && in.After >= s.slot
	if !known {
		got.Entries = s.entriesAfter(in)
	}
	large := s.upperSize() > snapshotChunk
	s.mu.Unlock()
	if known || len(got.Entries) > 0 {
		return got, nil
	}
	after := in.After
	if in.Prev == nil {
		after = 0
	}
	if large && in.Chunks {
		head, err := s.announce(after)
		got.Head = head
		return got, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	point, err := s.packState()
	got.Point = point
	return got, err
}

// The bounds on the entries that one answer brings, in count and as a part of a
// frame. One is always sent.
const (
	fetchEntries   = 128
	fetchFrameRate = 4
)

// entriesAfter gives the applied entries that follow what the asker has, none if
// they are not all kept, or the asker's newest is not ours. mu is held.
func (s *Store) entriesAfter(in fetchRequest) (out []paxos.Entry) {
	if in.Prev == nil || !s.acc.HoldsAfter(in.After) {
		return nil
	}
	size := 0
	for _, e := range s.acc.EntriesAfter(in.After, min(fetchEntries, int(s.slot-in.After))) {
		size += len(e.Batch)
		if e.Index > s.slot || len(out) > 0 && size > s.Settings.MaxFrameBytes/fetchFrameRate {
			break
		}
		out = append(out, e)
	}
	if len(out) == 0 || out[0].Index != in.After+1 || !bytes.Equal(out[0].Previous, in.Prev) || !rowed(out) {
		return nil
	}
	return out
}

// rowed tells whether each entry follows the one before.
func rowed(row []paxos.Entry) bool {
	for i := 1; i < len(row); i++ {
		if row[i].Index != row[i-1].Index+1 || !bytes.Equal(row[i].Previous, row[i-1].Digest()) {
			return false
		}
	}
	return true
}

// checkpointOf is the checkpoint of what is applied; mu is held.
func (s *Store) checkpointOf(raw []byte) paxos.Snapshot {
	return paxos.Snapshot{Index: s.slot, Digest: s.sum, State: raw}
}
