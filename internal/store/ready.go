package store

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"puffincrank/internal/httpapi"
	"puffincrank/internal/transport"
)

// status tells how this store stands.
func (s *Store) status() Status {
	_, quiet := s.voter.Promised()
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Status{Node: s.Settings.Node, Addr: s.Settings.InternalAddr, Zone: s.Settings.Zone, Role: s.role.Current(), Index: s.slot, Leader: s.leaderAddress, Ballot: s.acc.Promised().String(), DiskFailing: s.diskIll || s.diskHangs()}
	if s.state != nil {
		out.Members, out.Config = s.state.Members, s.state.Config().Version
	}
	switch {
	case s.stopping:
		out.Reason = "stopping"
	case out.Role == "spare" && time.Since(s.lastJoined) > s.Settings.Lease():
		out.Reason = "stands by, but no writer answers"
	case s.state == nil || out.Role == "empty":
		out.Reason = "empty: waits for the founding or a place"
	case s.leadership != nil && s.memberNames() != s.leadership.memberSet:
		out.Reason = "the members have changed, and none of them leads yet"
	case out.DiskFailing:
		out.Reason = "the disk refuses or is slow"
	case out.Role != "spare" && s.leadership == nil && (out.Role != "follow" || quiet > s.Settings.Lease()):
		out.Reason = "no writer is heard"
	}
	out.Ready = out.Reason == ""
	return out
}

func (s *Store) onStatus(context.Context, transport.Hello, struct{}) (Status, error) {
	st := s.status()
	st.Events = s.e.Log.Since(0)
	return st, nil
}

// listen serves readiness only: outside calls go to the registry.
func (s *Store) listen() error {
	r := chi.NewRouter()
	r.Get("/puffin/ready", func(w http.ResponseWriter, _ *http.Request) {
		st := s.status()
		w.Header().Set("Content-Type", "application/json")
		if !st.Ready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		_ = json.NewEncoder(w).Encode(st)
	})
	for _, at := range []string{s.Settings.APIAddr, s.Settings.ReadyAddr} {
		if at == "" {
			continue
		}
		if err := httpapi.Serve(s.g, s.e, at, r, s.Settings.ConfigBound); err != nil {
			return err
		}
	}
	return nil
}

// BytesSent gives the bytes that this process sent to others, by kind of message;
// receipts count with what they answer.
func (s *Store) BytesSent() map[transport.Flow]transport.Traffic { return s.n.BytesSent() }
