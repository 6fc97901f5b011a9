package statemachine

import "puffincrank/internal/ballot"

// PutKey sets a key. With If set, only when its revision is Rev; 0 means that
// the key must not be there.
type PutKey struct {
	Name     string `msgpack:"n"`
	Value    []byte `msgpack:"v"`
	If       bool   `msgpack:"i"`
	Revision uint64 `msgpack:"r"`
}

// Apply sets the key.
func (c *PutKey) Apply(s *State) Result {
	k := s.Keys[c.Name]
	if c.If && k.Revision != c.Revision {
		return Result{Code: Conflict, Revision: k.Revision, Message: "the key's revision is another"}
	}
	s.change(c.Name, c.Value, false)
	return Result{Code: OK, Revision: s.Revision}
}

// DeleteKey removes a key, with the same compare.
type DeleteKey struct {
	Name     string `msgpack:"n"`
	If       bool   `msgpack:"i"`
	Revision uint64 `msgpack:"r"`
}

// Apply removes the key.
func (c *DeleteKey) Apply(s *State) Result {
	k, ok := s.Keys[c.Name]
	if !ok {
		return Result{Code: NotFound, Revision: s.Revision, Message: "no such key"}
	}
	if c.If && k.Revision != c.Revision {
		return Result{Code: Conflict, Revision: k.Revision, Message: "the key's revision is another"}
	}
	s.change(c.Name, nil, true)
	return Result{Code: OK, Revision: s.Revision}
}

// CompactChanges drops the history up to a revision. The leader proposes it from
// its own count of time, so that Apply needs no clock.
type CompactChanges struct {
	To uint64 `msgpack:"t"`
}

// Apply drops the old changes.
func (c *CompactChanges) Apply(s *State) Result {
	for len(s.Changes) > 0 && s.Changes[0].Revision <= c.To {
		s.Changes = s.Changes[1:]
	}
	s.Changes = append([]Change(nil), s.Changes...)
	s.OldestRevision = max(s.OldestRevision, c.To+1)
	return Result{Code: OK}
}

// NextNumber gives the next of a row of rising numbers.
type NextNumber struct {
	Name string `msgpack:"n"`
}

// Apply counts up.
func (c *NextNumber) Apply(s *State) Result {
	s.Numbers[c.Name]++
	return Result{Code: OK, Number: s.Numbers[c.Name]}
}

// AcquireLock takes or renews a lock.
type AcquireLock struct {
	Name      string `msgpack:"n"`
	Owner     string `msgpack:"o"`
	TTL       int64  `msgpack:"t"`
	Renew     bool   `msgpack:"r"` // only renew, with Fence
	Fence     uint64 `msgpack:"f"`
	KeepFence bool   `msgpack:"s,omitempty"` // the owner's own acquisition keeps its fence
}

// Apply takes the lock if it is free or the owner's own.
func (c *AcquireLock) Apply(s *State) Result {
	l, held := s.Locks[c.Name]
	if held && l.Owner != c.Owner {
		return Result{Code: Conflict, Lock: &l, Message: "held by another"}
	}
	// A renewal never takes a lock anew: the owner must learn that it lost it.
	if c.Renew && (!held || l.Fence != c.Fence) {
		return Result{Code: NotFound, Message: "the lock is not held under that fence"}
	}
	if !held {
		s.Fence++
		l = Lock{Owner: c.Owner, Fence: s.Fence}
	}
	// A renewal never takes time away: its outcome may be unknown to the owner,
	// who then goes by the time that it had before.
	l.TTL = max(l.TTL, c.TTL)
	l.Renewals++
	s.Locks[c.Name] = l
	return Result{Code: OK, Lock: &l}
}

// ReleaseLock gives a lock back.
type ReleaseLock struct {
	Name  string `msgpack:"n"`
	Owner string `msgpack:"o"`
	Fence uint64 `msgpack:"f"`
}

// Apply frees the lock if the owner and the fence are right.
func (c *ReleaseLock) Apply(s *State) Result {
	l, held := s.Locks[c.Name]
	if !held {
		return Result{Code: NotFound, Message: "not held"}
	}
	if l.Owner != c.Owner || (c.Fence != 0 && l.Fence != c.Fence) {
		return Result{Code: Conflict, Lock: &l, Message: "held by another"}
	}
	delete(s.Locks, c.Name)
	return Result{Code: OK}
}

// ExpireLock ends a lock whose time to live the leader saw run out.
type ExpireLock struct {
	Name     string `msgpack:"n"`
	Fence    uint64 `msgpack:"f"`
	Renewals uint64 `msgpack:"r"`
}

// Apply ends the lock unless it was renewed in between.
func (c *ExpireLock) Apply(s *State) Result {
	l, held := s.Locks[c.Name]
	if !held || l.Fence != c.Fence || l.Renewals != c.Renewals {
		return Result{Code: Conflict}
	}
	delete(s.Locks, c.Name)
	return Result{Code: OK}
}

// FenceRole notes the ballot of a role's new holder; lower ones are refused
// from then on.
type FenceRole struct {
	Role   string        `msgpack:"d"`
	Ballot ballot.Number `msgpack:"n"`
}

// Apply raises the fence.
func (c *FenceRole) Apply(s *State) Result { return s.fenceRole(c.Role, c.Ballot) }

func (s *State) fenceRole(duty string, n ballot.Number) Result {
	if n.Less(s.Roles[duty]) {
		return Result{Code: Fenced, Message: "the duty " + duty + " has passed to " + s.Roles[duty].Candidate}
	}
	s.Roles[duty] = n
	return Result{Code: OK}
}
