package statemachine

// ReplaceMember replaces the member Old with New. If Old is empty, New is added, as
// long as there are fewer than three members.
type ReplaceMember struct {
	Old string `msgpack:"o"`
	New Member `msgpack:"n"`
}

// Apply implements Command.
func (c *ReplaceMember) Apply(s *State) Result {
	for _, m := range s.Members {
		if m.ID == c.New.ID {
			return Result{Code: Conflict, Message: "is a member already"}
		}
	}
	if c.Old == "" && len(s.Members) < 3 {
		// This command never grows the membership beyond three, so that every version
		// of the program applies it identically. AddMember can.
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

// RemoveMember removes a member.
type RemoveMember struct {
	ID string `msgpack:"i"`
}

// Apply removes the member, unless fewer than two would remain.
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

// AddMember adds a member, up to the configured number of voters.
type AddMember struct {
	New Member `msgpack:"n"`
}

// Apply implements Command.
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

// SetVoterCount sets the target number of voting stores.
type SetVoterCount struct {
	Count int `msgpack:"c"`
}

// Apply sets the target. Surplus members remain until they are removed one at a
// time.
func (c *SetVoterCount) Apply(s *State) Result {
	if c.Count < 1 || c.Count > 9 || c.Count%2 == 0 {
		return Result{Code: Invalid, Message: "an odd number from 1 to 9 may vote"}
	}
	s.WantedMembers = c.Count
	return Result{Code: OK}
}

// VoterCount returns the target number of voting stores. It is three in a cluster
// that was founded before this number became part of the state.
func (s *State) VoterCount() int {
	if s.WantedMembers == 0 {
		return 3
	}
	return s.WantedMembers
}
