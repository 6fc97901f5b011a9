package store

import (
	"context"
	"time"

	"puffincrank/internal/fault"
	"puffincrank/internal/ledger"
	"puffincrank/internal/wire"
)

// standing gives the term that stands here, or where the writer is.
func (s *Store) standing() (*term, Given) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := Given{Head: s.head}
	if s.led != nil {
		g.Members = s.led.Members
	}
	return s.term, g
}

// onOffer takes a command from a registry.
func (s *Store) onOffer(ctx context.Context, _ wire.Hello, in Offer) (Given, error) {
	t, g := s.standing()
	if t == nil {
		return g, nil
	}
	// A command that can't be read must not reach the log.
	cmd, err := in.Cmd.Open()
	if err != nil {
		return g, fault.Wrap(fault.Refused, err, "offer")
	}
	o := &offer{cmd: in.Cmd, in: cmd, once: in.Once, back: make(chan done, 1)}
	if end, ok := ctx.Deadline(); ok {
		o.by = end.Add(-time.Duration(in.Rest) * time.Millisecond)
	}
	// What is read right after a freeze may be as old as the freeze.
	if in.Rest > 0 && s.dazed() {
		return g, fault.New(fault.Refused, "frozen until just now")
	}
	r, err := t.put(ctx, o)
	if err != nil {
		return g, err
	}
	g.Done, g.Receipt = true, r
	return g, nil
}

// dazed tells that this process was frozen until just now.
func (s *Store) dazed() bool { return time.Since(s.pulse.Woke()) < s.P.Beat() }

// onRead answers a confirmed read: a majority is asked after it arrived.
func (s *Store) onRead(ctx context.Context, _ wire.Hello, in Query) (Given, error) {
	t, g := s.standing()
	if t == nil {
		return g, nil
	}
	if in.What == "config" && in.Wait > 0 {
		t.await(ctx, in.From, time.Duration(in.Wait)*time.Millisecond)
	}
	if err := t.sure(ctx); err != nil {
		return g, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g.Done, g.Receipt = true, s.stepped(in, s.led.Read(in.What, in.Name, in.From))
	g.Members = s.led.Members
	return g, nil
}

// await holds a poll until a version above from stands or the wait is over.
func (t *term) await(ctx context.Context, from uint64, wait time.Duration) {
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		t.s.mu.Lock()
		turn, now := t.s.turn, t.s.led.Config().Version
		t.s.mu.Unlock()
		if now > from {
			return
		}
		select {
		case <-turn:
		case <-end.C:
			return
		case <-ctx.Done():
			return
		case <-t.g.Context().Done():
			return
		}
	}
}

// onWatch gives the changes of a prefix from a revision on, and waits for
// some if there are none. Any store may answer: it only tells what is chosen.
func (s *Store) onWatch(ctx context.Context, _ wire.Hello, in Query) (Given, error) {
	end := time.NewTimer(time.Duration(in.Wait) * time.Millisecond)
	defer end.Stop()
	for {
		s.mu.Lock()
		if s.led == nil {
			s.mu.Unlock()
			return Given{}, fault.New(fault.Refused, "empty")
		}
		got, ok := s.led.Since(in.Name, in.From, 256)
		turn, rev, oldest := s.turn, s.led.Rev, s.led.Oldest
		s.mu.Unlock()
		if !ok {
			return Given{Done: true, Receipt: ledger.Receipt{Code: ledger.Gone, Rev: oldest}}, nil
		}
		if len(got) > 0 {
			return Given{Done: true, Receipt: ledger.Receipt{Code: ledger.OK, Changes: got, Rev: rev}}, nil
		}
		select {
		case <-turn:
		case <-end.C:
			return Given{Done: true, Receipt: ledger.Receipt{Code: ledger.OK, Rev: rev}}, nil
		case <-ctx.Done():
			return Given{}, fault.New(fault.Refused, "no time left")
		}
	}
}
