package store

import (
	"context"
	"time"

	"puffincrank/internal/fault"
	"puffincrank/internal/statemachine"
	"puffincrank/internal/transport"
)

// onPuts gives the puts of a group above a revision, and waits for some if
// there are none. Only the leader answers, after a majority confirmed it: so
// the answer never lags behind what was acknowledged before it was asked for,
// and a put reaches its watchers at the moment in which it is applied.
func (s *Store) onPuts(ctx context.Context, _ transport.Hello, in ReadRequest) (LeaderResponse, error) {
	t, g := s.currentLeadership()
	if t == nil {
		return g, nil
	}
	if err := t.confirmLeadership(ctx); err != nil {
		return g, err
	}
	end := time.NewTimer(time.Duration(in.WaitMS) * time.Millisecond)
	defer end.Stop()
	for last := false; ; {
		s.mu.Lock()
		got, rev, ok := s.state.PutsAfter(in.Name, in.From)
		turn := s.applied
		s.mu.Unlock()
		g.Done = true
		switch {
		case in.From == 0:
			// Only the present revision is asked for.
			g.Result = statemachine.Result{Code: statemachine.OK, Revision: rev}
			return g, nil
		case !ok:
			g.Result = statemachine.Result{Code: statemachine.Compacted, Revision: rev, Message: "the history does not reach back so far"}
			return g, nil
		case len(got) > 0 || last:
			g.Result = statemachine.Result{Code: statemachine.OK, Changes: got, Revision: max(rev, in.From)}
			return g, nil
		}
		select {
		case <-turn:
		case <-end.C:
			last = true
		case <-ctx.Done():
			return LeaderResponse{}, fault.New(fault.Refused, "no time left")
		case <-t.g.Context().Done():
			return LeaderResponse{}, fault.New(fault.Refused, "no longer the writer")
		}
	}
}
