package ledger

// ReplaceStore puts a joiner in place of a member, or beside the others when
// Old is empty and a place is free.
type ReplaceStore struct {
	Old string `msgpack:"o"`
	New Member `msgpack:"n"`
}

// Apply swaps the member.
func (c *ReplaceStore) Apply(s *State) Receipt {
	for _, m := range s.Members {
		if m.ID == c.New.ID {
			return Receipt{Code: Conflict, Say: "is a member already"}
		}
	}
	if c.Old == "" && len(s.Members) < 3 {
		s.Members = append(append([]Member(nil), s.Members...), c.New)
		return Receipt{Code: OK}
	}
	for i, m := range s.Members {
		if m.ID == c.Old {
			s.Members = append([]Member(nil), s.Members...)
			s.Members[i] = c.New
			return Receipt{Code: OK}
		}
	}
	return Receipt{Code: Absent, Say: "no such member"}
}

// RemoveStore takes a member out.
type RemoveStore struct {
	ID string `msgpack:"i"`
}

// Apply takes the member out, unless too few would stay.
func (c *RemoveStore) Apply(s *State) Receipt {
	var stay []Member
	for _, m := range s.Members {
		if m.ID != c.ID {
			stay = append(stay, m)
		}
	}
	if len(stay) == len(s.Members) {
		return Receipt{Code: Absent, Say: "no such member"}
	}
	if len(stay) < 2 {
		return Receipt{Code: Conflict, Say: "the stores that stay would be without a majority"}
	}
	s.Members = stay
	return Receipt{Code: OK}
}
