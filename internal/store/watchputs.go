package store

import (
	"context"
	"time"

	"puffincrank/internal/fault"
	"puffincrank/internal/statemachine"
	"puffincrank/internal/transport"
)

// onPuts returns the puts of a group after a revision, and waits for some if
// there are none. Only the leader answers, after a majority has confirmed it:
// so the response never lags behind what was acknowledged before the request,
// and a put reaches its watchers as soon as it is applied.
func (s *Store) onPuts(ctx context.Context, _ transport.Hello, request ReadRequest) (LeaderResponse, error) {
	term, response := s.currentLeadership()
	if term == nil {
		return response, nil
	}
	if err := term.confirmLeadership(ctx); err != nil {
		return response, err
	}
	timeout := time.NewTimer(time.Duration(request.WaitMS) * time.Millisecond)
	defer timeout.Stop()
	for expired := false; ; {
		s.mu.Lock()
		changes, revision, ok := s.state.PutsAfter(request.Name, request.From)
		signal := s.appliedSignal
		s.mu.Unlock()
		response.Done = true
		switch {
		case request.From == 0:
			// Only the current revision is requested.
			response.Result = statemachine.Result{Code: statemachine.OK, Revision: revision}
			return response, nil
		case !ok:
			response.Result = statemachine.Result{Code: statemachine.Compacted, Revision: revision, Message: "the history does not reach back so far"}
			return response, nil
		case len(changes) > 0 || expired:
			response.Result = statemachine.Result{Code: statemachine.OK, Changes: changes, Revision: max(revision, request.From)}
			return response, nil
		}
		select {
		case <-signal:
		case <-timeout.C:
			expired = true
		case <-ctx.Done():
			return LeaderResponse{}, fault.New(fault.Refused, "no time left")
		case <-term.tasks.Context().Done():
			return LeaderResponse{}, fault.New(fault.Refused, "no longer the writer")
		}
	}
}
