package store

import (
	"context"
	"time"

	"puffincrank/internal/fault"
	"puffincrank/internal/statemachine"
	"puffincrank/internal/transport"
)

// currentLeadership returns the current term of this store, or the leader's
// address.
func (s *Store) currentLeadership() (*leadership, LeaderResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	response := LeaderResponse{LeaderAddr: s.leaderAddress}
	if s.state != nil {
		response.Members = s.state.Members
	}
	return s.leadership, response
}

// onPropose handles a registry's request to propose a command.
func (s *Store) onPropose(ctx context.Context, _ transport.Hello, request ProposeRequest) (LeaderResponse, error) {
	term, response := s.currentLeadership()
	if term == nil {
		return response, nil
	}
	// A command that cannot be unpacked must not reach the log.
	command, err := request.Command.Unpack()
	if err != nil {
		return response, fault.Wrap(fault.Refused, err, "offer")
	}
	queued := &proposal{packed: request.Command, command: command, requestKey: request.Request, result: make(chan outcome, 1)}
	if deadline, ok := ctx.Deadline(); ok {
		queued.notAfter = deadline.Add(-time.Duration(request.ProposalMarginMS) * time.Millisecond)
	}
	// A request that is read right after a pause may be as old as the pause.
	if request.ProposalMarginMS > 0 && s.justResumed() {
		return response, fault.New(fault.Refused, "frozen until just now")
	}
	result, err := term.submit(ctx, queued)
	if err != nil {
		return response, err
	}
	response.Done, response.Result = true, result
	return response, nil
}

// justResumed reports whether a pause of this process ended within the last
// heartbeat interval.
func (s *Store) justResumed() bool {
	return time.Since(s.pauseDetector.LastPauseEnd()) < s.Settings.HeartbeatInterval()
}

// onRead handles a linearizable read: a majority confirms the leader after the
// read arrived.
func (s *Store) onRead(ctx context.Context, _ transport.Hello, request ReadRequest) (LeaderResponse, error) {
	term, response := s.currentLeadership()
	if term == nil {
		return response, nil
	}
	if request.Kind == "config" && request.WaitMS > 0 {
		term.awaitConfig(ctx, request.From, time.Duration(request.WaitMS)*time.Millisecond)
	}
	if err := term.confirmLeadership(ctx); err != nil {
		return response, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	response.Done, response.Result = true, s.withPatch(request, s.state.Read(request.Kind, request.Name, request.From))
	response.Members = s.state.Members
	return response, nil
}

// awaitConfig waits until the configuration's version is above from, the wait
// is over or the term ends.
func (t *leadership) awaitConfig(ctx context.Context, from uint64, wait time.Duration) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		t.store.mu.Lock()
		signal, version := t.store.appliedSignal, t.store.state.Config().Version
		t.store.mu.Unlock()
		if version > from {
			return
		}
		select {
		case <-signal:
		case <-timeout.C:
			return
		case <-ctx.Done():
			return
		case <-t.tasks.Context().Done():
			return
		}
	}
}

// onWatch returns the changes of keys with a prefix from a revision on, and
// waits for some if there are none. Any store may answer, since it only
// returns what is chosen.
func (s *Store) onWatch(ctx context.Context, _ transport.Hello, request ReadRequest) (LeaderResponse, error) {
	timeout := time.NewTimer(time.Duration(request.WaitMS) * time.Millisecond)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		if s.state == nil {
			s.mu.Unlock()
			return LeaderResponse{}, fault.New(fault.Refused, "empty")
		}
		changes, ok := s.state.ChangesFrom(request.Name, request.From, 256)
		signal, revision, oldest := s.appliedSignal, s.state.Revision, s.state.OldestRevision
		s.mu.Unlock()
		if !ok {
			return LeaderResponse{Done: true, Result: statemachine.Result{Code: statemachine.Compacted, Revision: oldest}}, nil
		}
		if len(changes) > 0 {
			return LeaderResponse{Done: true, Result: statemachine.Result{Code: statemachine.OK, Changes: changes, Revision: revision}}, nil
		}
		select {
		case <-signal:
		case <-timeout.C:
			return LeaderResponse{Done: true, Result: statemachine.Result{Code: statemachine.OK, Revision: revision}}, nil
		case <-ctx.Done():
			return LeaderResponse{}, fault.New(fault.Refused, "no time left")
		}
	}
}
