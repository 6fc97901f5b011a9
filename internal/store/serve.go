package store

import (
	"context"
	"time"

	"puffincrank/internal/fault"
	"puffincrank/internal/statemachine"
	"puffincrank/internal/transport"
)

// currentLeadership gives the term that stands here, or where the leader is.
func (s *Store) currentLeadership() (*leadership, LeaderResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := LeaderResponse{LeaderAddr: s.leaderAddress}
	if s.state != nil {
		g.Members = s.state.Members
	}
	return s.leadership, g
}

// onOffer takes a command from a registry.
func (s *Store) onOffer(ctx context.Context, _ transport.Hello, in ProposeRequest) (LeaderResponse, error) {
	t, g := s.currentLeadership()
	if t == nil {
		return g, nil
	}
	// A command that can't be read must not reach the log.
	cmd, err := in.Command.Unpack()
	if err != nil {
		return g, fault.Wrap(fault.Refused, err, "offer")
	}
	o := &proposal{cmd: in.Command, in: cmd, once: in.Request, result: make(chan outcome, 1)}
	if end, ok := ctx.Deadline(); ok {
		o.latest = end.Add(-time.Duration(in.ProposalMarginMS) * time.Millisecond)
	}
	// What is read right after a freeze may be as old as the freeze.
	if in.ProposalMarginMS > 0 && s.justResumed() {
		return g, fault.New(fault.Refused, "frozen until just now")
	}
	r, err := t.submit(ctx, o)
	if err != nil {
		return g, err
	}
	g.Done, g.Result = true, r
	return g, nil
}

// justResumed tells that this process was frozen until just now.
func (s *Store) justResumed() bool {
	return time.Since(s.pulse.LastPauseEnd()) < s.Settings.HeartbeatInterval()
}

// onRead answers a confirmed read: a majority is asked after it arrived.
func (s *Store) onRead(ctx context.Context, _ transport.Hello, in ReadRequest) (LeaderResponse, error) {
	t, g := s.currentLeadership()
	if t == nil {
		return g, nil
	}
	if in.Kind == "config" && in.WaitMS > 0 {
		t.await(ctx, in.From, time.Duration(in.WaitMS)*time.Millisecond)
	}
	if err := t.confirmLeadership(ctx); err != nil {
		return g, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g.Done, g.Result = true, s.stepped(in, s.state.Read(in.Kind, in.Name, in.From))
	g.Members = s.state.Members
	return g, nil
}

// await holds a poll until an entry above from stands or the wait is over.
func (t *leadership) await(ctx context.Context, from uint64, wait time.Duration) {
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		t.s.mu.Lock()
		turn, now := t.s.applied, t.s.state.Config().Version
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
func (s *Store) onWatch(ctx context.Context, _ transport.Hello, in ReadRequest) (LeaderResponse, error) {
	end := time.NewTimer(time.Duration(in.WaitMS) * time.Millisecond)
	defer end.Stop()
	for {
		s.mu.Lock()
		if s.state == nil {
			s.mu.Unlock()
			return LeaderResponse{}, fault.New(fault.Refused, "empty")
		}
		got, ok := s.state.ChangesFrom(in.Name, in.From, 256)
		turn, rev, oldest := s.applied, s.state.Revision, s.state.OldestRevision
		s.mu.Unlock()
		if !ok {
			return LeaderResponse{Done: true, Result: statemachine.Result{Code: statemachine.Compacted, Revision: oldest}}, nil
		}
		if len(got) > 0 {
			return LeaderResponse{Done: true, Result: statemachine.Result{Code: statemachine.OK, Changes: got, Revision: rev}}, nil
		}
		select {
		case <-turn:
		case <-end.C:
			return LeaderResponse{Done: true, Result: statemachine.Result{Code: statemachine.OK, Revision: rev}}, nil
		case <-ctx.Done():
			return LeaderResponse{}, fault.New(fault.Refused, "no time left")
		}
	}
}
