package store

import (
	"puffincrank/internal/ballot"
	"puffincrank/internal/paxos"
	"puffincrank/internal/statemachine"
	"puffincrank/internal/trace"
)

// open loads what the data folder holds, or gives an empty replica its
// identity.
func (s *Store) open() error {
	if s.acceptor.Identity().ID == "" {
		if err := s.acceptor.SetIdentity(paxos.Identity{ID: randomID()}); err != nil {
			return err
		}
	}
	s.voter = ballot.NewVoter(s.acceptor.Promised(), s.Settings.LeaderTimeout(), s.promise)
	s.highestRound = s.acceptor.Promised().Round
	snapshot, err := s.acceptor.ReadSnapshot()
	if err != nil || snapshot == nil {
		return err
	}
	if err := s.loadState(*snapshot); err != nil {
		return err
	}
	s.mu.Lock()
	s.env.Trace.Notify(trace.Opened{Replica: s.acceptor.Identity().ID, Index: s.appliedIndex, Digest: string(s.appliedDigest), Members: s.memberIDs()})
	s.mu.Unlock()
	// The entries that the files alone prove to be chosen are applied at once.
	for _, entry := range s.acceptor.ProvenChosen(s.appliedIndex, s.appliedDigest) {
		if _, err := s.apply(&entry); err != nil {
			return err
		}
	}
	s.updateRole()
	// The last leader knows that there has been no other since it stopped.
	s.campaignNow = s.role.Is("follow") && s.acceptor.Promised().Candidate == s.acceptor.Identity().ID
	return nil
}

// loadState makes a snapshot the applied state.
func (s *Store) loadState(snapshot paxos.Snapshot) error {
	state, err := statemachine.Load(snapshot.State)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.state, s.appliedIndex, s.appliedDigest = state, snapshot.Index, snapshot.Digest
	s.recordSize(len(snapshot.State))
	s.restartLeases()
	s.announceApplied()
	s.mu.Unlock()
	return nil
}

// memberIDs lists the identities of the members; mu is held.
func (s *Store) memberIDs() (ids []string) {
	for _, m := range s.state.Members {
		ids = append(ids, m.ID)
	}
	return ids
}
