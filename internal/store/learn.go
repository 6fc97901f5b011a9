package store

import (
	"bytes"
	"context"

	"puffincrank/internal/event"
	"puffincrank/internal/fault"
	"puffincrank/internal/paxos"
	"puffincrank/internal/wire"
)

// The ratio of files to checkpoints: how many versions lie between two, and
// how many older ones are kept for slow fellows.
const (
	span  = 256
	older = 256
)

// learnLater extends the applied state to a slot that is known to be chosen.
// One learner at a time is enough; the next beat brings the rest.
func (s *Store) learnLater(slot uint64, sum []byte, from string) {
	s.mu.Lock()
	behind := s.slot < slot && s.term == nil
	s.mu.Unlock()
	if !behind || !s.learn.TryLock() {
		return
	}
	ok := s.g.Go("learn", func(ctx context.Context) {
		defer s.learn.Unlock()
		s.learnTo(ctx, slot, sum, from)
	})
	if !ok {
		s.learn.Unlock()
	}
}

// learnTo applies the own versions if they are proved chosen by their chain,
// and fetches them otherwise; learn is held.
func (s *Store) learnTo(ctx context.Context, slot uint64, sum []byte, from string) {
	if chain := s.acc.Chain(s.slot, s.sum, slot, sum); chain != nil {
		for i := range chain {
			if !s.take(&chain[i]) {
				return
			}
		}
		s.checkpoint()
		return
	}
	ctx, end := context.WithTimeout(ctx, s.P.Change)
	defer end()
	_ = s.catchUp(ctx, from, slot)
}

// take applies one chosen version; a version that this program can't read
// stops the replica's state where it is, which readiness then shows.
func (s *Store) take(e *paxos.Entry) bool {
	if _, err := s.apply(e); err != nil {
		s.e.Log.Emit(event.Foreign, "slot", e.Slot, "why", err.Error())
		return false
	}
	return true
}

// catchUp fetches chosen versions from a fellow; learn is held.
func (s *Store) catchUp(ctx context.Context, from string, to uint64) error {
	for first := true; ; first = false {
		s.mu.Lock()
		ask := fetchAsk{After: s.slot, Prev: s.sum}
		none := s.led == nil
		s.mu.Unlock()
		if none {
			ask.Prev = nil
		}
		got, err := wire.Ask[fetchGot](ctx, s.n, from, "store.fetch", ask)
		if err != nil {
			return err
		}
		if got.Point != nil {
			if err := s.install(*got.Point, event.Refilled); err != nil {
				return err
			}
		}
		for i := range got.Entries {
			e := &got.Entries[i]
			if e.Slot != s.slot+1 || !bytes.Equal(e.Prev, s.sum) {
				return fault.New(fault.Stale, "fellow's version %d does not follow ours", e.Slot)
			}
			if err := s.keep(func() error { return s.acc.Learn(*e) }); err != nil {
				return err
			}
			if !s.take(e) {
				return fault.New(fault.Input, "version %d can't be applied", e.Slot)
			}
		}
		if n := len(got.Entries); n > 0 {
			s.e.Log.Emit(event.Mended, "from", from, "versions", n, "slot", s.slot)
		}
		s.checkpoint()
		if s.slot >= got.Top || s.slot >= to && to > 0 || (len(got.Entries) == 0 && !first) {
			return nil
		}
	}
}

// onFetch hands out what is applied here: versions while they are kept, a
// checkpoint otherwise.
func (s *Store) onFetch(_ context.Context, _ wire.Hello, in fetchAsk) (fetchGot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.led == nil {
		return fetchGot{}, fault.New(fault.Refused, "empty")
	}
	got := fetchGot{Top: s.slot}
	if in.Prev != nil && in.After >= s.slot {
		return got, nil
	}
	if in.Prev != nil && s.acc.Whole(in.After) {
		size := 0
		for _, e := range s.acc.After(in.After, int(s.slot-in.After)) {
			size += len(e.Batch)
			if e.Slot > s.slot || size > s.P.Frame/4 || len(got.Entries) >= 128 {
				break
			}
			got.Entries = append(got.Entries, e)
		}
		// A row with a hole, or that doesn't follow the asker's, is no use.
		if len(got.Entries) > 0 && got.Entries[0].Slot == in.After+1 && bytes.Equal(got.Entries[0].Prev, in.Prev) && rowed(got.Entries) {
			return got, nil
		}
		got.Entries = nil
	}
	raw, err := s.led.Pack()
	if err != nil {
		return got, err
	}
	got.Point = &paxos.Checkpoint{Slot: s.slot, Sum: s.sum, State: raw}
	return got, nil
}

// rowed tells whether each version follows the one before.
func rowed(row []paxos.Entry) bool {
	for i := 1; i < len(row); i++ {
		if row[i].Slot != row[i-1].Slot+1 || !bytes.Equal(row[i].Prev, row[i-1].Sum()) {
			return false
		}
	}
	return true
}

// pointOf is the checkpoint of what is applied; mu is held.
func (s *Store) pointOf(raw []byte) paxos.Checkpoint {
	return paxos.Checkpoint{Slot: s.slot, Sum: s.sum, State: raw}
}
