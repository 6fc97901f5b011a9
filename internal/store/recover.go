package store

import (
	"puffincrank/internal/ballot"
	"puffincrank/internal/paxos"
	"puffincrank/internal/statemachine"
	"puffincrank/internal/trace"
)

// open takes up what the folder holds, or names a new empty replica.
func (s *Store) open() error {
	if s.acc.Identity().ID == "" {
		if err := s.acc.SetIdentity(paxos.Identity{ID: fresh()}); err != nil {
			return err
		}
	}
	s.voter = ballot.NewVoter(s.acc.Promised(), s.Settings.LeaderTimeout(), s.promise)
	s.highestRound = s.acc.Promised().Round
	point, err := s.acc.ReadSnapshot()
	if err != nil || point == nil {
		return err
	}
	if err := s.reset(*point); err != nil {
		return err
	}
	s.mu.Lock()
	s.e.Trace.Notify(trace.Opened{Replica: s.acc.Identity().ID, Index: s.slot, Digest: string(s.sum), Members: s.memberIDs()})
	s.mu.Unlock()
	// What the files alone prove to be chosen is applied at once.
	for _, e := range s.acc.ProvenChosen(s.slot, s.sum) {
		if _, err := s.apply(&e); err != nil {
			return err
		}
	}
	s.updateRole()
	// Whoever wrote last knows that nobody does since it ended.
	s.campaignNow = s.role.Is("follow") && s.acc.Promised().Candidate == s.acc.Identity().ID
	return nil
}

// reset takes a checkpoint as the applied state.
func (s *Store) reset(c paxos.Snapshot) error {
	led, err := statemachine.Load(c.State)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.state, s.slot, s.sum = led, c.Index, c.Digest
	s.measured(len(c.State))
	s.restartLeases()
	s.announceApplied()
	s.mu.Unlock()
	return nil
}

// memberIDs lists the members' identities; mu is held.
func (s *Store) memberIDs() (out []string) {
	for _, m := range s.state.Members {
		out = append(out, m.ID)
	}
	return out
}
