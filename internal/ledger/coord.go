package ledger

import "puffincrank/internal/ballot"

// PutKey sets a key. With If set, only when its revision is Rev; 0 means that
// the key must not be there.
type PutKey struct {
	Name  string `msgpack:"n"`
	Value []byte `msgpack:"v"`
	If    bool   `msgpack:"i"`
	Rev   uint64 `msgpack:"r"`
}

// Apply sets the key.
func (c *PutKey) Apply(s *State) Receipt {
	k := s.Keys[c.Name]
	if c.If && k.Rev != c.Rev {
		return Receipt{Code: Conflict, Rev: k.Rev, Say: "the key's revision is another"}
	}
	s.change(c.Name, c.Value, false)
	return Receipt{Code: OK, Rev: s.Rev}
}

// DeleteKey removes a key, with the same compare.
type DeleteKey struct {
	Name string `msgpack:"n"`
	If   bool   `msgpack:"i"`
	Rev  uint64 `msgpack:"r"`
}

// Apply removes the key.
func (c *DeleteKey) Apply(s *State) Receipt {
	k, ok := s.Keys[c.Name]
	if !ok {
		return Receipt{Code: Absent, Rev: s.Rev, Say: "no such key"}
	}
	if c.If && k.Rev != c.Rev {
		return Receipt{Code: Conflict, Rev: k.Rev, Say: "the key's revision is another"}
	}
	s.change(c.Name, nil, true)
	return Receipt{Code: OK, Rev: s.Rev}
}

// TrimPast drops the history up to a revision. The writer proposes it from
// its own count of time, so that Apply needs no clock.
type TrimPast struct {
	To uint64 `msgpack:"t"`
}

// Apply drops the old changes.
func (c *TrimPast) Apply(s *State) Receipt {
	for len(s.Past) > 0 && s.Past[0].Rev <= c.To {
		s.Past = s.Past[1:]
	}
	s.Past = append([]Change(nil), s.Past...)
	s.Oldest = max(s.Oldest, c.To+1)
	return Receipt{Code: OK}
}

// NextNumber gives the next of a row of rising numbers.
type NextNumber struct {
	Name string `msgpack:"n"`
}

// Apply counts up.
func (c *NextNumber) Apply(s *State) Receipt {
	s.Numbers[c.Name]++
	return Receipt{Code: OK, Number: s.Numbers[c.Name]}
}

// TakeLock takes or renews a lock.
type TakeLock struct {
	Name  string `msgpack:"n"`
	Owner string `msgpack:"o"`
	TTL   int64  `msgpack:"t"`
	Renew bool   `msgpack:"r"` // only renew, with Fence
	Fence uint64 `msgpack:"f"`
	Same  bool   `msgpack:"s,omitempty"` // the owner's own acquisition keeps its fence
}

// Apply takes the lock if it is free or the owner's own.
func (c *TakeLock) Apply(s *State) Receipt {
	l, held := s.Locks[c.Name]
	if held && l.Owner != c.Owner {
		return Receipt{Code: Conflict, Lock: &l, Say: "held by another"}
	}
	// A renewal never takes a lock anew: the owner must learn that it lost it.
	if c.Renew && (!held || l.Fence != c.Fence) {
		return Receipt{Code: Absent, Say: "the lock is not held under that fence"}
	}
	if !held {
		s.Fence++
		l = Lock{Owner: c.Owner, Fence: s.Fence}
	}
	// A renewal never takes time away: its outcome may be unknown to the owner,
	// who then goes by the time that it had before.
	l.TTL = max(l.TTL, c.TTL)
	l.Renew++
	s.Locks[c.Name] = l
	return Receipt{Code: OK, Lock: &l}
}

// FreeLock gives a lock back.
type FreeLock struct {
	Name  string `msgpack:"n"`
	Owner string `msgpack:"o"`
	Fence uint64 `msgpack:"f"`
}

// Apply frees the lock if the owner and the fence are right.
func (c *FreeLock) Apply(s *State) Receipt {
	l, held := s.Locks[c.Name]
	if !held {
		return Receipt{Code: Absent, Say: "not held"}
	}
	if l.Owner != c.Owner || (c.Fence != 0 && l.Fence != c.Fence) {
		return Receipt{Code: Conflict, Lock: &l, Say: "held by another"}
	}
	delete(s.Locks, c.Name)
	return Receipt{Code: OK}
}

// ExpireLock ends a lock whose time to live the writer saw run out.
type ExpireLock struct {
	Name  string `msgpack:"n"`
	Fence uint64 `msgpack:"f"`
	Renew uint64 `msgpack:"r"`
}

// Apply ends the lock unless it was renewed in between.
func (c *ExpireLock) Apply(s *State) Receipt {
	l, held := s.Locks[c.Name]
	if !held || l.Fence != c.Fence || l.Renew != c.Renew {
		return Receipt{Code: Conflict}
	}
	delete(s.Locks, c.Name)
	return Receipt{Code: OK}
}

// FenceDuty notes the ballot of a duty's new holder; lower ones are refused
// from then on.
type FenceDuty struct {
	Duty string        `msgpack:"d"`
	Num  ballot.Number `msgpack:"n"`
}

// Apply raises the fence.
func (c *FenceDuty) Apply(s *State) Receipt { return s.fence(c.Duty, c.Num) }

func (s *State) fence(duty string, n ballot.Number) Receipt {
	if n.Less(s.Duties[duty]) {
		return Receipt{Code: Fenced, Say: "the duty " + duty + " has passed to " + s.Duties[duty].Candidate}
	}
	s.Duties[duty] = n
	return Receipt{Code: OK}
}
