package store

import (
	"context"

	"github.com/vmihailenco/msgpack/v5"

	"puffincrank/internal/ballot"
	"puffincrank/internal/disk"
	"puffincrank/internal/fault"
	"puffincrank/internal/transport"
)

// roleVoter returns this store's voter for a role of the registries. The
// promise has a file of its own. A damaged file counts as no promise, since
// what the holder of a role writes is also fenced in the log.
func (s *Store) roleVoter(role string) *ballot.Voter {
	s.mu.Lock()
	defer s.mu.Unlock()
	voter := s.roleVoters[role]
	if voter == nil {
		var promised ballot.Number
		file := "d-" + role
		if encoded, err := disk.Load(s.env.FS, file); err == nil {
			_ = msgpack.Unmarshal(encoded, &promised)
		}
		voter = ballot.NewVoter(promised, s.Settings.Lease(), func(number ballot.Number) error {
			encoded, err := msgpack.Marshal(number)
			if err != nil {
				return fault.Wrap(fault.Input, err, "pack promise")
			}
			return s.writeDurably(func() error { return disk.Save(s.env.FS, file, encoded) })
		})
		s.roleVoters[role] = voter
	}
	return voter
}

func (s *Store) onRoleBallot(_ context.Context, _ transport.Hello, request RoleBallot) (RoleVote, error) {
	if request.Role != "judge" && request.Role != "steward" {
		return RoleVote{}, fault.New(fault.Refused, "no such duty")
	}
	s.mu.Lock()
	member := s.state != nil && s.isMember(s.acceptor.Identity().ID)
	stalled := s.diskStalled() && request.Op == "ask"
	s.mu.Unlock()
	if !member {
		return RoleVote{}, fault.New(fault.Refused, "not a member")
	}
	if stalled {
		return RoleVote{}, fault.New(fault.Refused, "the disk hangs")
	}
	voter := s.roleVoter(request.Role)
	switch request.Op {
	case "beat":
		granted, promised, err := voter.Heartbeat(request.Ballot)
		return RoleVote{granted, promised}, err
	case "vacate":
		voter.Vacate(request.Ballot)
		return RoleVote{Granted: true}, nil
	}
	granted, promised, err := voter.Vote(request.Ballot)
	return RoleVote{granted, promised}, err
}
