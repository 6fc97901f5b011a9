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

// status reports this store's state.
func (s *Store) status() Status {
	_, silence := s.voter.Promised()
	s.mu.Lock()
	defer s.mu.Unlock()
	status := Status{Node: s.Settings.Node, Addr: s.Settings.InternalAddr, Zone: s.Settings.Zone, Role: s.role.Current(), Index: s.appliedIndex, Leader: s.leaderAddress, Ballot: s.acceptor.Promised().String(), DiskFailing: s.diskFailing || s.diskStalled()}
	if s.state != nil {
		status.Members, status.Config = s.state.Members, s.state.Config().Version
	}
	switch {
	case s.stopping:
		status.Reason = "stopping"
	case status.Role == "spare" && time.Since(s.leaderAnsweredAt) > s.Settings.Lease():
		status.Reason = "stands by, but no writer answers"
	case s.state == nil || status.Role == "empty":
		status.Reason = "empty: waits for the founding or a place"
	case s.leadership != nil && s.memberSetLocked() != s.leadership.memberSet:
		status.Reason = "the members have changed, and none of them leads yet"
	case status.DiskFailing:
		status.Reason = "the disk refuses or is slow"
	case status.Role != "spare" && s.leadership == nil && (status.Role != "follow" || silence > s.Settings.Lease()):
		status.Reason = "no writer is heard"
	}
	status.Ready = status.Reason == ""
	return status
}

func (s *Store) onStatus(context.Context, transport.Hello, struct{}) (Status, error) {
	status := s.status()
	status.Events = s.env.Log.Since(0)
	return status, nil
}

// listen serves only the readiness endpoint: clients' calls go to the
// registry.
func (s *Store) listen() error {
	router := chi.NewRouter()
	router.Get("/puffin/ready", func(w http.ResponseWriter, _ *http.Request) {
		status := s.status()
		w.Header().Set("Content-Type", "application/json")
		if !status.Ready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		_ = json.NewEncoder(w).Encode(status)
	})
	for _, address := range []string{s.Settings.APIAddr, s.Settings.ReadyAddr} {
		if address == "" {
			continue
		}
		if err := httpapi.Serve(s.tasks, s.env, address, router, s.Settings.ConfigBound); err != nil {
			return err
		}
	}
	return nil
}

// BytesSent returns the bytes that this process sent to others, by kind of
// message; responses count with their requests.
func (s *Store) BytesSent() map[transport.Flow]transport.Traffic { return s.node.BytesSent() }
