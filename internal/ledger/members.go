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
		// This kind never grows a core beyond three: every version of the program
		// applies it alike. AddStore does.
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

// AddStore puts a joiner beside the others, up to the wanted number.
type AddStore struct {
	New Member `msgpack:"n"`
}

// Apply adds the member, if a place is free.
func (c *AddStore) Apply(s *State) Receipt {
	for _, m := range s.Members {
		if m.ID == c.New.ID {
			return Receipt{Code: Conflict, Say: "is a member already"}
		}
	}
	if len(s.Members) >= s.Wanted() {
		return Receipt{Code: Conflict, Say: "no place is free"}
	}
	s.Members = append(append([]Member(nil), s.Members...), c.New)
	return Receipt{Code: OK}
}

// WantStores sets how many stores shall vote.
type WantStores struct {
	Count int `msgpack:"c"`
}

// Apply sets the wanted number. Members that are too many stay until they are
// taken out one by one.
func (c *WantStores) Apply(s *State) Receipt {
	if c.Count < 1 || c.Count > 9 || c.Count%2 == 0 {
		return Receipt{Code: Wrong, Say: "an odd number from 1 to 9 may vote"}
	}
	s.Want = c.Count
	return Receipt{Code: OK}
}

// Wanted is how many stores shall vote: three in a mesh that was founded
// before the number was agreed on.
func (s *State) Wanted() int {
	if s.Want == 0 {
		return 3
	}
	return s.Want
}
