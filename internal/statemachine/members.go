package statemachine

// ReplaceMember puts a joiner in place of a member, or beside the others when
// Old is empty and a place is free.
type ReplaceMember struct {
	Old string `msgpack:"o"`
	New Member `msgpack:"n"`
}

// Apply swaps the member.
func (c *ReplaceMember) Apply(s *State) Result {
	for _, m := range s.Members {
		if m.ID == c.New.ID {
			return Result{Code: Conflict, Message: "is a member already"}
		}
	}
	if c.Old == "" && len(s.Members) < 3 {
		// This kind never grows a core beyond three: every version of the program
		// applies it alike. AddStore does.
		s.Members = append(append([]Member(nil), s.Members...), c.New)
		return Result{Code: OK}
	}
	for i, m := range s.Members {
		if m.ID == c.Old {
			s.Members = append([]Member(nil), s.Members...)
			s.Members[i] = c.New
			return Result{Code: OK}
		}
	}
	return Result{Code: NotFound, Message: "no such member"}
}

// RemoveMember takes a member out.
type RemoveMember struct {
	ID string `msgpack:"i"`
}

// Apply takes the member out, unless too few would stay.
func (c *RemoveMember) Apply(s *State) Result {
	var remaining []Member
	for _, m := range s.Members {
		if m.ID != c.ID {
			remaining = append(remaining, m)
		}
	}
	if len(remaining) == len(s.Members) {
		return Result{Code: NotFound, Message: "no such member"}
	}
	if len(remaining) < 2 {
		return Result{Code: Conflict, Message: "the stores that stay would be without a majority"}
	}
	s.Members = remaining
	return Result{Code: OK}
}

// AddMember puts a joiner beside the others, up to the wanted number.
type AddMember struct {
	New Member `msgpack:"n"`
}

// Apply adds the member, if a place is free.
func (c *AddMember) Apply(s *State) Result {
	for _, m := range s.Members {
		if m.ID == c.New.ID {
			return Result{Code: Conflict, Message: "is a member already"}
		}
	}
	if len(s.Members) >= s.VoterCount() {
		return Result{Code: Conflict, Message: "no place is free"}
	}
	s.Members = append(append([]Member(nil), s.Members...), c.New)
	return Result{Code: OK}
}

// SetVoterCount sets how many stores shall vote.
type SetVoterCount struct {
	Count int `msgpack:"c"`
}

// Apply sets the wanted number. Members that are too many stay until they are
// taken out one by one.
func (c *SetVoterCount) Apply(s *State) Result {
	if c.Count < 1 || c.Count > 9 || c.Count%2 == 0 {
		return Result{Code: Invalid, Message: "an odd number from 1 to 9 may vote"}
	}
	s.WantedMembers = c.Count
	return Result{Code: OK}
}

// VoterCount is how many stores shall vote: three in a cluster that was founded
// before the number was agreed on.
func (s *State) VoterCount() int {
	if s.WantedMembers == 0 {
		return 3
	}
	return s.WantedMembers
}
