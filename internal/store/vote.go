package store

import (
	"context"
	"time"

	"puffincrank/internal/event"
	"puffincrank/internal/fault"
	"puffincrank/internal/wire"
)

func (s *Store) takers() {
	wire.On(s.n, "store.found", s.onFound)
	wire.On(s.n, "store.genesis", s.onGenesis)
	wire.On(s.n, "store.join", s.onJoin)
	wire.On(s.n, "store.ballot", s.onBallot)
	wire.On(s.n, "store.accept", s.onAccept)
	wire.On(s.n, "store.beat", s.onBeat)
	wire.On(s.n, "store.vacate", s.onVacate)
	wire.On(s.n, "store.fetch", s.onFetch)
	wire.On(s.n, "store.offer", s.onOffer)
	wire.On(s.n, "store.read", s.onRead)
	wire.On(s.n, "store.watch", s.onWatch)
	wire.On(s.n, "store.duty", s.onDuty)
	wire.On(s.n, "store.status", s.onStatus)
	wire.On(s.n, "store.remove", s.onRemove)
}

// foreign tells that a message is of a mesh that was founded apart from ours,
// though it has our mesh's name: nothing of it is heeded. mu is held.
func (s *Store) foreign(mesh string, who string) bool {
	if mesh == "" || s.led == nil || mesh == s.led.Mesh {
		return false
	}
	if time.Since(s.warned) > s.P.Return {
		s.warned = time.Now()
		s.e.Log.Emit(event.Foreign, "mesh", mesh, "own", s.led.Mesh, "from", who)
	}
	return true
}

// mending tells that a damaged version has not been mended: until then this
// replica may have forgotten what it accepted, and must not vote.
func (s *Store) mending() bool { return s.acc.Harmed() > s.slot }

func (s *Store) onBallot(_ context.Context, _ wire.Hello, in ballotAsk) (ballotVote, error) {
	s.mu.Lock()
	v := ballotVote{ID: s.acc.Me().ID, Slot: s.slot}
	able := s.led != nil && !s.role.Is("empty") && !s.mending() && !s.foreign(in.Mesh, in.ID)
	v.Out = able && !s.isMember(in.ID)
	s.mu.Unlock()
	vow, quiet := s.vote.Vow()
	v.Seen = vow
	if !able || v.Out {
		return v, nil
	}
	if !in.Real {
		// Asked before a round: a node that was cut off learns here that the
		// duty is not vacant, without raising any number.
		v.Yes = in.ID == vow.Who || quiet >= s.P.Lease()
		return v, nil
	}
	yes, seen, err := s.vote.Ask(in.Num)
	if err != nil {
		s.sick(err)
		return v, nil
	}
	v.Yes, v.Seen = yes, seen
	if yes {
		s.e.Log.Emit(event.Promised, "ballot", in.Num.String())
		if in.ID != s.acc.Me().ID {
			s.depose("another was promised a higher ballot")
		}
		// What both have applied needs no word; the rest is few, since a slot is
		// proposed only when the one before it is chosen.
		v.Entries = s.acc.After(max(v.Slot, in.Slot), 256)
	}
	return v, nil
}

func (s *Store) onAccept(ctx context.Context, _ wire.Hello, in acceptAsk) (ack, error) {
	s.mu.Lock()
	a := ack{ID: s.acc.Me().ID, Slot: s.slot, Ill: s.ill}
	able := s.led != nil && !s.role.Is("empty") && in.Entry.Slot > s.slot && !s.foreign(in.Mesh, in.Addr)
	s.mu.Unlock()
	if !able {
		return a, nil
	}
	vow, _ := s.vote.Vow()
	if in.Entry.Num.Less(vow) {
		a.Seen = vow
		return a, nil
	}
	if err := s.keep(func() error { return s.acc.Accept(in.Entry) }); err != nil {
		a.Seen, _ = s.vote.Vow()
		return a, nil
	}
	s.vote.Rise(in.Entry.Num)
	if in.Entry.Num.Who != s.acc.Me().ID {
		s.hear(in.Addr)
	}
	a.Yes = true
	s.learnLater(in.Slot, in.Sum, in.Addr)
	return a, nil
}

// hear notes who writes.
func (s *Store) hear(addr string) {
	s.mu.Lock()
	s.head = addr
	s.mu.Unlock()
}

func (s *Store) onBeat(_ context.Context, _ wire.Hello, in beatAsk) (ack, error) {
	s.mu.Lock()
	a := ack{ID: s.acc.Me().ID, Slot: s.slot, Ill: s.ill}
	able := s.led != nil && !s.role.Is("empty") && !s.foreign(in.Mesh, in.Addr)
	s.mu.Unlock()
	if !able {
		return a, nil
	}
	yes, seen, err := s.vote.Beat(in.Num)
	if err != nil {
		s.sick(err)
		return a, nil
	}
	a.Yes, a.Seen = yes, seen
	if yes {
		if in.Num.Who != s.acc.Me().ID {
			s.depose("another writes")
			s.hear(in.Addr)
		}
		s.learnLater(in.Slot, in.Sum, in.Addr)
	}
	return a, nil
}

func (s *Store) onVacate(_ context.Context, _ wire.Hello, in vacateAsk) (ack, error) {
	s.vote.Vacate(in.Num)
	return ack{Yes: true}, nil
}

// keep runs a write to disk, times it and notes whether the disk is well.
func (s *Store) keep(f func() error) error {
	from := time.Now()
	err := f()
	took := time.Since(from)
	if err != nil && fault.Is(err, fault.Stale) {
		return err
	}
	if err != nil {
		s.sick(err)
		return err
	}
	slow := took > s.P.SlowSync()
	s.mu.Lock()
	was := s.ill
	s.ill = slow
	if slow {
		s.tired = time.Now().Add(s.P.Return / 3)
	}
	s.mu.Unlock()
	if slow && !was {
		s.e.Log.Emit(event.DiskBad, "sync_ms", took.Milliseconds())
	}
	if was && !slow {
		s.e.Log.Emit(event.DiskWell, "sync_ms", took.Milliseconds())
	}
	return nil
}

// sick notes a disk that refused: nothing of it is acknowledged.
func (s *Store) sick(err error) {
	s.mu.Lock()
	was := s.ill
	s.ill = true
	s.tired = time.Now().Add(s.P.Return / 3)
	s.mu.Unlock()
	if !was {
		s.e.Log.Emit(event.DiskBad, "why", err.Error())
	}
}
