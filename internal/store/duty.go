package store

import (
	"context"

	"github.com/vmihailenco/msgpack/v5"

	"puffincrank/internal/ballot"
	"puffincrank/internal/disk"
	"puffincrank/internal/fault"
	"puffincrank/internal/transport"
)

// dutyVoter gives this store's vote for a duty of the registries. The promise is
// a file of its own; a damaged one counts as none, since what a holder writes
// is fenced in the log besides.
func (s *Store) dutyVoter(duty string) *ballot.Voter {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.duty[duty]
	if v == nil {
		var vow ballot.Number
		file := "d-" + duty
		if raw, err := disk.Load(s.e.FS, file); err == nil {
			_ = msgpack.Unmarshal(raw, &vow)
		}
		v = ballot.NewVoter(vow, s.Settings.Lease(), func(n ballot.Number) error {
			raw, err := msgpack.Marshal(n)
			if err != nil {
				return fault.Wrap(fault.Input, err, "pack promise")
			}
			return s.writeDurably(func() error { return disk.Save(s.e.FS, file, raw) })
		})
		s.duty[duty] = v
	}
	return v
}

func (s *Store) onDuty(_ context.Context, _ transport.Hello, in RoleBallot) (RoleVote, error) {
	if in.Role != "judge" && in.Role != "steward" {
		return RoleVote{}, fault.New(fault.Refused, "no such duty")
	}
	s.mu.Lock()
	able := s.state != nil && s.isMember(s.acc.Identity().ID)
	stuck := s.diskHangs() && in.Op == "ask"
	s.mu.Unlock()
	if !able {
		return RoleVote{}, fault.New(fault.Refused, "not a member")
	}
	if stuck {
		return RoleVote{}, fault.New(fault.Refused, "the disk hangs")
	}
	v := s.dutyVoter(in.Role)
	switch in.Op {
	case "beat":
		yes, seen, err := v.Heartbeat(in.Ballot)
		return RoleVote{yes, seen}, err
	case "vacate":
		v.Vacate(in.Ballot)
		return RoleVote{Granted: true}, nil
	}
	yes, seen, err := v.Vote(in.Ballot)
	return RoleVote{yes, seen}, err
}
